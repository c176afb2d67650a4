# Sourced by the tests in this folder: runs scripts/demo with a fault, on its
# own addresses, and checks the ids of requests that callers and targets logged.
# No times are checked; figures that differ between runs are only printed.
set -u
cd "$(dirname "$0")/../.." || exit 2
B=${B:-build/opt}
# Each is a prefix of addresses for one run; two runs never use the same one.
NETS=${PROCESS_NETS:-100.1 100.2 100.3 100.4 100.5 100.6 100.7 100.8 100.9
	100.10 100.11 100.12 100.13 100.14 100.15 100.16}

fail() {
	echo "FAILED: $*"
	exit 1
}

# Locks one of NETS and sets NET. The processes of the run inherit the lock, so
# a process that outlives its run keeps other runs from using its addresses.
lock_net() {
	for NET in $NETS; do
		lock="${TMPDIR:-/tmp}/cactusbeam-net-$NET.lock"
		(: >>"$lock") 2>/dev/null || continue
		exec 9>>"$lock"
		flock -n 9 && return
	done
	fail "all of PROCESS_NETS are taken"
}

# run_demo FAULT: sets $json to the line of figures. Requests take long and are
# mostly not idempotent, so that a process has some in progress when the fault
# hits it: 2 to 5 at each entry, 2 at each target.
run_demo() {
	lock_net
	work="$B/test/process-$1"
	rm -rf "$work"
	mkdir -p "$work"
	TMPDIR="$work" KEEP=1 B="$B" NET="$NET" FAULT="$1" \
		SECONDS_LOAD="${SECONDS_LOAD:-10}" RATE=120 WORK_MS=160 \
		CBLOAD_ARGS="-v --mix 1:7:2" \
		scripts/demo >"$work/out" 2>&1
	code=$?
	cat "$work/out"
	json=$(grep '^{' "$work/out" | tail -n 1)
	[ -n "$json" ] || fail "$1: no figures, exit $code"
	grep -E '^demo: (died|did not end|not told|the run)' "$work/out" &&
		fail "$1: the run is not valid"
	faults=$(grep -rlE 'AddressSanitizer|LeakSanitizer|runtime error:' \
		--include='*.log' "$work")
	[ -z "$faults" ] || fail "$1: sanitizer report in $faults"
	[ "$(json_value answered)" -gt 0 ] || fail "$1: no request was answered"
}

json_value() {
	printf '%s\n' "$json" | sed -n "s/.*\"$1\":\([-0-9.]*\).*/\1/p"
}

# expect_zero KEY...: each of these figures is present and 0.
expect_zero() {
	for key in "$@"; do
		[ "$(json_value "$key")" = 0 ] || fail "$key is $(json_value "$key")"
	done
	rm -rf "$work"
	echo "passed"
}
