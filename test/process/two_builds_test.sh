#!/bin/bash
# During an upgrade processes of two builds talk to each other and read each
# other's files. A field, an option or an order of bytes that only one of them
# knows would cut flows then. OTHER_BIN is the bin directory of the other build;
# without it the build runs beside itself.
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

# same NAME ARGS...: both builds of a program print the same and end alike.
same() {
	name=$1
	shift
	for build in "$B/bin" "$OTHER_BIN"; do
		code=0
		"$build/$name" "$@" >"$dir/out" 2>&1 || code=$?
		echo "exit $code" >>"$dir/out"
		[ -f "$dir/first" ] || mv "$dir/out" "$dir/first"
	done
	diff "$dir/first" "$dir/out" >"$dir/diff" ||
		fail "$name $*: $(cat "$dir/diff")"
	rm "$dir/first"
}

# Long options that a program's help names.
options() { "$1" --help 2>&1 | grep -oE -e '--[a-z][a-z-]*' | sort -u; }

# Both builds take the settings and publications of the examples alike.
files() {
	for p in cb-entry cb-packet cb-watch; do
		same $p --check --settings examples/settings/$p.toml
	done
	for d in demo tshwane ventolario; do
		same cbctl --json check "examples/$d"
		for account in examples/"$d"/account/*; do
			same cbctl --json render "examples/$d" "$(basename "$account")"
		done
	done
	same cbctl --json diff examples/demo examples/ventolario
	for p in cb-entry cb-packet cb-watch cbctl cbload sim-experiment \
		sim-fabric sim-packets sim-platform sim-soak sim-target; do
		options "$B/bin/$p" >"$dir/one"
		options "$OTHER_BIN/$p" >"$dir/two"
		diff "$dir/one" "$dir/two" || fail "options of $p"
	done
}

# The decisions of both builds on the same seeds, in the emulator.
decisions() {
	same sim-experiment --seeds 1 --json examples/experiments/crowd-pipe.toml
	same sim-packets --seeds 1 --seconds 4 --json --fault roll \
		--fault restart_targets --fault store_restored
}

# metrics BIN FILE: names on the page of a cb-packet alone.
metrics() {
	cat >"$dir/packet.toml" <<-END
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
	: >"$dir/packet.log"
	"$1/cb-packet" --settings "$dir/packet.toml" >"$dir/packet.log" 2>&1 &
	pid=$!
	wait_for "$dir/packet.log" 1 '"step":"start"' || fail "cb-packet: no start"
	page 127.77.0.1:8166 /metrics | metric_names >"$2"
	kill -TERM "$pid"
	wait "$pid"
	pid=
}

# Programs of this build in $dir/mixed/bin; of those that run on several VMs,
# the VMs with odd numbers have the other build's.
mix() {
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

# Entries of both builds as peers, through changes, a target that leaves, an
# entry that is killed and comes back, and one that is replaced.
packets() {
	"$B/bin/sim-soak" --program "$dir/mixed/bin/cb-packet" --dir "$dir" \
		--first-seed 1 --seeds 1 --fault add_route --fault release \
		--fault kill_entry --fault roll --fault reload >"$dir/soak" 2>&1 || {
		cat "$dir/soak"
		tail -n 20 "$dir"/*.log
		fail "cb-packet of both builds as peers"
	}
	cat "$dir/soak"
}

# The same for cb-entry and cb-watch; then with the other build's cbload,
# cbctl, targets, fabric and platform.
requests() { # FAULT
	(
		# shellcheck disable=SC2030
		export B="$dir/mixed"
		unset OTHER_BIN
		. test/process/run.sh
		work=
		# Loss of what ran on a killed process is counted apart.
		run "$1"
		zero doubled misrouted false_not_run
	) || fail "cb-entry of both builds as peers, $1"
}

(
	exec 9>>"${TMPDIR:-/tmp}/cactusbeam-cb-packet.lock"
	flock 9
	metrics "$B/bin" "$dir/one"
	metrics "$OTHER_BIN" "$dir/two"
)
diff "$dir/one" "$dir/two" || fail "metrics of cb-packet"
files
decisions
mix
(
	# Its addresses are fixed: one run at a time on a machine.
	exec 9>>"${TMPDIR:-/tmp}/cactusbeam-cb-packet.lock"
	flock 9
	packets
)
requests restart-entry
requests drain-target
for p in cbload cbctl sim-target sim-fabric sim-platform sim-tell; do
	rm "$dir/mixed/bin/$p"
	ln -s "$OTHER_BIN/$p" "$dir/mixed/bin/"
done
requests kill-entry
echo passed
