#!/bin/sh
# Real cb-packet processes through faults of a fixed seed: of all kinds, of their
# connections to the store, and of a store that comes back from an older copy.
set -eu
# Its addresses are fixed: one run at a time on a machine.
exec 9>>"${TMPDIR:-/tmp}/cactusbeam-cb-packet.lock"
flock 9
dir=$(mktemp -d)
trap 'rm -rf "$dir"' EXIT
soak() {
	"$B/bin/sim-soak" --program "$B/bin/cb-packet" --dir "$dir" \
		--first-seed 1 --seeds 1 "$@" || {
		tail -n 20 "$dir"/*.log
		exit 1
	}
}
soak --fault add_route --fault reload --fault requests_lost
soak --fault links_silent --fault answers_lost --fault targets_fail \
	--fault links_reset
soak --fault store_restored_few_see --fault kill_entry --fault store_restored
