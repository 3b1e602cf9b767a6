#!/usr/bin/env bash
# Measures a whole daemon that holds the scheduler lease: memory, processor time and control bytes,
# without load, by the number of workers in its failure domain.
# Usage: scripts/capacity_daemon.sh [workers...]; prints one line a size.
. "$(dirname "${BASH_SOURCE[0]}")/common.sh"
case "${1:-}" in
    -h | --help) echo "usage: scripts/capacity_daemon.sh [workers...]   40 80 160 320 by default"; exit 0 ;;
esac
sizes=("$@")
[ ${#sizes[@]} -gt 0 ] || sizes=(40 80 160 320)
build_project platform_standin worker_standin poplarstiled >&2
bin=$build_dir/bin
logs=$build_dir/capacity
mkdir -p "$logs"
first_port=26000
settle_s=6
observe_s=10
pids=()
stop_all() {
    [ ${#pids[@]} -eq 0 ] || kill "${pids[@]}" 2>/dev/null || true
    wait 2>/dev/null || true
    pids=()
}
trap stop_all EXIT
trap 'exit 130' INT TERM

write_files() { # write_files WORKERS
    local workers="" hosted="" index
    for ((index = 0; index < $1; ++index)); do
        local port=$((first_port + 10 + index)) rack="rack-$((index / 8))" place=$((index % 8))
        workers+="${workers:+,}{\"id\":\"w-$index\",\"address\":\"127.0.0.1:$port\",\"rack\":\"$rack\",\"position\":$place}"
        hosted+="${hosted:+,}{\"id\":\"w-$index\",\"failure_domain\":\"fd\",\"rack\":\"$rack\",\"position\":$place,\"port\":$port}"
    done
    printf '{"address":"127.0.0.1","control_port":%d,"workers":[%s]}' "$((first_port + 1))" "$hosted" >"$logs/workers.json"
    printf '{"vm":{"id":"vm-1","failure_domain":"fd","region":"r"},"listen":{"caller_port":%d,"peer_port":%d,"operator_port":%d},"platform":{"address":"127.0.0.1:%d"},"operator_key":"0123456789abcdef","workers":[%s],"peers":[]}' \
        "$((first_port + 2))" "$((first_port + 3))" "$((first_port + 4))" "$first_port" "$workers" >"$logs/settings.json"
}
ticks_of() { awk '{print $14 + $15}' "/proc/$1/stat"; }
rss_of() { awk '/^VmRSS/ {print $2}' "/proc/$1/status"; }
control_bytes() { # sum of the daemon's own count of control bytes
    { exec 3<>"/dev/tcp/127.0.0.1/$((first_port + 4))" &&
        printf 'GET /metrics HTTP/1.1\r\nHost: vm\r\nConnection: close\r\n\r\n' >&3 &&
        awk '/^poplarstile_control_bytes_total/ {sum += $NF} END {printf "%d", sum}' <&3; exec 3>&-; } 2>/dev/null || echo 0
}

echo "workers rss_kib cpu_ms_per_s control_bytes_per_s"
for size in "${sizes[@]}"; do
    write_files "$size"
    "$bin/platform_standin" --port="$first_port" >"$logs/platform.log" 2>&1 &
    pids+=($!)
    "$bin/worker_standin" --config="$logs/workers.json" >"$logs/workers.log" 2>&1 &
    pids+=($!)
    sleep 1
    "$bin/poplarstiled" --settings="$logs/settings.json" >"$logs/daemon.log" 2>&1 &
    daemon=$!
    pids+=("$daemon")
    sleep "$settle_s"
    kill -0 "$daemon" || { tail -n 5 "$logs/daemon.log" >&2; exit 1; }
    before=$(ticks_of "$daemon") bytes_before=$(control_bytes)
    sleep "$observe_s"
    after=$(ticks_of "$daemon") bytes_after=$(control_bytes)
    per_s=$((observe_s * $(getconf CLK_TCK)))
    echo "$size $(rss_of "$daemon") $(((after - before) * 1000 / per_s)) $(((bytes_after - bytes_before) / observe_s))"
    stop_all
done
