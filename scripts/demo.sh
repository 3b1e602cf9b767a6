#!/usr/bin/env bash
# Installs, builds and runs the main job of one deployment: stand-ins, entry VMs, load and faults.
. "$(dirname "${BASH_SOURCE[0]}")/common.sh"

usage() {
    cat <<'TEXT'
usage: scripts/demo.sh [--deployment NAME] [--seconds N] [--summary FILE]

Starts the platform, about 50 workers in three failure domains and 8 entry VMs as processes on
this machine, applies the rules, drives the workload, kills one VM and drains another on the way,
and prints a report from the workers' records and the callers' notes.

  --deployment NAME   camara-oscura (default) or recreation-utility
  --seconds N         length of the load, from 5 to 45 (default 35); the rest takes about 15 s
  --summary FILE      where the JSON summary goes; build/demo/NAME/summary.json by default

Exit codes: 0 every promise was kept, 1 one was broken, 2 the run was not possible.
Logs are in build/demo/NAME.
TEXT
}

deployment=camara-oscura
seconds=35
summary=
fail() { printf 'demo: %s\n' "$*" >&2; exit 2; }
while [ $# -gt 0 ]; do
    case "$1" in
        -h | --help) usage; exit 0 ;;
        --deployment | --seconds | --summary)
            [ $# -ge 2 ] || fail "$1 needs a value; see --help"
            printf -v "${1#--}" '%s' "$2"
            shift 2 ;;
        *) fail "unknown argument $1; see --help" ;;
    esac
done
example=$project_dir/examples/$deployment
[ -d "$example" ] || fail "no deployment $deployment; see --help"
[[ $seconds =~ ^[0-9]+$ ]] && [ "$seconds" -ge 5 ] && [ "$seconds" -le 45 ] ||
    fail "--seconds must be from 5 to 45"
case "$summary" in '' | /*) ;; *) summary=$PWD/$summary ;; esac

install_packages
build_project platform_standin worker_standin poplarstiled poplarctl load_driver

bin=$build_dir/bin
logs=$build_dir/demo/$deployment
rm -rf "$logs"
mkdir -p "$logs"
summary=${summary:-$logs/summary.json}
faults=$logs/faults.jsonl
: >"$faults"
declare -A pids=()
began=$SECONDS

# Stops every process that this script started and nothing else.
stop_all() {
    local pid
    [ ${#pids[@]} -gt 0 ] || return 0
    kill "${pids[@]}" 2>/dev/null || true
    for _ in $(seq 1 30); do
        local alive=0
        for pid in "${pids[@]}"; do kill -0 "$pid" 2>/dev/null && alive=1; done
        [ "$alive" -eq 1 ] || break
        sleep 0.1
    done
    kill -9 "${pids[@]}" 2>/dev/null || true
    wait 2>/dev/null || true
}
trap stop_all EXIT
trap 'exit 130' INT TERM

# start NAME command...: runs it in the background with its own log.
start() {
    local name=$1
    shift
    "$@" >"$logs/$name.log" 2>&1 &
    pids[$name]=$!
}

# number FILE MEMBER and text FILE MEMBER: first value of a member in a generated file.
number() { sed -n "s/.*\"$2\": \([0-9]*\).*/\1/p" "$1" | head -n 1; }
text() { sed -n "s/.*\"$2\": \"\([^\"]*\)\".*/\1/p" "$1" | head -n 1; }

# http METHOD PORT PATH [BODY]: prints the status code; fails when nothing listens.
http() {
    local body=${4:-} status
    {
        exec 3<>"/dev/tcp/127.0.0.1/$2" || return 1
        printf '%s %s HTTP/1.1\r\nHost: 127.0.0.1\r\nConnection: close\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s' \
            "$1" "$3" "$(printf %s "$body" | wc -c)" "$body" >&3
        read -r -t 3 _ status _ <&3 || { exec 3>&-; return 1; }
        exec 3>&-
    } 2>/dev/null
    printf '%s' "$status"
}

# wait_for NAME PORT PATH: until 200, 15 s at most.
wait_for() {
    local name=$1 port=$2 path=$3
    for _ in $(seq 1 150); do
        [ "$(http GET "$port" "$path" || true)" = 200 ] && return 0
        kill -0 "${pids[$name]}" 2>/dev/null || break
        sleep 0.1
    done
    tail -n 20 "$logs/$name.log" >&2
    fail "$name did not answer 200 to $path on port $port; see $logs/$name.log"
}

note_fault() {
    printf '{"wall_us":%s,"kind":"%s","subject":"%s"}\n' "$(($(date +%s%N) / 1000))" "$1" "$2" >>"$faults"
}

say "start: platform"
settings=("$example"/settings/*.json)
platform=$(sed -n '/"platform"/{n;s/.*"127.0.0.1:\([0-9]*\)".*/\1/p}' "${settings[0]}")
start platform "$bin/platform_standin" --address=127.0.0.1 --port="$platform"
wait_for platform "$platform" /healthz
http POST "$platform" /control/vms "$(cat "$example/vms.json")" >/dev/null || fail "the platform took no VM list"

say "start: workers of $(basename -s .json -a "$example"/workers/*.json | xargs)"
for file in "$example"/workers/*.json; do
    start "workers-$(basename "$file" .json)" "$bin/worker_standin" --config="$file"
done
for file in "$example"/workers/*.json; do
    wait_for "workers-$(basename "$file" .json)" "$(number "$file" control_port)" /records
done

say "start: ${#settings[@]} VMs"
for file in "${settings[@]}"; do
    start "$(basename "$file" .json)" "$bin/poplarstiled" --settings="$file"
done
for file in "${settings[@]}"; do
    wait_for "$(basename "$file" .json)" "$(number "$file" operator_port)" /healthz
done

say "rules: apply $example/rules.txt"
operator() { # operator SETTINGS-FILE arguments...
    local file=$1
    shift
    "$bin/poplarctl" --vm="127.0.0.1:$(number "$file" operator_port)" --key="$(text "$file" operator_key)" "$@"
}
operator "${settings[0]}" rules apply "$example/rules.txt" --author=demo || fail "the rules were not accepted"
for file in "${settings[@]}"; do
    wait_for "$(basename "$file" .json)" "$(number "$file" caller_port)" /readyz
done

say "load: $seconds s"
worker_files=("$example"/workers/*.json)
first_workers=${worker_files[0]}
last_workers=${worker_files[-1]}
last_worker=$(sed -n 's/.*"id": "\([^"]*\)".*/\1/p' "$last_workers" | tail -n 1)
"$bin/load_driver" --deployment="$example" --seconds="$seconds" --faults="$faults" --summary="$summary" \
    --extra_rule="avoid worker $last_worker    # asked by: on-call, its fan is being changed" \
    > >(tee "$logs/load_driver.log") 2>&1 &
pids[load_driver]=$!

at() { # at PERCENT: waits until this part of the load has passed.
    local until=$((load_began + seconds * $1 * 10)) now
    now=$(($(date +%s%N) / 1000000))
    [ "$now" -ge "$until" ] || sleep "$(((until - now) / 1000)).$(printf %03d $(((until - now) % 1000)))"
}
load_began=$(($(date +%s%N) / 1000000))
killed=$(basename "${settings[0]}" .json)
drained_file=${settings[4]}
drained=$(basename "$drained_file" .json)
failing_worker=$(sed -n 's/.*"id": "\([^"]*\)".*/\1/p' "$first_workers" | tail -n 1)
leaving_worker=$(sed -n 's/.*"id": "\([^"]*\)".*/\1/p' "$first_workers" | head -n 1)

at 20
say "fault: $failing_worker fails everything it starts"
http POST "$(number "$first_workers" control_port)" "/control/workers/$failing_worker" '{"failing":true}' >/dev/null || true
at 30
say "fault: kill -9 $killed"
note_fault kill_vm "$killed"
kill -9 "${pids[$killed]}"
{ wait "${pids[$killed]}" || true; } 2>/dev/null
unset "pids[$killed]"
at 50
say "fault: worker $leaving_worker leaves"
note_fault worker_leaving "$leaving_worker"
http POST "$(number "$first_workers" control_port)" "/control/workers/$leaving_worker" '{"leaving":true}' >/dev/null || true
at 60
say "fault: drain $drained"
note_fault drain_vm "$drained"
operator "$drained_file" drain || fail "$drained did not take the drain"

verdict=0
wait "${pids[load_driver]}" || verdict=$?
unset 'pids[load_driver]'
if kill -0 "${pids[$drained]}" 2>/dev/null; then
    say "BROKEN: $drained still runs though it was drained"
    [ "$verdict" -ne 0 ] || verdict=1
else
    ended=0
    wait "${pids[$drained]}" || ended=$?
    unset "pids[$drained]"
    say "$drained ended by itself with exit code $ended"
    [ "$ended" -eq 0 ] || [ "$verdict" -ne 0 ] || verdict=1
fi
say "summary: $summary"
say "ended after $((SECONDS - began)) s with exit code $verdict"
exit "$verdict"
