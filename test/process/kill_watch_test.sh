#!/bin/sh
# Symptom: the data path suffers with the control process beside it.
# Events: a VM's cb-watch dies under load; its cb-entry stays.
# Cause: the entry needs its cb-watch for the work in hand.
. "$(dirname "$0")/run.sh"
run kill-watch
zero doubled misrouted false_not_run lost cut unknown broken_flows
