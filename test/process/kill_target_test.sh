#!/bin/sh
# Guards against a report that runs at two targets, or that ran and is answered
# "not run". A target dies with requests in its slots; those that were sent to
# it must not be sent to another target.
. "$(dirname "$0")/run.sh"
run_demo kill-target
expect_zero doubled misrouted false_not_run
