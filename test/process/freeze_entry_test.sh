#!/bin/sh
# Symptom: a report ran twice, or reached another service.
# Events: an entry sleeps 3 s, its peers take its flows over, it wakes up.
# Cause: the woken entry acts on its old view: it sends what it had taken in,
# and answers for flows that are no longer its own.
. "$(dirname "$0")/run.sh"
run freeze-entry
zero doubled misrouted false_not_run
