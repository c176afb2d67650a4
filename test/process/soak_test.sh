#!/bin/sh
# cb-packet processes keep serving through faults of a fixed seed: changes and
# lost requests, faults of targets and of connections to the store, targets that
# the kernel refuses to connect to, and a store that is restored from an older
# copy.
set -eu
# The addresses are fixed, so only one test that uses them runs at a time.
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
soak --fault unreachable_targets --fault kill_entry
soak --fault store_restored_few_see --fault kill_entry --fault store_restored
