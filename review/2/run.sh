#!/usr/bin/env bash
# Cut answers reach requesters as whole ones.
exec bash "$(dirname "$0")/../play.sh" "$(dirname "$0")" CutChunks
