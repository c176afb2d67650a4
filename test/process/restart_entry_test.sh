#!/bin/sh
# Guards against an upgrade of an entry that cuts requests and feeds.
# An entry gets SIGTERM under load. When it has left, a new process starts in
# its place, and the fabric sends it packets at once. The new process must not
# answer for flows before it has their pins and the records of ended requests.
SECONDS_LOAD=16
. "$(dirname "$0")/run.sh"
run_demo restart-entry
expect_zero doubled misrouted false_not_run lost cut unknown broken_flows
