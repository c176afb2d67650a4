#!/bin/bash
# Case 2: an entry goes on using endpoints that drain. See claim.txt.
# TROUBLE=0: the same endpoints drain, without a storm of configurations.
export TROUBLE="${TROUBLE:-1}"
export LINK_MBPS=20
exec "$(dirname "$0")/../standins/play.sh" partial 12 "$(dirname "$0")"
