#!/bin/sh
# Symptom: a planned stop of a target cuts its feeds and requests.
# Events: its account is published with the target draining, and the target
# gets SIGTERM: it ends what it has, refuses what is new, and then quits.
# Cause: work goes on to a target that leaves, or leaves it with its feeds.
. "$(dirname "$0")/run.sh"
run stop-target
zero doubled misrouted false_not_run lost cut unknown broken_flows
