#!/bin/sh
# Guards against a report that runs twice or reaches another service.
# An entry is stopped for 3 s, and its peers take over its flows. When it runs
# again, it must not send requests that it had received before, nor answer for
# flows that it no longer owns.
. "$(dirname "$0")/run.sh"
run_demo freeze-entry
expect_zero doubled misrouted false_not_run
