#!/bin/bash
# Case 3: a configuration of the largest size is refused. See claim.txt.
exec "$(dirname "$0")/../standins/play.sh" largest 7 "$(dirname "$0")"
