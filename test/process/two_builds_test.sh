#!/bin/bash
# Guards against builds that don't understand each other: during an upgrade
# processes of two builds exchange messages and read the same files, and a
# field, an option or a byte order that only one build knows would cut flows.
# OTHER_BIN is the bin directory of the other build; without it the build is
# tested against itself.
set -eu
cd "$(dirname "$0")/../.."
B=${B:-build/opt}
case $B in /*) ;; *) B=$PWD/$B ;; esac
OTHER_BIN=${OTHER_BIN:-$B/bin}
. test/process/pages.sh
dir=$(mktemp -d)
pid=
trap 'if [ -n "$pid" ]; then kill -9 "$pid" 2>/dev/null || true; fi; rm -rf "$dir"' EXIT

fail() {
	echo "FAILED: $*"
	exit 1
}

# expect_same NAME ARGS...: both builds have the same output and exit code. The
# sentences of "problem" and "expected" in JSON are for people and may differ;
# that there is one, for which key, may not.
expect_same() {
	name=$1
	shift
	for build in "$B/bin" "$OTHER_BIN"; do
		code=0
		"$build/$name" "$@" >"$dir/raw" 2>&1 || code=$?
		sed -E 's/"(problem|expected)":"[^"]+"/"\1":"TEXT"/g' "$dir/raw" \
			>"$dir/out"
		echo "exit $code" >>"$dir/out"
		[ -f "$dir/first" ] || mv "$dir/out" "$dir/first"
	done
	diff "$dir/first" "$dir/out" >"$dir/diff" ||
		fail "$name $*: $(cat "$dir/diff")"
	rm "$dir/first"
}

# list_options PROGRAM: long options in the output of --help.
list_options() { "$1" --help 2>&1 | grep -oE -e '--[a-z][a-z-]*' | sort -u; }

# Both builds read the settings and publications of the examples alike.
check_files() {
	for p in cb-entry cb-packet cb-watch; do
		expect_same $p --check --settings examples/settings/$p.toml
	done
	for d in demo tshwane ventolario; do
		expect_same cbctl --json check "examples/$d"
		for account in examples/"$d"/account/*; do
			expect_same cbctl --json render "examples/$d" "$(basename "$account")"
		done
	done
	expect_same cbctl --json diff examples/demo examples/ventolario
	for p in cb-entry cb-packet cb-watch cbctl cbload sim-experiment \
		sim-fabric sim-packets sim-platform sim-soak sim-target; do
		list_options "$B/bin/$p" >"$dir/one"
		list_options "$OTHER_BIN/$p" >"$dir/two"
		diff "$dir/one" "$dir/two" || fail "$p: the options differ"
	done
}

# Both builds make the same decisions for the same seeds in the emulator.
check_decisions() {
	expect_same sim-experiment --seeds 1 --json examples/experiments/crowd-pipe.toml
	expect_same sim-packets --seeds 1 --seconds 4 --json --fault roll \
		--fault restart_targets --fault store_restored
}

# write_metric_names BIN FILE: metrics on the page of a single cb-packet.
write_metric_names() {
	packet_settings >"$dir/packet.toml"
	: >"$dir/packet.log"
	"$1/cb-packet" --settings "$dir/packet.toml" >"$dir/packet.log" 2>&1 &
	pid=$!
	wait_for_lines "$dir/packet.log" 1 '"step":"start"' || fail "cb-packet did not start"
	get_page 127.77.0.1:8166 /metrics | metric_names >"$2"
	kill -TERM "$pid"
	wait "$pid"
	pid=
}

# Links the programs of this build to $dir/mixed/bin. The daemons there run the
# other build on VMs with odd numbers.
make_mixed_build() {
	mkdir -p "$dir/mixed/bin" "$dir/mixed/test"
	for p in "$B"/bin/*; do
		ln -s "$p" "$dir/mixed/bin/"
	done
	for p in cb-entry cb-packet cb-watch; do
		rm "$dir/mixed/bin/$p"
		cat >"$dir/mixed/bin/$p" <<-END
		#!/bin/sh
		case \$2 in
		*[13579].toml) exec "$OTHER_BIN/$p" "\$@" ;;
		*) exec "$B/bin/$p" "\$@" ;;
		esac
		END
		chmod +x "$dir/mixed/bin/$p"
	done
}

# cb-packet of both builds as peers, while routes change, a target leaves, an
# entry is killed and restarted, and another one is replaced.
check_packet_peers() {
	"$B/bin/sim-soak" --program "$dir/mixed/bin/cb-packet" --dir "$dir" \
		--first-seed 1 --seeds 1 --fault add_route --fault release \
		--fault kill_entry --fault roll --fault reload >"$dir/soak" 2>&1 || {
		cat "$dir/soak"
		tail -n 20 "$dir"/*.log
		fail "cb-packet of two builds as peers"
	}
	cat "$dir/soak"
}

# check_request_peers FAULT: cb-entry and cb-watch of both builds as peers. Run
# also with cbload, cbctl, targets, fabric and platform of the other build.
check_request_peers() {
	(
		# shellcheck disable=SC2030
		export B="$dir/mixed"
		unset OTHER_BIN
		. test/process/run.sh
		work=
		# Requests lost with a killed process count as "lost".
		run_demo "$1"
		expect_zero doubled misrouted false_not_run
	) || fail "cb-entry of two builds as peers, $1"
}

(
	exec 9>>"${TMPDIR:-/tmp}/cactusbeam-cb-packet.lock"
	flock 9
	write_metric_names "$B/bin" "$dir/one"
	write_metric_names "$OTHER_BIN" "$dir/two"
)
diff "$dir/one" "$dir/two" || fail "cb-packet: the metrics differ"
check_files
check_decisions
make_mixed_build
(
	# The addresses are fixed: only one test that uses them at a time.
	exec 9>>"${TMPDIR:-/tmp}/cactusbeam-cb-packet.lock"
	flock 9
	check_packet_peers
)
check_request_peers restart-entry
check_request_peers drain-target
for p in cbload cbctl sim-target sim-fabric sim-platform sim-tell; do
	rm "$dir/mixed/bin/$p"
	ln -s "$OTHER_BIN/$p" "$dir/mixed/bin/"
done
check_request_peers kill-entry
echo passed
