#!/bin/bash
# cb-packet applies changed settings after SIGHUP and without it, and keeps the
# settings in force when the file is invalid. The test waits for log lines, not
# for a time.
set -eu
cd "$(dirname "$0")/../.."
B=${B:-build/opt}
. test/process/pages.sh
# The addresses are fixed, so only one test that uses them runs at a time.
exec 9>>"${TMPDIR:-/tmp}/cactusbeam-cb-packet.lock"
flock 9
dir=$(mktemp -d)
pid=
trap 'if [ -n "$pid" ]; then kill -9 "$pid" 2>/dev/null || true; fi; rm -rf "$dir"' EXIT

settings() { # DECISIONS_PER_S
	packet_settings
	printf '[limits]\ndecisions_per_s = %s\n' "$1"
}

# wait_for_log COUNT TEXT: waits up to 60 s until COUNT log lines contain TEXT.
wait_for_log() {
	wait_for_lines "$dir/log" "$1" "$2" && return
	echo "FAILED: not $1 log lines with: $2"
	cat "$dir/log"
	exit 1
}

settings 1 >"$dir/settings.toml"
# The background process may create its log after it is read first.
: >"$dir/log"
"$B/bin/cb-packet" --settings "$dir/settings.toml" >"$dir/log" 2>&1 &
pid=$!
wait_for_log 1 '"step":"start"'
settings 2 >"$dir/new" && mv "$dir/new" "$dir/settings.toml"
kill -HUP "$pid"
wait_for_log 1 'decisions_per_s taken'
settings 3 >"$dir/new" && mv "$dir/new" "$dir/settings.toml"
wait_for_log 2 'decisions_per_s taken'
echo 'nonsense' >"$dir/new" && mv "$dir/new" "$dir/settings.toml"
kill -HUP "$pid"
wait_for_log 1 'the settings in force stay'
kill -TERM "$pid"
wait "$pid"
pid=
echo "reload: ok"
