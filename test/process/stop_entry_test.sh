#!/bin/sh
# Guards against a planned stop of an entry that cuts requests and feeds.
# An entry gets SIGTERM under load, and the fabric keeps sending it packets for
# 2 s. It must not leave before its pins, its requests in progress and its
# records of ended requests have reached their next owners.
. "$(dirname "$0")/run.sh"
run_demo stop-entry
expect_zero doubled misrouted false_not_run lost cut unknown broken_flows
