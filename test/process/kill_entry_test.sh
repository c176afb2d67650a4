#!/bin/sh
# Symptom: a report ran twice, or one that ran was called "not run".
# Events: an entry VM dies with its cb-watch; fabric and list of VMs know of
# it 2 s later; callers repeat what it had not answered.
# Cause: the next owner of a flow does not know what the dead one had sent.
. "$(dirname "$0")/run.sh"
run kill-entry
zero doubled misrouted false_not_run
