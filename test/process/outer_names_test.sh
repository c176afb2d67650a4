#!/bin/bash
# A renamed counter or field of the log changes what operators' tools read,
# though the source still compiles. Every metric of docs/OUTER_NAMES.md is on
# the page of a running daemon, every record has its fields, and a name that is
# in the list but nowhere else makes check-outer-names fail.
set -eu
cd "$(dirname "$0")/../.."
B=${B:-build/opt}
. test/process/pages.sh
. scripts/demo-files
KEY=00112233445566778899aabbccddeeff00112233445566778899aabbccddeeff
ENTRIES=1
NET=100.17
# Its addresses are fixed: one run at a time on a machine.
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

start() { # NAME PROGRAM ARGS...
	name=$1
	shift
	"$@" >"$dir/$name.log" 2>&1 9>&- &
	pids="$pids $!"
}

# Names in the section of metrics: PROGRAM.
listed() {
	sed -n '/^## Metrics$/,/^## /p' docs/OUTER_NAMES.md | grep '^cb_' |
		case $1 in
		cb-packet) grep '^cb_packet_' ;;
		cb-watch) grep '^cb_watch_' ;;
		*) grep -vE '^cb_(packet|watch)_' ;;
		esac | sort -u
}

# exported IP:PORT PROGRAM: the page has the names of the list, and no other.
exported() {
	page "$1" /metrics >"$dir/page" || fail "$1 has no page"
	metric_names <"$dir/page" >"$dir/page.names"
	listed "$2" >"$dir/list.names"
	[ -s "$dir/list.names" ] || fail "no metric of $2 is listed"
	comm -13 "$dir/list.names" "$dir/page.names" >"$dir/unlisted"
	comm -23 "$dir/list.names" "$dir/page.names" |
		grep -vxF -f "$dir/of_services" >"$dir/absent" || true
	[ ! -s "$dir/unlisted" ] || fail "not in the list: $(cat "$dir/unlisted")"
	[ ! -s "$dir/absent" ] || fail "not on the page: $(cat "$dir/absent")"
}

# Metrics of services stay off the page while they are 0; their names stand
# whole in the source, where check-outer-names sees them.
grep -oh 'cb_[a-z_]*' cmd/cb-entry/metrics_accounts.c >"$dir/of_services"

# The tests of cb-packet's processes use the addresses in 127.77.
cat >"$dir/packet.toml" <<END
[vm]
data_centre = "garda"
peer = "127.77.0.1:7720"
http = "127.77.0.1:8166"
[clients]
listen = "127.77.0.1:8172"
[platform]
address = "127.77.0.2:8169"
ready = "127.77.0.1:8167"
END
start packet "$B/bin/cb-packet" --settings "$dir/packet.toml"
wait_for "$dir/packet.log" 1 '"step":"start"' || fail "cb-packet"
exported 127.77.0.1:8166 cb-packet
for field in time level program step message; do
	head -n 1 "$dir/packet.log" | grep -q "\"$field\":\"" ||
		fail "a record of the log lacks $field"
done

publish "$dir/keys"
start platform "$B/bin/sim-platform" --addr "$(address 127.0.0.1:7500)" \
	--admin "$(address 127.0.0.1:7501)" --keys "$dir/keys"
watch_settings 1 >"$dir/watch.toml"
entry_settings 1 >"$dir/entry.toml"
LIVE=$(address 127.1.0.10:5683)
INGEST=$(address 127.1.0.11:5683)
# shellcheck disable=SC2046
start fabric "$B/bin/sim-fabric" $(fabric_args)
start target "$B/bin/sim-target" --service live --addr "$(address 127.2.0.1:5683)"
start watch "$B/bin/cb-watch" --settings "$dir/watch.toml"
start entry "$B/bin/cb-entry" --settings "$dir/entry.toml"
"$B/bin/cbload" --wait-ready "http://$(address 127.0.1.1:7080)/status" ||
	fail "cb-entry is not ready"
# One target of six runs: some requests fail, so that more metrics show.
"$B/bin/cbload" --live "$LIVE" --from "$(address 127.0.8.1)" --seconds 1 --feeds 2 \
	--rate 20 --timeout-ms 1000 >"$dir/load.log" 2>&1 || true
exported "$(address 127.0.1.1:7081)" cb-watch
exported "$(address 127.0.1.1:7080)" cb-entry

page "$(address 127.0.1.1:7080)" /metrics | metric_names >"$dir/page.names"
grep -qx cb_admitted_total "$dir/page.names" || fail "no request was admitted"

sed 's/^decisions_per_s$/decisions_a_second/' docs/OUTER_NAMES.md >"$dir/list.md"
cmp -s docs/OUTER_NAMES.md "$dir/list.md" && fail "no name was taken out"
LIST="$dir/list.md" scripts/check-outer-names >"$dir/said" &&
	fail "a name that no source has passes"
grep -q "'decisions_a_second' is gone" "$dir/said" || fail "$(cat "$dir/said")"
echo passed
