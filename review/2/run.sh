#!/usr/bin/env bash
# Cut answers reach requesters as whole ones.
# TROUBLE=0 plays the same without the disruption and must pass.
export TROUBLE="${TROUBLE:-1}"
exec bash "$(dirname "$0")/../play.sh" "$(dirname "$0")" CutChunks
