#!/bin/sh
# Guards against a planned stop of a target that cuts its feeds and requests.
# Its account is published with the target draining, and the target gets
# SIGTERM: it finishes its work, refuses new work and then quits. Entries must
# not send it new work, and must not cut its feeds.
. "$(dirname "$0")/run.sh"
run_demo stop-target
expect_zero doubled misrouted false_not_run lost cut unknown broken_flows
