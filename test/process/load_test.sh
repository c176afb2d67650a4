#!/bin/bash
# cbctl load sums what cb-packet processes with real requests report. Guards
# against a field that the status page and cbctl name differently, and against an
# entry that does not answer and is taken for one without load.
set -eu
cd "$(dirname "$0")/../.."
B=${B:-build/opt}
. test/process/pages.sh
# The addresses are fixed, so only one test that uses them runs at a time.
exec 9>>"${TMPDIR:-/tmp}/cactusbeam-cb-packet.lock"
flock 9
dir=$(mktemp -d)
trap 'wait; rm -rf "$dir"' EXIT
ONE=127.3.0.1:8166
TWO=127.3.0.2:8166
NOBODY=127.3.0.99:8166

fail() {
	echo "FAILED: $*"
	cat "$dir/out" "$dir/err"
	exit 1
}

# load CODE ARGS...: the output of cbctl load, which has to exit with CODE.
load() {
	local expected=$1 code=0
	shift
	"$B/bin/cbctl" load "$@" >"$dir/out" 2>"$dir/err" || code=$?
	[ "$code" = "$expected" ] || fail "load $*: exit $code"
}

# The value of a field in the first row of reports.
field() { sed -n "/ report /{s/.* $1 \([^ ]*\).*/\1/p;q}" "$dir/out"; }

"$B/bin/sim-soak" --program "$B/bin/cb-packet" --dir "$dir" --first-seed 1 \
	--seeds 1 --fault add_route >"$dir/soak" 2>&1 &
# Waits for requests, not for a time: the processes start within some seconds.
for _ in $(seq 600); do
	"$B/bin/cbctl" load "$ONE" "$TWO" >"$dir/out" 2>"$dir/err" || true
	[ "$(field admitted)" ] && [ "$(field admitted)" -gt 10 ] && break
	sleep 0.1
done
load 0 "$ONE" "$TWO"
[ "$(field admitted)" -gt 10 ] || fail "no request was admitted"
[ "$(field offered)" -ge "$(field admitted)" ] || fail "more admitted than offered"
[ "$(field refusing)" = 0/2 ] || fail "refusing is not 0/2"
[ "$(field cause)" ] || fail "no cause"
load 0 --json "$ONE" "$TWO"
grep -q '^\[{"service":"[a-z]*","class":"[a-z]*","offered":[1-9]' "$dir/out" ||
	fail "not a list of rows"
load 3 "$ONE" "$NOBODY"
[ "$(field refusing)" = 0/1 ] || fail "the entry that answered is not shown"
grep -q "^cbctl: step=status peer=$NOBODY " "$dir/err" ||
	fail "the message does not name the entry that does not answer"
get_page "$ONE" /metrics >"$dir/out" || fail "no metrics"
grep -q '^cb_packet_requests_total{service="[a-z]*",class="report",event="admitted"} [1-9]' \
	"$dir/out" || fail "the metrics have no admitted requests"
grep -q '^cb_packet_connections_total{cause="client"} [1-9]' "$dir/out" ||
	fail "the metrics have no connections of clients"
grep -q '^cb_packet_admission_answers_per_second{service="[a-z]*"} ' "$dir/out" ||
	fail "the metrics have no rate of answers"
"$B/bin/cbctl" --json status "$ONE" >"$dir/out" 2>"$dir/err" || fail "status"
# The configuration of the soak has downloads, which call for load control.
grep -q '"load_control":"on"' "$dir/out" || fail "load control is not on"
wait
grep -q '^1 passed' "$dir/soak" || { cat "$dir/soak"; exit 1; }
echo passed
