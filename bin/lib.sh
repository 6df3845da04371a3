# Sourced by the launchers: finds a JDK 25 or later and starts a program from the build of its module.

find_jdk() {
    local candidate
    for candidate in "${JAVA_HOME:-}" /usr/lib/jvm/* "$HOME"/.jdks/* "$HOME"/.sdkman/candidates/java/* /opt/jdk*; do
        if [ -x "$candidate/bin/java" ] && [ "$(jdk_major "$candidate")" -ge 25 ]; then
            echo "$candidate"
            return 0
        fi
    done
    echo "no JDK 25 or later in JAVA_HOME, /usr/lib/jvm, ~/.jdks, ~/.sdkman or /opt" >&2
    return 1
}

# Prints the major version in the release file of a JDK, 0 if there is none.
jdk_major() {
    local line
    line=$(grep -s '^JAVA_VERSION=' "$1/release" || echo 'JAVA_VERSION="0"')
    line=${line#*\"}
    echo "${line%%[.\"]*}"
}

# usage: [PERSIMMON_COLLECTOR=...] launch <module> <main class> <heap> <arguments...>
launch() {
    local module=$1 main=$2 heap=$3 root jar jdk
    shift 3
    root=$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)
    jar=$(ls "$root/$module"/target/persimmon-*.jar 2>/dev/null | grep -v -e '-tests' -e '-sources' | head -1)
    if [ -z "$jar" ]; then
        echo "$module: not built; run 'mvn -DskipTests package' in $root" >&2
        exit 2
    fi
    jdk=$(find_jdk) || exit 2
    # A process that runs out of memory exits, so that its peers see closed connections and it can be restarted.
    # shellcheck disable=SC2086
    exec "$jdk/bin/java" -Xmx"$heap" -XX:+"${PERSIMMON_COLLECTOR:-UseSerialGC}" -XX:+UseCompactObjectHeaders \
        -XX:+ExitOnOutOfMemoryError \
        ${PERSIMMON_JAVA_OPTIONS:-} -cp "$jar:$root/$module/target/lib/*" "$main" "$@"
}
