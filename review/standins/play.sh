#!/bin/bash
# play.sh SCENARIO ENTRIES FOLDER: starts ENTRIES entries, as the deploy file
# says, and bed, which plays the scenario. Writes record.txt and the entries'
# logs into FOLDER. Exits with 0 when the rule held, 1 when it was broken, 2
# when the case couldn't run.
scenario=$1 entries=$2 folder=$(cd "$3" && pwd) trouble=${TROUBLE:-1}
cd "$(dirname "$0")/../.." || exit 2
bed=review/build/bed entry=target/bin/cb-packet
if [ ! -x "$bed" ] || [ ! -x "$entry" ]; then
	echo "build first: the build line of deploy/system.toml, review/build.sh"
	exit 2
fi
pids=
tmp=$(mktemp -d) || exit 2
clean_up() {
	[ -n "$pids" ] && kill -KILL $pids 2>/dev/null
	wait 2>/dev/null
	rm -rf "$tmp"
}
trap clean_up EXIT
trap 'exit 2' INT TERM

base=
for _ in {1..50}; do
	candidate=$((12000 + RANDOM % 18000))
	if "$bed" ports $candidate "$entries"; then
		base=$candidate
		break
	fi
done
[ -n "$base" ] || { echo "no free ports"; exit 2; }

# The template of the settings, filled in as for a first start.
for ((i = 1; i <= entries; i++)); do
	cat >"$tmp/$i.conf" <<EOF
[vm]
data_centre = "zone-$(((i - 1) % 4))"
peer = "127.0.1.$i:$((base + 3))"
http = "127.0.1.$i:$((base + 2))"
link_mbps = ${LINK_MBPS:-1000}
[clients]
listen = "127.0.1.$i:$base"
[platform]
address = "127.0.0.3:$((base + 4))"
ready = "127.0.1.$i:$((base + 1))"
[peers]
seed_0 = "127.0.1.1:$((base + 2))"
seed_1 = "127.0.1.2:$((base + 2))"
seed_2 = "127.0.1.3:$((base + 2))"
[limits]
[timing]
flow_lifetime_s = 60
grace_s = 6
[log]
level = "info"
format = "json"
[policy]
young_wait_ms = 1000
EOF
done

"$bed" "$scenario" "$base" "$entries" "$trouble" "$folder/record.txt" &
bed_pid=$!
pids=$bed_pid
sleep 0.3
for ((i = 1; i <= entries; i++)); do
	"$entry" --settings "$tmp/$i.conf" >"$folder/entry-$i.log" 2>&1 &
	pids="$pids $!"
	disown
done
wait $bed_pid
result=$?
[ $result -le 1 ] || result=2
tail -n 1 "$folder/record.txt"
exit $result
