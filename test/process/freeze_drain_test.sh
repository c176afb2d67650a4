#!/bin/sh
# Symptom: a report ran twice, or reached another service.
# Events: an entry sleeps 3 s; meanwhile a target begins to drain, and peers
# take the sleeper's flows over; it wakes up.
# Cause: the woken entry acts on its old configuration and its old view of
# the fleet at once.
. "$(dirname "$0")/run.sh"
run freeze-drain
zero doubled misrouted false_not_run
