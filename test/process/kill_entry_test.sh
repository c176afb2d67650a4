#!/bin/sh
# Guards against a report that runs twice, or that ran and is answered "not
# run". An entry VM dies with its cb-watch. Fabric and list of VMs drop it 2 s
# later, and callers retransmit what it had not answered. The next owner of a
# flow does not know which requests the dead entry had sent to targets.
. "$(dirname "$0")/run.sh"
run_demo kill-entry
expect_zero doubled misrouted false_not_run
