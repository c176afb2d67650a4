/* Metrics in the Prometheus text format. */
#include "daemon.h"

static const char *const kind_names[PEER_KIND_COUNT] = {
	[PEER_PING] = "ping",	      [PEER_ACK] = "ack",
	[PEER_PING_REQ] = "ping_req", [PEER_GOSSIP] = "gossip",
	[PEER_FORWARD] = "forward",   [PEER_CLAIM] = "claim",
	[PEER_GRANT] = "grant",	      [PEER_SETTLE] = "settle",
	[PEER_FEED] = "feed",	      [PEER_FEED_CLOSE] = "feed_close",
	[PEER_UNPIN] = "unpin",	      [PEER_RECORD] = "record",
	[PEER_HANDOVER] = "handover",
};

static const char *const class_names[CLASS_COUNT] = {
	[CLASS_FEED] = "feed",
	[CLASS_REPORT] = "report",
	[CLASS_UPLOAD] = "upload",
};

static const char *const outcome_names[OUTCOME_COUNT] = {
	[OUTCOME_OK] = "ok",
	[OUTCOME_SHED] = "shed",
	[OUTCOME_ERROR] = "error",
	[OUTCOME_TIMEOUT] = "timeout",
	[OUTCOME_CANCELLED] = "cancelled",
};

static const char *const refusal_names[REFUSE_COUNT] = {
	[REFUSE_NONE] = "none",		  [REFUSE_QUEUE] = "queue",
	[REFUSE_SHARE] = "share",	  [REFUSE_DEADLINE] = "deadline",
	[REFUSE_NO_TARGET] = "no_target", [REFUSE_CONNECTIONS] = "connections",
	[REFUSE_MEMORY] = "memory",	  [REFUSE_SHED] = "shed",
	[REFUSE_LEAVING] = "leaving",	  [REFUSE_TRANSFER] = "transfer",
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
	put_by_kind(to, "cb_peer_bytes_sent_total", d->sent.bytes);
	put_by_kind(to, "cb_peer_bytes_received_total", d->received.bytes);
	put_by_kind(to, "cb_peer_messages_sent_total", d->sent.messages);
	put_by_kind(to, "cb_peer_messages_received_total",
		    d->received.messages);
}

static void put_drops(const struct daemon *d, GString *to)
{
	for (uint32_t i = 0; i < DROP_COUNT; i++)
		g_string_append_printf(to, "%s{reason=\"%s\"} %llu\n",
				       drop_names[i].family,
				       drop_names[i].reason,
				       (unsigned long long)d->dropped[i]);
}

static void put_lost(const struct daemon *d, GString *to)
{
	const struct {
		const char *socket;
		uint64_t lost;
	} rows[] = {
		{ "callers", callers_lost(d) },
		{ "targets", datagram_lost(&d->target_socket) },
		{ "peers", datagram_lost(&d->peer_socket) },
	};

	g_string_append(to, "# TYPE cb_socket_full_total counter\n");
	for (size_t i = 0; i < G_N_ELEMENTS(rows); i++)
		g_string_append_printf(
			to, "cb_socket_full_total{socket=\"%s\"} %llu\n",
			rows[i].socket, (unsigned long long)rows[i].lost);
}

static void put_process(GString *to)
{
	size_t resident_bytes = 0;
	uv_rusage_t usage;

	if (uv_resident_set_memory(&resident_bytes) == 0)
		put(to, "cb_process_resident_bytes", "gauge", resident_bytes);
	if (uv_getrusage(&usage))
		return;
	put(to, "cb_process_cpu_microseconds_total", "counter",
	    (uint64_t)(usage.ru_utime.tv_sec + usage.ru_stime.tv_sec) *
			    1000000 +
		    (uint64_t)(usage.ru_utime.tv_usec +
			       usage.ru_stime.tv_usec));
}

/* One account and class: its labels, and what is counted. */
struct row {
	const char *account;
	const char *class;
	const struct class_stats *stats;
};

static void put_row(GString *to, const struct row *r, const char *name,
		    const char *label, const char *label_value, uint64_t value)
{
	if (!value)
		return;
	g_string_append_printf(
		to, "%s{account=\"%s\",class=\"%s\",%s=\"%s\"} %llu\n", name,
		r->account, r->class, label, label_value,
		(unsigned long long)value);
}

static void put_ends(GString *to, const struct row *r)
{
	const struct class_stats *s = r->stats;

	put_row(to, r, "cb_work_total", "event", "admitted", s->admitted);
	put_row(to, r, "cb_work_total", "event", "queued", s->queued);
	put_row(to, r, "cb_work_total", "event", "retried", s->retries);
	put_row(to, r, "cb_work_total", "event", "retry_denied",
		s->retries_denied);
	for (uint32_t i = 0; i < REFUSE_COUNT; i++)
		put_row(to, r, "cb_refused_total", "reason", refusal_names[i],
			s->refused[i]);
	for (uint32_t i = 0; i < OUTCOME_COUNT; i++)
		put_row(to, r, "cb_outcome_total", "outcome", outcome_names[i],
			s->outcome[i]);
}

static void put_wait(GString *to, const struct row *r)
{
	const struct histogram *h = &r->stats->wait_us;
	uint64_t below = 0;
	char bound[32];

	if (!h->count)
		return;
	for (uint32_t i = 0; i < HISTOGRAM_BUCKETS - 1; i++) {
		if (!h->bucket[i])
			continue;
		below += h->bucket[i];
		g_snprintf(bound, sizeof(bound), "%llu",
			   (unsigned long long)histogram_bound(i));
		put_row(to, r, "cb_wait_microseconds_bucket", "le", bound,
			below);
	}
	put_row(to, r, "cb_wait_microseconds_bucket", "le", "+Inf", h->count);
	g_string_append_printf(
		to,
		"cb_wait_microseconds_sum{account=\"%s\",class=\"%s\"} %llu\n"
		"cb_wait_microseconds_count{account=\"%s\",class=\"%s\"} "
		"%llu\n",
		r->account, r->class, (unsigned long long)h->sum, r->account,
		r->class, (unsigned long long)h->count);
}

static void put_rows(const struct daemon *d, GString *to,
		     void (*put_one)(GString *to, const struct row *r))
{
	const struct balancer *b = entry_balancer(d->entry);
	uint32_t cursor = 0;
	uint8_t class;
	struct row r;

	while (balance_stats(b, &cursor, &r.account, &class, &r.stats)) {
		r.class = class_names[class];
		put_one(to, &r);
	}
}

/**
 * metrics_write() - all metrics
 * @d: daemon
 * @to: where to add them
 */
void metrics_write(const struct daemon *d, GString *to)
{
	put_counters(d, to);
	put_gauges(d, to);
	put_traffic(d, to);
	put_drops(d, to);
	put_lost(d, to);
	put_process(to);
	put_rows(d, to, put_ends);
	g_string_append(to, "# TYPE cb_wait_microseconds histogram\n");
	put_rows(d, to, put_wait);
}
