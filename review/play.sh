#!/usr/bin/env bash
# Plays one script: review/play.sh FOLDER CLASS [JAVA OPTION...]. Exits with 1 if the rule was broken, with 0 if it held
# and with 2 if the case could not run.
set -uo pipefail
folder=$(cd "$1" && pwd)
class=$2
shift 2
cd "$(dirname "$0")/.."
source bin/lib.sh
jdk=$(find_jdk) || exit 2
[ -d target/review ] || { echo "review/build.sh has not run" >&2; exit 2; }
exec "$jdk/bin/java" "$@" -cp target/review "$class" "$folder" .
