#!/usr/bin/env bash
# Builds the stand-ins of the second review into target/review-2; run it after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
source bin/lib.sh
jdk=$(find_jdk)
rm -rf target/review-2
mkdir -p target/review-2
"$jdk/bin/javac" -nowarn -cp 'target/system/*' -d target/review-2 review/standins-2/review2/*.java
