#!/bin/sh
# Symptom: a planned stop of an entry cuts requests and feeds.
# Events: SIGTERM to an entry under load; the fabric goes on handing it
# packets for 2 s.
# Cause: it leaves before its pins, its requests in progress and what it knows
# of ended ones are at their next owners.
. "$(dirname "$0")/run.sh"
run stop-entry
zero doubled misrouted false_not_run lost cut unknown broken_flows
