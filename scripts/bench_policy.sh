# Measures goodput and wasted prefill on real daemons and stand-ins; sourced by scripts/bench.
#
# All policies run at the same time, each in a separate deployment, with the same deadline-based
# admission, the same requests and the same faults.

policy_names=(linnetlane round_robin least_load two_choices)
policy_prefills=${policy_prefills:-4}
policy_decodes=${policy_decodes:-4}
policy_hosts=${policy_hosts:-3}

# start_policy NAME: starts a deployment that runs the policy. Writes the load generator's address
# options to NAME.targets.
start_policy() {
    local name=$1 index options=() seeds=() targets=() engines=()
    start "$name-platform" "$cluster_bin/linnetlane_standin" platform
    local platform
    platform=$(listening "$name-platform" 1)
    for ((index = 1; index <= policy_prefills; ++index)); do
        options+=(--engine "p$index:prefill:0")
    done
    start "$name-prefill" "$cluster_bin/linnetlane_standin" engine --workers 2 "${options[@]}"
    for ((index = 1; index <= policy_decodes; ++index)); do
        start "$name-d$index" "$cluster_bin/linnetlane_standin" engine --engine "d$index:decode:0"
    done
    local peers=()
    for ((index = 1; index <= policy_hosts; ++index)); do
        peers[index]=127.0.0.1:$(free_port)
        seeds+=("$name-$index,here,${peers[index]}")
    done
    for ((index = 1; index <= policy_hosts; ++index)); do
        write_settings "$name-$index" here "${peers[index]}" "$platform" "${seeds[@]}"
        start "$name-$index" "$cluster_bin/linnetlaned" --policy "$name" \
            --settings "$cluster_dir/$name-$index.toml"
        targets+=(--target "$(listening "$name-$index" 1)")
        await "host $index" curl -sf "http://$(listening "$name-$index" 3)/readyz"
    done
    {
        printf 'id = "finding"\nkind = "model"\n'
        for ((index = 1; index <= policy_prefills; ++index)); do
            upstream_text "p$index" prefill "$(listening "$name-prefill" "$index")"
            engines+=(--prefill "$(listening "$name-prefill" "$index")")
        done
        for ((index = 1; index <= policy_decodes; ++index)); do
            upstream_text "d$index" decode "$(listening "$name-d$index" 1)"
            engines+=(--decode "$(listening "$name-d$index" 1)")
        done
    } >"$cluster_dir/$name.document"
    "$cluster_bin/linnetctl" service apply "$cluster_dir/$name.document" \
        --host "$(listening "$name-1" 3)" >/dev/null
    echo "${targets[@]} ${engines[@]}" >"$cluster_dir/$name.targets"
    await "a keeper" curl -sf --max-time 5 -H 'x-caller: bench' \
        -d '{"model":"finding","prompt":"warm","max_tokens":1}' \
        "http://$(listening "$name-1" 1)/v1/completions"
}

# upstream_text ID ROLE ADDRESS: prints the entry of one upstream in a service document.
upstream_text() {
    printf '[[upstreams]]\nid = "%s"\ndata_centre = "here"\nrole = "%s"\naddress = "%s"\n' "$@"
}

# run_policy NAME SHAPE LOAD LABEL: runs one load against the deployment of a policy; prints one
# line of results.
run_policy() {
    local name=$1 shape=$2 load=$3 label=$4 file="$cluster_dir/$1.report"
    local words
    read -ra words <"$cluster_dir/$name.targets"
    "$cluster_bin/linnetlane_load" "${words[@]}" --shape "$shape" --load "$load" \
        --seconds "$seconds" --patience "${patience:-40}" >"$file"
    awk -v policy="$name" -v shape="$shape" -v load="$label" '
        { value[$1] = $2 }
        END {
            capacity = value["prefill_capacity_per_s"]
            if (value["decode_capacity_per_s"] < capacity) capacity = value["decode_capacity_per_s"]
            printf "%s %s %s %.3f %.4f %.3f %.4f", policy, shape, load,
                value["goodput_per_s"] / capacity, value["wasted_share"],
                value["ttft_p95_s"], value["itl_p95_s"]
            printf " tokens %.3f refused_by_quarter %.2f %.2f %.2f %.2f\n",
                value["good_token_share"] * value["offered_per_s"] / capacity,
                value["quarter_1_refused_share"], value["quarter_2_refused_share"],
                value["quarter_3_refused_share"], value["quarter_4_refused_share"]
        }' "$file"
}

# run_round SHAPE LOAD LABEL FAULT: runs all policies at once. If FAULT is `kill`, one decode engine
# of each deployment goes down half way.
run_round() {
    local shape=$1 load=$2 label=$3 fault=$4 name waiting=()
    for name in "${policy_names[@]}"; do
        run_policy "$name" "$shape" "$load" "$label" >"$cluster_dir/$name.line" &
        waiting+=("$!")
    done
    if [ "$fault" = kill ]; then
        sleep "$(awk -v seconds="$seconds" 'BEGIN { print seconds / 2 }')"
        for name in "${policy_names[@]}"; do
            curl -sf -d '{"down":true}' "http://$(listening "$name-d1" 1)/control" >/dev/null
        done
    fi
    wait "${waiting[@]}"
    for name in "${policy_names[@]}"; do
        cat "$cluster_dir/$name.line"
    done
    if [ "$fault" = kill ]; then
        for name in "${policy_names[@]}"; do
            curl -sf -d '{"down":false}' "http://$(listening "$name-d1" 1)/control" >/dev/null
        done
        sleep 3
    fi
}

bench_policy() {
    seconds=${seconds:-20}
    local name shape load
    for name in "${policy_names[@]}"; do
        start_policy "$name"
    done
    echo "machine_cores $(nproc)"
    echo "machine_load $(cut -d ' ' -f 1 /proc/loadavg)"
    echo "# policy shape load goodput wasted ttft_p95_s itl_p95_s"
    echo "# goodput as a share of the scarcer capacity, by requests and then by tokens"
    for shape in ${shapes:-bluegum lanka}; do
        for load in ${loads:-0.5 0.8 1.0 1.2 2.0}; do
            run_round "$shape" "$load" "$load" none
        done
        run_round "$shape" 1.2 1.2-kill kill
    done
}
