#!/bin/sh
# Guards against a report that runs twice or reaches another service.
# An entry is stopped for 3 s. Meanwhile a target begins to drain, and peers
# take over the flows of the entry. When it runs again, it has an old
# configuration and an old list of members, and must not act on them.
. "$(dirname "$0")/run.sh"
run_demo freeze-drain
expect_zero doubled misrouted false_not_run
