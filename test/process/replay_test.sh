#!/bin/sh
# cbctl replay prints the lines about one flow from the logs of three entries:
# two entries made decisions about the flow, one found its target dead. Lines
# about other flows and targets are left out. Refusals of openings that an entry
# began just before are shown for the entries that decided.
set -eu
cd "$(dirname "$0")/../.."
B=${B:-build/opt}
dir=$(mktemp -d)
trap 'rm -rf "$dir"' EXIT

log_record() {
	printf '{"time":"2026-01-02T03:04:%sZ","level":"info","program":"cb-packet","step":"%s","peer":"%s","message":"%s"}\n' "$1" "$2" "$3" "$4"
}

fail() {
	echo "FAILED: $*"
	cat "$dir/out"
	exit 1
}

{
	log_record 01.000000 start "" "version 0.1.0, data centre garda"
	log_record 05.000000 flow.open 10.0.0.1:1000 "vip 10.9.0.1:80 placed target ab12 at 10.1.0.1:8000 health good"
	log_record 05.500000 flow.open 10.0.0.1:1001 "vip 10.9.0.1:80 placed target cd34 at 10.1.0.2:8000 health good"
	log_record 05.200000 load.refuse forecast "openings are refused: predicted wait 1500 ms, 30 held"
	log_record 20.000000 ready "" "no"
} >"$dir/one.log"
{
	log_record 06.200000 flow.reset 10.0.0.1:1000 "vip 10.9.0.1:80 swept target ab12 at 10.1.0.1:8000 health dead"
	log_record 06.100000 target.health 10.1.0.1:8000 "target ab12 dead, was doubted"
	log_record 06.150000 target.health 10.1.0.2:8000 "target cd34 doubted, was good"
	log_record 04.000000 platform "" "call failed: connection timed out, status 0"
	echo "not a line of a log"
} | sed 's/^/12.5 entry-two /' >"$dir/collected.log"
{
	log_record 05.800000 target.eject forecast "target ab12 gets no new flows for 3000 ms"
	log_record 05.900000 target servers/i-ab12 "absent, service forecast"
	log_record 05.000000 platform "" "call failed: of an entry that never saw the flow"
	log_record 05.300000 load.refuse forecast "openings are refused: of an entry that never saw the flow"
} >"$dir/three.log"

logs="$dir/one.log $dir/collected.log $dir/three.log"
# shellcheck disable=SC2086
"$B/bin/cbctl" replay 10.0.0.1:1000 $logs >"$dir/out" || fail "exit $?"
awk '{print $2, $3}' "$dir/out" >"$dir/actual"
cat >"$dir/expected" <<'EOF'
entry-two platform
one.log flow.open
one.log load.refuse
three.log target.eject
three.log target
entry-two target.health
entry-two flow.reset
EOF
diff "$dir/expected" "$dir/actual" >"$dir/diff" || {
	cat "$dir/diff"
	fail "the lines differ from the expected ones"
}
# shellcheck disable=SC2086
"$B/bin/cbctl" --json replay 10.0.0.1:1000 $logs >"$dir/out"
[ "$(grep -o '"entry"' "$dir/out" | wc -l)" = 7 ] || fail "not seven records in JSON"
code=0
# shellcheck disable=SC2086
"$B/bin/cbctl" replay 10.0.0.9:1 $logs >"$dir/out" 2>&1 || code=$?
[ "$code" = 1 ] || fail "a flow that is in no log: exit $code"
code=0
"$B/bin/cbctl" replay 10.0.0.1:1000 "$dir/none" >"$dir/out" 2>&1 || code=$?
[ "$code" = 2 ] || fail "a missing file: exit $code"
grep -q "$dir/none" "$dir/out" || fail "the message does not name the missing file"
echo passed
