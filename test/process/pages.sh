# Sourced by tests that read a daemon's pages over HTTP; needs bash.

# page IP:PORT PATH: the body.
page() {
	local line
	exec 7<>"/dev/tcp/${1%:*}/${1#*:}" || return 1
	printf 'GET %s HTTP/1.1\r\nHost: %s\r\nConnection: close\r\n\r\n' "$2" "$1" >&7
	while IFS= read -r line <&7 && [ "$line" != $'\r' ]; do :; done
	cat <&7
	exec 7>&-
}

# Names of metrics on a page, without the parts of histograms.
metric_names() {
	sed -n 's/^\(cb_[a-z0-9_]*\).*/\1/p' |
		sed -E 's/_(bucket|sum|count)$//' | sort -u
}

# wait_for FILE COUNT TEXT: until that many lines of the file hold the text.
wait_for() {
	local i=0
	while [ "$(grep -c "$3" "$1" 2>/dev/null)" -lt "$2" ]; do
		i=$((i + 1))
		[ "$i" -gt 600 ] && return 1
		sleep 0.1
	done
}
