# Sourced by the benchmarks after bin/fleet.sh: injects faults at random moments, reproducible by seed. Several faults
# may be active at once, but only one of each kind; the kind is the first word of the fault's name.

declare -A fault_until=() fault_subject=() fault_name=() fault_count=()
MAX_PAUSE_S=15

# Sets 'drawn' to a random number from min to max. Prints nothing, since in a subshell RANDOM would not advance.
draw() { # min max
    drawn=$(($1 + RANDOM % ($2 - $1 + 1)))
}

note_fault() { # text
    echo "$SECONDS $*" >>"$logs/faults.log"
}

# Injects a fault; sets 'subject' to the process hit, if any, and 'lasts_s' to the duration in seconds.
inject_fault() { # fault
    subject=""
    draw 2 $MAX_PAUSE_S
    lasts_s=$drawn
    draw 1 3
    case "$1" in
        coordinator-*|router-*) subject=${1%%-*}-$drawn ;;
    esac
    draw 2 8
    case "$1" in
        *-killed) kill -KILL "${pids[$subject]}" || note_fault "$subject had exited unexpectedly" ;;
        *-paused) kill -STOP "${pids[$subject]}" || note_fault "$subject had exited unexpectedly" ;;
        *-stopped) kill -TERM "${pids[$subject]}" || note_fault "$subject had exited unexpectedly" ;;
        kv-down) order_fault 17001 '{"fault":"down"}' ;;
        kv-slow) order_fault 17001 "{\"fault\":\"slow\",\"delayMs\":$((drawn * 100))}" ;;
        kv-lost-replies) order_fault 17001 '{"fault":"lose-replies","share":0.3}' ;;
        kv-silent-watches) order_fault 17001 '{"fault":"silent-watches"}' ;;
        store-slow) order_fault 17003 "{\"fault\":\"slow\",\"factor\":$drawn}" ;;
        service-lost-replies)
            local port
            for port in $(service_ports); do order_fault "$port" '{"fault":"lose-replies","share":0.1}'; done ;;
        targets-silent)
            lasts_s=1
            for port in $(engine_ports) $(service_ports); do order_fault "$port" '{"fault":"silent"}'; done ;;
        *) echo "fault '$1': unknown" >&2; exit 2 ;;
    esac
}

# Ends a fault; fails while it cannot end yet, as when a stopped process has not exited.
end_fault() { # fault subject
    local port
    case "$1" in
        *-killed) start_process "$2" ;;
        *-paused) kill -CONT "${pids[$2]}" ;;
        *-stopped)
            kill -0 "${pids[$2]}" 2>/dev/null && return 1
            start_process "$2" ;;
        kv-*) end_faults 17001 ;;
        store-slow) end_faults 17003 ;;
        service-*) for port in $(service_ports); do end_faults "$port"; done ;;
    esac
}

# Ends the faults that are due at a value of SECONDS.
end_due_faults() { # second
    local kind
    for kind in "${!fault_until[@]}"; do
        if [ "${fault_until[$kind]}" -le "$1" ] && end_fault "${fault_name[$kind]}" "${fault_subject[$kind]}"; then
            note_fault "ended ${fault_name[$kind]} ${fault_subject[$kind]}"
            unset "fault_until[$kind]"
        fi
    done
}

# Injects random faults for a number of seconds, then ends all that are left, within 60 seconds.
run_faults() { # seconds fault...
    local until=$((SECONDS + $1)) next=$((SECONDS + 2)) drawn fault kind subject lasts_s
    shift
    while [ $SECONDS -lt $until ]; do
        end_due_faults $SECONDS
        if [ $SECONDS -ge $next ]; then
            draw 1 5
            next=$((SECONDS + drawn))
            draw 1 $#
            fault=${!drawn}
            kind=${fault%%-*}
            [ -n "${fault_until[$kind]:-}" ] && continue
            inject_fault "$fault"
            fault_until[$kind]=$((SECONDS + lasts_s))
            fault_name[$kind]=$fault
            fault_subject[$kind]=$subject
            fault_count[$fault]=$((${fault_count[$fault]:-0} + 1))
            note_fault "started $fault $subject for $lasts_s s"
        fi
        sleep 0.3
    done
    until=$((SECONDS + 60))
    while [ ${#fault_until[@]} -gt 0 ] && [ $SECONDS -lt $until ]; do
        end_due_faults $((SECONDS + 1000))
        sleep 0.3
    done
}

print_faults() {
    local fault
    for fault in $(printf '%s\n' "${!fault_count[@]}" | sort); do echo "  $fault: ${fault_count[$fault]}"; done
}

# Writes settings of the stand-in with four engines that refuse stale fencing tokens and four, named 'ignoring-1' and
# so on, that ignore fencing tokens.
write_mixed_fencing_settings() { # memory of each engine in bytes
    awk -v memory="$1" '
        /"engines": \[/ {print; inside = 1; next}
        inside && /^  \],/ {
            sub(/"count": 8/, "\"count\": 4", group)
            sub(/"memoryBytes": [0-9]+/, "\"memoryBytes\": " memory, group)
            ignoring = group
            sub(/"name": "runner"/, "\"name\": \"ignoring\"", ignoring)
            sub(/"firstPort": 17201/, "\"firstPort\": 17205", ignoring)
            sub(/"fencing": true/, "\"fencing\": false", ignoring)
            print group "," ignoring
            inside = 0
        }
        inside {group = group $0 "\n"; next}
        {print}' examples/el-gohary/standin.json >"$settings/standin.json"
}
