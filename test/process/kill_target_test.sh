#!/bin/sh
# Symptom: a report ran at two targets, or one that ran was called "not run".
# Events: a target dies with requests in its slots.
# Cause: what had been sent to the dead target is sent to another.
. "$(dirname "$0")/run.sh"
run kill-target
zero doubled misrouted false_not_run
