#!/bin/bash
# Guards against a renamed metric or log field, which breaks tools of operators
# although the source still compiles. The /metrics page of each running daemon
# has the metrics of docs/OUTER_NAMES.md, each log record has its fields, and
# check-outer-names fails for a name that is only in the list.
set -eu
cd "$(dirname "$0")/../.."
B=${B:-build/opt}
. test/process/pages.sh
. scripts/demo-files
KEY=00112233445566778899aabbccddeeff00112233445566778899aabbccddeeff
ENTRIES=1
NET=100.17
# The addresses are fixed, so only one test that uses them runs at a time.
exec 9>>"${TMPDIR:-/tmp}/cactusbeam-cb-packet.lock"
flock 9
dir=$(mktemp -d)
pids=
trap 'for p in $pids; do kill -9 "$p" 2>/dev/null || true; done; rm -rf "$dir"' EXIT

fail() {
	echo "FAILED: $*"
	tail -n 20 "$dir"/*.log
	exit 1
}

start_process() { # NAME PROGRAM ARGS...
	name=$1
	shift
	"$@" >"$dir/$name.log" 2>&1 9>&- &
	pids="$pids $!"
}

# listed_metrics PROGRAM: its names in the section of metrics.
listed_metrics() {
	sed -n '/^## Metrics$/,/^## /p' docs/OUTER_NAMES.md | grep '^cb_' |
		case $1 in
		cb-packet) grep '^cb_packet_' ;;
		cb-watch) grep '^cb_watch_' ;;
		*) grep -vE '^cb_(packet|watch)_' ;;
		esac | sort -u
}

# expect_listed_metrics IP:PORT PROGRAM: the page has just the listed names.
expect_listed_metrics() {
	get_page "$1" /metrics >"$dir/page" || fail "$1 has no page"
	metric_names <"$dir/page" >"$dir/page.names"
	listed_metrics "$2" >"$dir/list.names"
	[ -s "$dir/list.names" ] || fail "no metric of $2 is listed"
	comm -13 "$dir/list.names" "$dir/page.names" >"$dir/unlisted"
	comm -23 "$dir/list.names" "$dir/page.names" |
		grep -vxF -f "$dir/service_metrics" >"$dir/absent" || true
	[ ! -s "$dir/unlisted" ] || fail "not in the list: $(cat "$dir/unlisted")"
	[ ! -s "$dir/absent" ] || fail "not on the page: $(cat "$dir/absent")"
}

# Metrics of services are not on the page while they are 0. The source contains
# their full names, so check-outer-names finds them.
grep -oh 'cb_[a-z_]*' cmd/cb-entry/metrics_accounts.c adapters/load_text.c \
	>"$dir/service_metrics"

packet_settings >"$dir/packet.toml"
start_process packet "$B/bin/cb-packet" --settings "$dir/packet.toml"
wait_for_lines "$dir/packet.log" 1 '"step":"start"' || fail "cb-packet did not start"
expect_listed_metrics 127.77.0.1:8166 cb-packet
for field in time level program step message; do
	head -n 1 "$dir/packet.log" | grep -q "\"$field\":\"" ||
		fail "a record of the log lacks $field"
done

publish "$dir/keys"
start_process platform "$B/bin/sim-platform" --addr "$(address 127.0.0.1:7500)" \
	--admin "$(address 127.0.0.1:7501)" --keys "$dir/keys"
watch_settings 1 >"$dir/watch.toml"
entry_settings 1 >"$dir/entry.toml"
LIVE=$(address 127.1.0.10:5683)
INGEST=$(address 127.1.0.11:5683)
# shellcheck disable=SC2046
start_process fabric "$B/bin/sim-fabric" $(fabric_args)
start_process target "$B/bin/sim-target" --service live --addr "$(address 127.2.0.1:5683)"
start_process watch "$B/bin/cb-watch" --settings "$dir/watch.toml"
start_process entry "$B/bin/cb-entry" --settings "$dir/entry.toml"
"$B/bin/cbload" --wait-ready "http://$(address 127.0.1.1:7080)/status" ||
	fail "cb-entry is not ready"
# Only one of six targets runs: some requests fail, so more metrics appear.
"$B/bin/cbload" --live "$LIVE" --from "$(address 127.0.8.1)" --seconds 1 --feeds 2 \
	--rate 20 --timeout-ms 1000 >"$dir/load.log" 2>&1 || true
expect_listed_metrics "$(address 127.0.1.1:7081)" cb-watch
expect_listed_metrics "$(address 127.0.1.1:7080)" cb-entry

get_page "$(address 127.0.1.1:7080)" /metrics | metric_names >"$dir/page.names"
grep -qx cb_admitted_total "$dir/page.names" || fail "no request was admitted"

sed 's/^decisions_per_s$/decisions_a_second/' docs/OUTER_NAMES.md >"$dir/list.md"
cmp -s docs/OUTER_NAMES.md "$dir/list.md" && fail "the name was not removed from the list"
LIST="$dir/list.md" scripts/check-outer-names >"$dir/check.out" &&
	fail "check-outer-names accepts a name that is only in the list"
grep -q "'decisions_a_second' is gone" "$dir/check.out" || fail "$(cat "$dir/check.out")"
echo passed
