#!/usr/bin/env bash
# Two machines give orders with one fence number after the store came back from a copy.
exec bash "$(dirname "$0")/../play.sh" "$(dirname "$0")" Drill
