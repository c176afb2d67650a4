# Sourced by tests that run a cb-packet alone or read the HTTP pages of a daemon;
# needs bash.

# get_page IP:PORT PATH: prints the body.
get_page() {
	local line
	exec 7<>"/dev/tcp/${1%:*}/${1#*:}" || return 1
	printf 'GET %s HTTP/1.1\r\nHost: %s\r\nConnection: close\r\n\r\n' "$2" "$1" >&7
	while IFS= read -r line <&7 && [ "$line" != $'\r' ]; do :; done
	cat <&7
	exec 7>&-
}

# Prints settings of a cb-packet without peers; its platform does not answer.
packet_settings() {
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
	END
}

# Reads a page of metrics. Prints their names; a histogram has one name.
metric_names() {
	sed -n 's/^\(cb_[a-z0-9_]*\).*/\1/p' |
		sed -E 's/_(bucket|sum|count)$//' | sort -u
}

# wait_for_lines FILE COUNT TEXT: waits up to 60 s for COUNT lines with TEXT.
wait_for_lines() {
	local i=0 n
	# Without the file grep prints no number.
	while n=$(grep -c "$3" "$1" 2>/dev/null); [ "${n:-0}" -lt "$2" ]; do
		i=$((i + 1))
		[ "$i" -gt 600 ] && return 1
		sleep 0.1
	done
}
