#!/bin/bash
# Case 2: an entry goes on using endpoints that drain. See claim.txt.
export LINK_MBPS=20
exec "$(dirname "$0")/../standins/play.sh" partial 12 "$(dirname "$0")"
