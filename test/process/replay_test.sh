#!/bin/sh
# cbctl replay on the logs of three entries: a flow that two of them decided on,
# its target found dead by one; lines of others stay out.
set -eu
cd "$(dirname "$0")/../.."
B=${B:-build/opt}
dir=$(mktemp -d)
trap 'rm -rf "$dir"' EXIT

line() {
	printf '{"time":"2026-01-02T03:04:%sZ","level":"info","program":"cb-packet","step":"%s","peer":"%s","message":"%s"}\n' "$1" "$2" "$3" "$4"
}

fail() {
	echo "FAILED: $*"
	cat "$dir/out"
	exit 1
}

{
	line 01.000000 start "" "version 0.1.0, data centre garda"
	line 05.000000 flow.open 10.0.0.1:1000 "vip 10.9.0.1:80 placed target ab12 at 10.1.0.1:8000 health good"
	line 05.500000 flow.open 10.0.0.1:1001 "vip 10.9.0.1:80 placed target cd34 at 10.1.0.2:8000 health good"
	line 20.000000 ready "" "no"
} >"$dir/one.log"
{
	line 06.200000 flow.reset 10.0.0.1:1000 "vip 10.9.0.1:80 swept target ab12 at 10.1.0.1:8000 health dead"
	line 06.100000 target.health 10.1.0.1:8000 "target ab12 dead, was doubted"
	line 06.150000 target.health 10.1.0.2:8000 "target cd34 doubted, was good"
	line 04.000000 platform "" "call failed: connection timed out, status 0"
	echo "not a line of a log"
} | sed 's/^/12.5 entry-two /' >"$dir/collected.log"
{
	line 05.800000 target.eject forecast "target ab12 gets no new flows for 3000 ms"
	line 05.900000 target servers/i-ab12 "absent, service forecast"
	line 05.000000 platform "" "call failed: of an entry that never saw the flow"
} >"$dir/three.log"

logs="$dir/one.log $dir/collected.log $dir/three.log"
# shellcheck disable=SC2086
"$B/bin/cbctl" replay 10.0.0.1:1000 $logs >"$dir/out" || fail "exit $?"
awk '{print $2, $3}' "$dir/out" >"$dir/got"
cat >"$dir/expected" <<'EOF'
entry-two platform
one.log flow.open
three.log target.eject
three.log target
entry-two target.health
entry-two flow.reset
EOF
diff "$dir/expected" "$dir/got" >"$dir/diff" || {
	cat "$dir/diff"
	fail "other lines"
}
# shellcheck disable=SC2086
"$B/bin/cbctl" --json replay 10.0.0.1:1000 $logs >"$dir/out"
[ "$(grep -o '"entry"' "$dir/out" | wc -l)" = 6 ] || fail "json"
code=0
# shellcheck disable=SC2086
"$B/bin/cbctl" replay 10.0.0.9:1 $logs >"$dir/out" 2>&1 || code=$?
[ "$code" = 1 ] || fail "a flow that nobody names: exit $code"
code=0
"$B/bin/cbctl" replay 10.0.0.1:1000 "$dir/none" >"$dir/out" 2>&1 || code=$?
[ "$code" = 2 ] || fail "a file that is not there: exit $code"
grep -q "$dir/none" "$dir/out" || fail "the file is not named"
echo passed
