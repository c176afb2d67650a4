#!/bin/sh
# Real cb-packet processes through three random faults of a fixed seed.
set -eu
dir=$(mktemp -d)
trap 'rm -rf "$dir"' EXIT
"$B/bin/sim-soak" --program "$B/bin/cb-packet" --dir "$dir" \
	--first-seed 1 --seeds 1 --faults 3 || {
	tail -n 20 "$dir"/*.log
	exit 1
}
