# Sourced by the tests beside it: one run of scripts/demo with a fault, on
# addresses of its own, judged by the ids that callers and targets wrote down.
# No clock is judged; figures that may differ from run to run are printed.
set -u
cd "$(dirname "$0")/../.." || exit 2
B=${B:-build/opt}
# Each is the beginning of a run's addresses; two runs never share one.
NETS=${PROCESS_NETS:-100.1 100.2 100.3 100.4 100.5 100.6 100.7 100.8 100.9
	100.10 100.11 100.12 100.13 100.14 100.15 100.16}

fail() {
	echo "FAILED: $*"
	exit 1
}

# Holds one of NETS by a lock that the run's processes inherit, so that one
# which outlives its run keeps the next off its addresses.
take_net() {
	for NET in $NETS; do
		lock="${TMPDIR:-/tmp}/cactusbeam-net-$NET.lock"
		(: >>"$lock") 2>/dev/null || continue
		exec 9>>"$lock"
		flock -n 9 && return
	done
	fail "all of PROCESS_NETS are taken"
}

# Work is long and mostly not idempotent, so that the process which is hit has
# some in progress: 2 to 5 requests of each entry, 2 of each target.
# run FAULT: leaves the JSON line in $json.
run() {
	take_net
	work="$B/test/process-$1"
	rm -rf "$work"
	mkdir -p "$work"
	TMPDIR="$work" KEEP=1 B="$B" NET="$NET" FAULT="$1" \
		SECONDS_LOAD=10 RATE=120 WORK_MS=160 \
		CBLOAD_ARGS="-v --mix 1:7:2" \
		scripts/demo >"$work/out" 2>&1
	code=$?
	cat "$work/out"
	json=$(grep '^{' "$work/out" | tail -n 1)
	[ -n "$json" ] || fail "$1: no figures, exit $code"
	grep -E '^demo: (died|did not end|not told|the run)' "$work/out" &&
		fail "$1: the run proves nothing"
	faults=$(grep -rlE 'AddressSanitizer|LeakSanitizer|runtime error:' \
		--include='*.log' "$work")
	[ -z "$faults" ] || fail "$1: sanitizer report in $faults"
	[ "$(value answered)" -gt 0 ] || fail "$1: nothing was answered"
}

value() {
	printf '%s\n' "$json" | sed -n "s/.*\"$1\":\([-0-9.]*\).*/\1/p"
}

# zero KEY...: each of these counts is there and is 0.
zero() {
	for key in "$@"; do
		[ "$(value "$key")" = 0 ] || fail "$key is $(value "$key")"
	done
	rm -rf "$work"
	echo "passed"
}
