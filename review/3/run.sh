#!/bin/bash
# Case 3: a configuration of the largest size is refused. See claim.txt.
# TROUBLE=0: the same configuration with one byte less.
export TROUBLE="${TROUBLE:-1}"
exec "$(dirname "$0")/../standins/play.sh" largest 7 "$(dirname "$0")"
