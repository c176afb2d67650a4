#!/bin/sh
# Symptom: the data path suffers with the configuration service.
# Events: the platform dies under load and stays away.
# Cause: the configuration in force is dropped, or a packet waits for a read.
. "$(dirname "$0")/run.sh"
run platform-down
zero doubled misrouted false_not_run lost cut unknown broken_flows
