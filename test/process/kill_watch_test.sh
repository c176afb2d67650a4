#!/bin/sh
# Guards against a data path that depends on the control process of its VM.
# The cb-watch of a VM dies under load while its cb-entry keeps running; the
# entry must not need it for requests in progress.
. "$(dirname "$0")/run.sh"
run_demo kill-watch
expect_zero doubled misrouted false_not_run lost cut unknown broken_flows
