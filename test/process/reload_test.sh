#!/bin/sh
# cb-packet applies changed settings after SIGHUP and without it, and keeps the
# settings in force when the file is invalid. The test waits for log lines, not
# for a time.
set -eu
# The addresses are fixed, so only one test that uses them runs at a time.
exec 9>>"${TMPDIR:-/tmp}/cactusbeam-cb-packet.lock"
flock 9
dir=$(mktemp -d)
pid=
trap 'if [ -n "$pid" ]; then kill -9 "$pid" 2>/dev/null || true; fi; rm -rf "$dir"' EXIT

settings() { # DECISIONS_PER_S
	cat <<-END
	[vm]
	data_centre = "garda"
	peer = "127.77.0.1:7720"
	http = "127.77.0.1:8166"
	[clients]
	listen = "127.77.0.1:8172"
	[platform]
	address = "127.77.0.2:8169"
	ready = "127.77.0.1:8167"
	[limits]
	decisions_per_s = $1
	END
}

# wait_for_log COUNT TEXT: waits up to 60 s until COUNT log lines contain TEXT.
wait_for_log() {
	i=0
	while [ "$(grep -c "$2" "$dir/log")" -lt "$1" ]; do
		i=$((i + 1))
		if [ "$i" -gt 600 ]; then
			echo "FAILED: not $1 log lines with: $2"
			cat "$dir/log"
			exit 1
		fi
		sleep 0.1
	done
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
