#!/bin/sh
# Guards against a data path that depends on the configuration service.
# The platform dies under load and does not return. The configuration in force
# must not be dropped, and no packet may wait for a read from the platform.
. "$(dirname "$0")/run.sh"
run_demo platform-down
expect_zero doubled misrouted false_not_run lost cut unknown broken_flows
