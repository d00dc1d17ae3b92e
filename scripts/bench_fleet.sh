# Measures document propagation, eviction and idle costs by number of hosts; sourced by
# scripts/bench.

# start_fleet COUNT: starts hosts with one worker each in one data centre, and one plain upstream.
start_fleet() {
    local count=$1 index seeds=() first=10
    fleet_run="fleet-$count"
    start "$fleet_run-platform" "$cluster_bin/linnetlane_standin" platform
    fleet_platform=$(listening "$fleet_run-platform" 1)
    start "$fleet_run-jobs" "$cluster_bin/linnetlane_standin" plain
    for ((index = 1; index <= count; ++index)); do
        # Each host gets its own loopback address with a fixed port. With 60 free ports reserved in
        # advance, another process often takes one of them before its host starts.
        fleet_peers[index]=127.8.$(($$ % 200 + 1)).$index:7000
        if [ "$index" -le "$first" ]; then
            seeds+=("$fleet_run-$index,here,${fleet_peers[index]}")
        fi
    done
    cluster_workers=1
    for ((index = 1; index <= count; ++index)); do
        write_settings "$fleet_run-$index" here "${fleet_peers[index]}" "$fleet_platform" \
            "${seeds[@]}"
        start "$fleet_run-$index" "$cluster_bin/linnetlaned" \
            --settings "$cluster_dir/$fleet_run-$index.toml"
    done
    for ((index = 1; index <= count; ++index)); do
        fleet_operators[index]=$(listening "$fleet_run-$index" 3)
        await "host $index" curl -sf "http://${fleet_operators[index]}/readyz"
    done
    await "the complete host table" sees_alive "$count" 1
    await "the complete host table" sees_alive "$count" "$count"
}

# sees_alive COUNT INDEX: whether host INDEX sees exactly COUNT hosts alive.
sees_alive() {
    [ "$(curl -sf "http://${fleet_operators[$2]}/v1/hosts" | grep -o '"liveness":"alive"' |
        wc -l)" -eq "$1" ]
}

# fleet_document GENERATION: prints a service document. The generation changes its retry share, so
# that each document differs.
fleet_document() {
    printf 'id = "jobs"\nkind = "plain"\nroute = "/jobs/"\n[policy]\nretry_share = 0.%s\n' "$1"
    printf '[[upstreams]]\nid = "jobs-1"\ndata_centre = "here"\nrole = "plain"\naddress = "%s"\n' \
        "$(listening "$fleet_run-jobs" 1)"
}

# in_force GENERATION INDEX: whether host INDEX has the generation in force.
in_force() {
    curl -sf "http://${fleet_operators[$2]}/v1/services/jobs" | grep -q "\"generation\":$1,"
}

# seconds_until_all COUNT COMMAND...: prints the seconds until `COMMAND... INDEX` succeeds for each
# index from 1 to COUNT.
seconds_until_all() {
    local count=$1 began index
    shift
    began=$(date +%s%N)
    for ((index = 1; index <= count; ++index)); do
        while ! "$@" "$index"; do
            sleep 0.01
        done
    done
    awk -v began="$began" -v ended="$(date +%s%N)" 'BEGIN { printf "%.3f", (ended - began) / 1e9 }'
}

# apply_generation GENERATION: replaces the generation before it, through the first host.
apply_generation() {
    curl -sf -X PUT --data-binary "$(fleet_document "$1")" \
        "http://${fleet_operators[1]}/v1/services/jobs?base=$(($1 - 1))" >/dev/null
}

# platform_calls: prints the number of calls that the platform has admitted.
platform_calls() {
    curl -sf "http://$fleet_platform/control/stats" | grep -oE '"admitted":[0-9]+' |
        awk -F: '{ sum += $2 } END { print sum }'
}

# processor_seconds PID: prints the processor time that a process has used.
processor_seconds() {
    awk -v ticks="$(getconf CLK_TCK)" '{ printf "%.2f", ($14 + $15) / ticks }' "/proc/$1/stat"
}

# metric_sum PREFIX INDEX: prints the sum of all series of host INDEX whose names begin with PREFIX.
metric_sum() {
    curl -sf "http://${fleet_operators[$2]}/metrics" |
        awk -v name="$1" 'index($1, name) == 1 { sum += $2 } END { printf "%.0f", sum }'
}

# idle_costs COUNT: prints the resource use of the second host and the calls to the platform over a
# period without requests.
idle_costs() {
    local count=$1 quiet=${quiet_seconds:-10} calls bytes frames processor pid
    pid=${cluster_pid_of[$fleet_run-2]}
    calls=$(platform_calls)
    bytes=$(metric_sum linnetlane_peer_bytes_total 2)
    frames=$(metric_sum linnetlane_peer_messages_total 2)
    processor=$(processor_seconds "$pid")
    sleep "$quiet"
    awk -v count="$count" -v quiet="$quiet" \
        -v calls="$(($(platform_calls) - calls))" \
        -v bytes="$(($(metric_sum linnetlane_peer_bytes_total 2) - bytes))" \
        -v frames="$(($(metric_sum linnetlane_peer_messages_total 2) - frames))" \
        -v before="$processor" -v after="$(processor_seconds "$pid")" \
        -v resident="$(awk '/VmRSS/ { print $2 }' "/proc/$pid/status")" 'BEGIN {
            printf "hosts %d platform_calls_per_s %.2f peer_bytes_per_s %.0f", count,
                calls / quiet, bytes / quiet
            printf " peer_messages_per_s %.1f core_share %.4f resident_mb %.1f\n",
                frames / quiet, (after - before) / quiet, resident / 1024
        }'
}

# Kills the processes of one round, so that they do not disturb the next one.
end_fleet() {
    local name
    for name in "${!cluster_pid_of[@]}"; do
        case "$name" in
            "$fleet_run"-*)
                kill -KILL "${cluster_pid_of[$name]}" 2>/dev/null || true
                unset "cluster_pid_of[$name]"
                ;;
        esac
    done
}

# bench_fleet_round COUNT: runs all measurements with COUNT hosts.
bench_fleet_round() {
    local count=$1 generation
    start_fleet "$count"
    apply_generation 1
    seconds_until_all "$count" in_force 1 >/dev/null
    for generation in 2 3 4; do
        apply_generation "$generation"
        echo "hosts $count in_force_s $(seconds_until_all "$count" in_force "$generation")"
    done
    idle_costs "$count"
    if [ "$count" -ge 3 ]; then
        kill -KILL "${cluster_pid_of[$fleet_run-$count]}"
        echo "hosts $count evicted_s $(seconds_until_all $((count - 1)) sees_alive $((count - 1)))"
        apply_generation 5
        echo "hosts $count in_force_after_kill_s $(seconds_until_all $((count - 1)) in_force 5)"
    fi
    end_fleet
}

bench_fleet() {
    local count
    echo "machine_cores $(nproc)"
    echo "machine_load $(cut -d ' ' -f 1 /proc/loadavg)"
    for count in ${hosts:-3 9 27 60}; do
        bench_fleet_round "$count"
    done
}
