#!/bin/sh
# scripts/deployments: the same seed gives the same deployment, figures stay
# within their bounds, the offered work per slot is between 0.5 and 1.5 times
# that of the site, other lines are unchanged, and wrong arguments are refused.
set -eu
cd "$(dirname "$0")/../.."
dir=$(mktemp -d)
trap 'rm -rf "$dir"' EXIT

fail() {
	echo "FAILED: $*"
	exit 1
}

cat >"$dir/site.toml" <<'EOF'
name = "hall"
machines = [
  { class = "entry", cpu_share = 0.5, link_mbps = 10, count = 2 },
]
services = [
  { name = "feeds", slots = 2, queue = 8, cold_per_s = 0, idle_close_ms = 9 },
  { name = "reports", slots = 2, queue = 8, idle_close_ms = 9 },
]
classes = [
  { name = "feed", aim_ms = 400, work_ms = { mean = 20.0, max = 140.0 } },
]
traffic = [
  { zone = "hall", per_s = 100.0, clients = 40 },
]
EOF
scripts/deployments "$dir/site.toml" 7 >"$dir/one"
scripts/deployments "$dir/site.toml" 7 >"$dir/two"
cmp "$dir/one" "$dir/two" || fail "two deployments of the same seed differ"
scripts/deployments "$dir/site.toml" 8 >"$dir/two"
cmp -s "$dir/one" "$dir/two" && fail "deployments of two seeds are the same"
[ "$(grep -c 'cold_per_s = ' "$dir/one")" = 2 ] || fail "not two lines with cold_per_s"
[ "$(sed -n 1p "$dir/one")" = 'name = "hall"' ] || fail "another line changed"
for seed in 1 2 3 4 5 6 7 8 9 10 11 12; do
	scripts/deployments "$dir/site.toml" $seed | awk -v seed=$seed '
	function figure(name) {
		match($0, name " = [0-9.]+")
		return substr($0, RSTART + length(name) + 3, RLENGTH) + 0
	}
	/ link_mbps/ { link = figure("link_mbps"); cpu = figure("cpu_share") }
	/ slots/ { slots = figure("slots"); queue = figure("queue") }
	/ aim_ms/ { aim = figure("aim_ms"); work = figure("mean") }
	/ per_s = .* clients/ { rate = figure("per_s") }
	END {
		use = rate * work / slots / (100 * 20 / 2)
		if (link < 2 || link > 10 || cpu < 0.2 || cpu > 0.5 ||
		    slots < 1 || slots > 6 || queue < 4 || queue > 20 ||
		    aim < 280 || aim > 1000 || work < 6 || work > 34 ||
		    use < 0.49 || use > 1.51) {
			print "seed", seed, link, cpu, slots, queue, aim, work, use
			exit 1
		}
	}' || fail "figures out of bounds"
done
for bad in "" x 1.5; do
	code=0
	scripts/deployments "$dir/site.toml" "$bad" >/dev/null 2>"$dir/stderr" || code=$?
	[ $code = 2 ] && grep -q "whole number" "$dir/stderr" || fail "seed '$bad' was not refused"
done
code=0
scripts/deployments "$dir/none.toml" 1 >/dev/null 2>&1 || code=$?
[ $code = 2 ] || fail "missing file: exit $code"
echo ok
