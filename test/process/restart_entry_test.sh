#!/bin/sh
# Symptom: an upgrade of an entry cuts requests and feeds.
# Events: SIGTERM to an entry under load; when it has left, a new process
# begins in its place, and the fabric hands it packets at once.
# Cause: the new process answers for flows before it has their pins and what
# is known of ended requests.
SECONDS_LOAD=16
. "$(dirname "$0")/run.sh"
run restart-entry
zero doubled misrouted false_not_run lost cut unknown broken_flows
