# Sourced by the demo and the benchmarks, which set 'settings' and 'logs': starts and stops a fleet of real processes on
# loopback and injects faults into it.
source "$(dirname "${BASH_SOURCE[0]}")/lib.sh"

READY_TIMEOUT_S=60
program=${0##*/}
declare -A pids=()

# Terminates all processes, paused ones too, and kills those that still run after ten seconds.
stop_all() {
    local name
    for name in "${!pids[@]}"; do kill -TERM "${pids[$name]}" 2>/dev/null || true; done
    for name in "${!pids[@]}"; do kill -CONT "${pids[$name]}" 2>/dev/null || true; done
    for name in "${!pids[@]}"; do
        for _ in $(seq 100); do kill -0 "${pids[$name]}" 2>/dev/null || break; sleep 0.1; done
        kill -KILL "${pids[$name]}" 2>/dev/null || true
    done
    pids=()
}

# Succeeds if all modules are built and no source is newer than the last build.
built_and_current() {
    local module
    for module in ctl router coordinator standin load; do
        ls "$module"/target/persimmon-*.jar "$module"/target/lib/*.jar >/dev/null 2>&1 || return 1
    done
    [ -f run/.built ] && [ -z "$(find ./*/src/main ./*/pom.xml pom.xml -newer run/.built -type f -print -quit)" ]
}

build_if_needed() {
    mkdir -p run
    if ! built_and_current; then
        echo "building"
        touch run/.building
        mvn -B -ntp -q -DskipTests package
        mv run/.building run/.built
    fi
    find_jdk >/dev/null
}

# Fails if a port of the fleet is in use.
check_ports() {
    local port
    for port in 17001 17002 17003 $(seq 17700 17703) $(seq 17801 17803) $(seq 17501 17503); do
        if (exec 3<>"/dev/tcp/127.0.0.1/$port") 2>/dev/null; then
            echo "$program: port $port of 127.0.0.1 is in use; is another fleet running?" >&2
            exit 1
        fi
    done
}

start() { # name command...
    local name=$1
    shift
    "$@" >>"$logs/$name.out" 2>>"$logs/$name.log" &
    pids[$name]=$!
}

start_coordinator() {
    start "coordinator-$1" bin/persimmon-coordinator --settings "$settings/coordinator-$1.json" --admin "127.0.0.1:$((17700 + $1))"
}

start_router() {
    PERSIMMON_JAVA_OPTIONS=${ROUTER_JAVA_OPTIONS:-} start "router-$1" bin/persimmon-router --settings "$settings/router-$1.json" --admin "127.0.0.1:$((17800 + $1))"
}

start_process() { # coordinator-N or router-N
    "start_${1%-*}" "${1##*-}"
}

# Waits until the URL answers with success; fails if the process exits or after READY_TIMEOUT_S seconds.
await() { # process description url [curl options...]
    local process=$1 what=$2 url=$3
    shift 3
    local until=$((SECONDS + READY_TIMEOUT_S))
    until curl -sf -m 2 -o /dev/null "$@" "$url"; do
        if ! kill -0 "${pids[$process]}" 2>/dev/null; then
            echo "$program: $process exited unexpectedly:" >&2
            tail -n 5 "$logs/$process.log" >&2
            exit 1
        fi
        if [ $SECONDS -ge $until ]; then
            echo "$program: $what is not ready after $READY_TIMEOUT_S s: $(curl -s -m 2 "$@" "$url" || true); logs in $logs" >&2
            exit 1
        fi
        sleep 0.2
    done
}

await_ready() { # coordinator-N or router-N
    local base=17700
    [ "${1%-*}" = router ] && base=17800
    await "$1" "$1" "http://127.0.0.1:$((base + ${1##*-}))/ready"
}

start_fleet() {
    local i
    PERSIMMON_JAVA_OPTIONS=${STANDIN_JAVA_OPTIONS:-} start standin bin/persimmon-standin --settings "$settings/standin.json" --admin 127.0.0.1:17700
    await standin "the stand-in" http://127.0.0.1:17700/ready
    for i in 1 2 3; do start_coordinator "$i"; done
    for i in 1 2 3; do await_ready "coordinator-$i"; done
    for i in 1 2 3; do start_router "$i"; done
    for i in 1 2 3; do await_ready "router-$i"; done
}

# Applies the sheet, allows the caller of its first row to use the plain service, creates a key for it and sets 'key' to
# it. Returns once all routers accept the key.
apply_sheet() {
    local caller service i
    export PERSIMMONCTL_SETTINGS=$settings/ctl.json
    caller=$(sed -n '3p' "$settings/sheet.csv" | cut -d, -f5 | cut -d';' -f1)
    service=$(sed -n 's/.*"services": \["\([a-z]*\)\/.*/\1/p' "$settings/load.json")
    echo "applying $settings/sheet.csv"
    bin/persimmonctl sheet apply "$settings/sheet.csv" 2>"$logs/apply.log" || { cat "$logs/apply.log" >&2; exit 1; }
    [ -z "$service" ] || bin/persimmonctl service set "$service" --callers "$caller"
    key=$(bin/persimmonctl caller add "$caller")
    for i in 1 2 3; do
        await "router-$i" "the configuration at router $i" "http://127.0.0.1:$((17500 + i))/v1/models" -H "Authorization: Bearer $key"
    done
}

# Injects a fault into the stand-in at a port.
order_fault() { # port json
    curl -sf -m 5 -o /dev/null -X POST -H 'Content-Type: application/json' -d "$2" "http://127.0.0.1:$1/faults"
}

# Ends all faults of the stand-in at a port.
end_faults() { curl -sf -m 5 -o /dev/null -X DELETE "http://127.0.0.1:$1/faults"; }

# Sets the state that the host list reports for a host.
set_host() { # host state
    curl -sf -m 5 -o /dev/null -X POST -H 'Content-Type: application/json' -d "{\"state\":\"$2\"}" \
        "http://127.0.0.1:17002/hosts/$1"
}

# Runs persimmon-load with a settings file and writes its report to 'load.out'. Violated guarantees (exit code 1) are no
# failure here; the report shows them.
run_load() { # settings
    local code=0
    bin/persimmon-load --settings "$1" --sheet "$settings/sheet.csv" --key "$key" >"$logs/load.out" 2>>"$logs/load.log" || code=$?
    [ "$code" -le 1 ] || { tail -n 5 "$logs/load.log" >&2; exit 1; }
    return 0
}

machine_load() { cut -d' ' -f1-3 /proc/loadavg; }

# Ports of the plain services and of the engines in the settings of the stand-in.
service_ports() { seq 17301 $((17300 + $(sed -n 's/.*"services".*//;s/.*"count": \([0-9]*\), "firstPort": 17301.*/\1/p' "$settings/standin.json"))); }
engine_ports() { sed -n 's/.*"count": \([0-9]*\), "firstPort": \(172[0-9]*\).*/\1 \2/p' "$settings/standin.json" | awk '{for (i = 0; i < $1; i++) print $2 + i}'; }
