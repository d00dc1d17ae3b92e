# Functions that start stand-ins and hosts on loopback, for scripts that source this file.
# When the script exits, the processes that it started are killed by process id.

cluster_bin=${cluster_bin:-build/release/bin}
cluster_dir=$(mktemp -d)
cluster_pids=()
declare -A cluster_pid_of

# stop_cluster: kills all processes that `start` started and removes their files. SIGCONT first, for
# processes that are stopped.
stop_cluster() {
    local pid
    for pid in "${cluster_pids[@]}"; do
        kill -CONT "$pid" 2>/dev/null || true
        kill -KILL "$pid" 2>/dev/null || true
    done
    wait 2>/dev/null || true
    rm -rf "$cluster_dir"
}
trap stop_cluster EXIT

# start NAME COMMAND...: runs the command in the background with its output in NAME.out and
# NAME.err.
start() {
    local name=$1
    shift
    "$@" >"$cluster_dir/$name.out" 2>"$cluster_dir/$name.err" &
    cluster_pids+=("$!")
    cluster_pid_of[$name]=$!
}

# listening NAME N: prints the address from the N-th `listening` line of a process; waits up to
# 20 seconds for it.
listening() {
    local name=$1 line=$2 tries
    for ((tries = 0; tries < 400; ++tries)); do
        local address
        address=$(grep '^listening' "$cluster_dir/$name.out" 2>/dev/null |
            sed -n "${line}p" | grep -oE '[0-9.]+:[0-9]+' | head -n 1)
        if [ -n "$address" ]; then
            echo "$address"
            return 0
        fi
        sleep 0.05
    done
    echo "$name did not print listening address $line" >&2
    cat "$cluster_dir/$name.err" >&2
    return 1
}

# free_port: prints a port that is free now. Another process may take it before it is used.
free_port() {
    python3 - <<'PY' 2>/dev/null || shuf -i 20000-29999 -n 1
import socket
s = socket.socket()
s.bind(("127.0.0.1", 0))
print(s.getsockname()[1])
PY
}

# write_settings HOST DATA_CENTRE PEER_ADDRESS PLATFORM SEEDS...: writes the settings of a host to
# HOST.toml. A seed is HOST,DATA_CENTRE,ADDRESS.
write_settings() {
    local host=$1 data_centre=$2 peers=$3 platform=$4 seed
    shift 4
    {
        echo "host = \"$host\""
        echo "data_centre = \"$data_centre\""
        echo "workers = ${cluster_workers:-2}"
        echo "[listen]"
        echo "callers = \"127.0.0.1:0\""
        echo "peers = \"$peers\""
        echo "operators = \"127.0.0.1:0\""
        echo "[platform]"
        echo "endpoints = [\"$platform\"]"
        for seed in "$@"; do
            IFS=, read -r seed_host seed_data_centre seed_address <<<"$seed"
            echo "[[seeds]]"
            echo "host = \"$seed_host\""
            echo "data_centre = \"$seed_data_centre\""
            echo "address = \"$seed_address\""
        done
        if [ -n "${cluster_extra_settings:-}" ]; then
            echo "$cluster_extra_settings"
        fi
    } >"$cluster_dir/$host.toml"
}

# await TEXT COMMAND...: retries the command until it succeeds; fails after 300 tries, 0.1 s apart.
await() {
    local what=$1 tries
    shift
    for ((tries = 0; tries < 300; ++tries)); do
        if "$@" >/dev/null 2>&1; then
            return 0
        fi
        sleep 0.1
    done
    echo "timed out waiting for $what" >&2
    return 1
}
