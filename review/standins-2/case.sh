# Sourced by the run.sh of each case: runs its class in a temporary folder.
# usage: run_case CLASS FOLDER [WORD]
run_case() {
    local class=$1 folder=$2 word=${3:-} root jdk code=0
    root=$(cd "$(dirname "${BASH_SOURCE[0]}")/../.." && pwd)
    cd "$root"
    source bin/lib.sh
    [ -f "target/review-2/review2/$class.class" ] || { echo "not built: run review/build-2.sh"; exit 2; }
    jdk=$(find_jdk) || exit 2
    work=$(mktemp -d)
    "$jdk/bin/java" -Xmx512m -Dsun.net.httpserver.nodelay=true -Dsun.net.httpserver.maxIdleConnections=2000 \
        -cp "target/review-2:target/system/*" "review2.$class" "$folder" "$work" "${TROUBLE:-1}" "$word" &
    pid=$!
    # The program ends the nodes that it started when it is ended itself.
    trap 'kill "$pid" 2> /dev/null; wait "$pid"; rm -rf "$work"; exit 2' TERM INT
    wait "$pid" || code=$?
    trap - TERM INT
    if [ -n "${KEEP_LOGS:-}" ]; then
        mkdir -p "$KEEP_LOGS"
        cp "$work"/* "$KEEP_LOGS"/
    fi
    rm -rf "$work"
    case $code in 0 | 1) exit $code ;; *) exit 2 ;; esac
}
