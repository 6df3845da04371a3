#!/usr/bin/env bash
# The ninth part of prompts crashes runners: requests with it go on reaching runners.
# Exits with 1 if the rule was broken, 0 if it held, 2 if it could not run; TROUBLE=0 leaves the disruption out.
set -euo pipefail
folder=$(cd "$(dirname "$0")" && pwd)
source "$folder/../standins-2/case.sh"
run_case FatalPart "$folder"
