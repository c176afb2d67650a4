#!/bin/sh
# Real cb-packet processes through three random faults of a fixed seed, then
# through faults of their connections to the store.
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
soak --faults 3
soak --fault links_silent --fault answers_lost --fault targets_fail \
	--fault links_reset
