#!/usr/bin/env bash
# Two machines give orders with one fence number after the store came back from a copy.
# TROUBLE=0 plays the same without the disruption and must pass.
export TROUBLE="${TROUBLE:-1}"
exec bash "$(dirname "$0")/../play.sh" "$(dirname "$0")" Drill
