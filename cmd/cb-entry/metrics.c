/* Metrics in the Prometheus text format. */
#include "daemon.h"
#include "usage.h"

#include <string.h>

static const char *const kind_names[PEER_KIND_COUNT] = {
	[PEER_PING] = "ping",	      [PEER_ACK] = "ack",
	[PEER_PING_REQ] = "ping_req", [PEER_GOSSIP] = "gossip",
	[PEER_FORWARD] = "forward",   [PEER_CLAIM] = "claim",
	[PEER_GRANT] = "grant",	      [PEER_SETTLE] = "settle",
	[PEER_FEED] = "feed",	      [PEER_FEED_CLOSE] = "feed_close",
	[PEER_UNPIN] = "unpin",	      [PEER_RECORD] = "record",
	[PEER_HANDOVER] = "handover",
};

static const struct {
	const char *family;
	const char *reason;
} drop_names[DROP_COUNT] = {
	[DROP_PROXY] = { "cb_caller_dropped_total", "proxy" },
	[DROP_CALLER_FORMAT] = { "cb_caller_dropped_total", "format" },
	[DROP_SEND_CALLER] = { "cb_caller_dropped_total", "send" },
	[DROP_TARGET_FORMAT] = { "cb_target_dropped_total", "format" },
	[DROP_SEND_TARGET] = { "cb_target_dropped_total", "send" },
	[DROP_PEER_MAC] = { "cb_peer_dropped_total", "mac" },
	[DROP_PEER_VERSION] = { "cb_peer_dropped_total", "version" },
	[DROP_PEER_FORMAT] = { "cb_peer_dropped_total", "format" },
	[DROP_PEER_INNER] = { "cb_peer_dropped_total", "inner" },
	[DROP_SEND_PEER] = { "cb_peer_dropped_total", "send" },
	[DROP_ENCODE] = { "cb_encode_dropped_total", "encode" },
};

static void put(GString *to, const char *name, const char *type, uint64_t value)
{
	g_string_append_printf(to, "# TYPE %s %s\n%s %llu\n", name, type, name,
			       (unsigned long long)value);
}

static void put_counters(const struct daemon *d, GString *to)
{
	const struct entry_counters *c = entry_counters(d->entry);

#define X(name) put(to, "cb_" #name "_total", "counter", c->name);
	ENTRY_COUNTERS(X)
#undef X
}

static void put_gauges(const struct daemon *d, GString *to)
{
	struct entry_gauges g = entry_gauges(d->entry);
	const struct member *all;

	put(to, "cb_requests_active", "gauge", g.requests_active);
	put(to, "cb_feeds_held", "gauge", g.feeds_held);
	put(to, "cb_handover_due", "gauge", g.handover_due);
	put(to, "cb_claims", "gauge", g.claims);
	put(to, "cb_pins", "gauge", g.pins);
	put(to, "cb_members", "gauge", entry_members(d->entry, &all));
	put(to, "cb_accounts", "gauge", d->config.n_accounts);
}

static void put_by_kind(GString *to, const char *name, const uint64_t *values)
{
	g_string_append_printf(to, "# TYPE %s counter\n", name);
	for (uint32_t k = 1; k < PEER_KIND_COUNT; k++)
		g_string_append_printf(to, "%s{kind=\"%s\"} %llu\n", name,
				       kind_names[k],
				       (unsigned long long)values[k]);
}

static void put_traffic(const struct daemon *d, GString *to)
{
	put_by_kind(to, "cb_peer_bytes_sent_total", d->peer_sent.bytes);
	put_by_kind(to, "cb_peer_bytes_received_total", d->peer_received.bytes);
	put_by_kind(to, "cb_peer_messages_sent_total", d->peer_sent.messages);
	put_by_kind(to, "cb_peer_messages_received_total",
		    d->peer_received.messages);
}

/* The text format requires all samples of a family below its TYPE line. */
static void put_drop_family(const struct daemon *d, GString *to,
			    const char *family)
{
	g_string_append_printf(to, "# TYPE %s counter\n", family);
	for (uint32_t i = 0; i < DROP_COUNT; i++)
		if (!strcmp(family, drop_names[i].family))
			g_string_append_printf(
				to, "%s{reason=\"%s\"} %llu\n", family,
				drop_names[i].reason,
				(unsigned long long)d->dropped[i]);
}

static void put_drops(const struct daemon *d, GString *to)
{
	for (uint32_t i = 0; i < DROP_COUNT; i++) {
		uint32_t first = 0;

		while (strcmp(drop_names[first].family, drop_names[i].family))
			first++;
		if (first == i)
			put_drop_family(d, to, drop_names[i].family);
	}
}

static void put_link(const struct daemon *d, GString *to)
{
	const struct entry_link_counters *c;

	if (!d->link)
		return;
	c = entry_link_counters(d->link);
#define X(name) put(to, "cb_" #name "_total", "counter", c->name);
	LINK_COUNTERS(X)
#undef X
}

static void put_overflows(const struct daemon *d, GString *to)
{
	const struct {
		const char *socket;
		uint64_t lost;
	} rows[] = {
		{ "callers", callers_overflow_count(d) },
		{ "targets", datagram_overflow_count(&d->target_socket) },
		{ "peers", datagram_overflow_count(&d->peer_socket) },
	};

	g_string_append(to, "# TYPE cb_socket_full_total counter\n");
	for (size_t i = 0; i < G_N_ELEMENTS(rows); i++)
		g_string_append_printf(
			to, "cb_socket_full_total{socket=\"%s\"} %llu\n",
			rows[i].socket, (unsigned long long)rows[i].lost);
}

static void put_process(GString *to)
{
	struct usage u;

	if (usage_read(&u))
		return;
	put(to, "cb_process_resident_bytes", "gauge", u.resident_bytes);
	put(to, "cb_process_cpu_microseconds_total", "counter", u.cpu_us);
}

/**
 * metrics_write() - write all metrics
 * @d: daemon
 * @to: text that they are appended to
 */
void metrics_write(const struct daemon *d, GString *to)
{
	put_counters(d, to);
	put_gauges(d, to);
	put_traffic(d, to);
	put_drops(d, to);
	put_link(d, to);
	put_overflows(d, to);
	put_process(to);
	metrics_write_accounts(d, to);
}
