#!/usr/bin/env bash
# Builds the stand-ins and scripts of the review into target/review. Needs nothing but the JDK.
set -euo pipefail
cd "$(dirname "$0")/.."
source bin/lib.sh
jdk=$(find_jdk) || { echo "review/build.sh: JDK 25 or later not found" >&2; exit 2; }
rm -rf target/review
mkdir -p target/review
"$jdk/bin/javac" -d target/review review/standins/*.java
