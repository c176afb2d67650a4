/* Calls to the platform, and to peers that know more. */
#include "daemon.h"

#include "hello_codec.h"
#include "log.h"

#include <errno.h>
#include <string.h>

/* The platform answers in milliseconds; slow ones up to some hundreds. */
#define CALL_TIMEOUT_MS 1500
#define WATCH_TIMEOUT_MS (SOURCE_WATCH_MS + 600)
#define PEER_TIMEOUT_MS 800
#define HTTP_OK 200
#define HTTP_GONE 410

static void take(struct packet_daemon *d, const struct document *doc,
		 enum document_origin origin)
{
	if (documents_put(d->documents, doc, origin, uv_hrtime()) == -ENOMEM)
		log_line(LOG_ERROR, "document", doc->key,
			 "revision %llu lost: no room",
			 (unsigned long long)doc->revision);
}

static void take_listed(void *ctx, const struct document *doc)
{
	take(ctx, doc, DOCUMENT_LISTED);
}

static void take_changed(void *ctx, const struct document *doc)
{
	take(ctx, doc, DOCUMENT_CHANGED);
}

static int take_answer(struct packet_daemon *d, const struct http_reply *r,
		       struct answer_head *head)
{
	struct facts_port changed = { d, take_changed };
	struct facts_port listed = { d, take_listed };
	uint64_t now_ns = uv_hrtime();
	int err;

	if (d->step == SOURCE_WATCH) {
		err = d->platform->read_changes(r->body, r->size_bytes, changed,
						head);
		if (!err)
			documents_covered(d->documents, head->revision);
		return err;
	}
	if (!d->list_revision)
		documents_list_begin(d->documents);
	err = d->platform->read_list(r->body, r->size_bytes, listed, head);
	if (err)
		return err;
	if (!d->list_revision)
		d->list_revision = head->revision;
	g_strlcpy(d->list_after, head->last_key, sizeof(d->list_after));
	if (!head->more)
		documents_list_end(d->documents, d->list_revision, now_ns);
	return 0;
}

static void note_contact(struct packet_daemon *d, bool ok, int status, int err,
			 uint64_t now_ns)
{
	bool was_ok = d->source.failures == 0;

	if (ok) {
		if (d->source.failures)
			log_line(LOG_INFO, "platform", NULL,
				 "answers again after %u failures",
				 d->source.failures);
		peer_set_contact(d->peer_set, now_ns);
		return;
	}
	d->counters.platform_calls_failed++;
	peer_set_trouble(d->peer_set, now_ns - SOURCE_CONTACT_NS, now_ns);
	if (was_ok)
		log_line(LOG_WARNING, "platform", NULL, "lost: %s, status %d",
			 err ? uv_strerror(err) : "answered", status);
}

static struct source_view view(const struct packet_daemon *d, uint64_t now_ns)
{
	return (struct source_view){
		.now_ns = now_ns,
		.rank = peer_set_rank(d->peer_set, now_ns),
		.through = documents_through(d->documents),
		.others_ns = peer_set_others_contact_ns(d->peer_set, now_ns),
	};
}

static void on_platform(void *ctx, const struct http_reply *r)
{
	struct packet_daemon *d = ctx;
	uint64_t now_ns = daemon_turn(d);
	uint64_t newest = documents_newest(d->documents);
	enum source_outcome outcome = SOURCE_FAILED;
	struct answer_head head = { 0 };
	struct source_view v;

	if (!r->err && r->status == HTTP_OK && !take_answer(d, r, &head))
		outcome = SOURCE_OK;
	else if (!r->err && r->status == HTTP_GONE)
		outcome = SOURCE_BEHIND;
	note_contact(d, outcome != SOURCE_FAILED, r->status, r->err, now_ns);
	v = view(d, now_ns);
	source_end(&d->source, outcome, head.more,
		   documents_newest(d->documents) > newest, &v);
	if (!d->source.listing)
		d->list_revision = 0;
	if (documents_newest(d->documents) > newest || outcome != SOURCE_OK)
		peers_urgent(d, NULL);
	reading_tick(d, now_ns);
}

static void call_platform(struct packet_daemon *d, enum source_step step)
{
	char path[PATH_MAX_BYTES];
	int err;

	if (step == SOURCE_LIST)
		d->platform->list_path(d->list_revision ? d->list_after : NULL,
				       path);
	else
		d->platform->watch_path(documents_through(d->documents),
					SOURCE_WATCH_MS, path);
	d->step = step;
	d->counters.platform_calls++;
	d->counters.platform_lists += step == SOURCE_LIST;
	source_begin(&d->source, step);
	err = http_call(d->platform_caller, d->settings.platform, path,
			step == SOURCE_LIST ? CALL_TIMEOUT_MS
					    : WATCH_TIMEOUT_MS);
	if (err)
		on_platform(d, &(struct http_reply){ .err = err, .body = "" });
}

static void on_peer(void *ctx, const struct http_reply *r)
{
	struct packet_daemon *d = ctx;
	struct facts_port to = { d, take_changed };
	struct relay_head head;
	uint64_t now_ns = daemon_turn(d);
	const uint8_t *body = (const uint8_t *)r->body;
	char addr[32];

	if (r->err || r->status != HTTP_OK ||
	    relay_head_decode(body, (uint32_t)r->size_bytes, &head)) {
		d->counters.peer_calls_failed++;
		log_line(LOG_WARNING, "fetch",
			 addr_text(d->peer_call_from, addr, sizeof(addr)),
			 "no documents: %s, status %d",
			 r->err ? uv_strerror(r->err) : "answered", r->status);
		return;
	}
	/* Two listings at a time would each miss what the other names. */
	if (head.whole && d->source.listing)
		return;
	if (head.whole) {
		documents_list_begin(d->documents);
		to.fact = take_listed;
	}
	if (relay_decode(body, (uint32_t)r->size_bytes, to)) {
		d->counters.peer_calls_failed++;
		return;
	}
	if (head.whole)
		documents_list_end(d->documents, head.through, now_ns);
	documents_covered(d->documents, head.through);
	documents_knows(d->documents, head.newest);
}

static void fetch(struct packet_daemon *d, uint64_t now_ns)
{
	const struct peer_vm *p;
	char path[PATH_MAX_BYTES];

	if (http_calling(d->peer_caller))
		return;
	p = peer_set_ahead(d->peer_set, documents_newest(d->documents), now_ns);
	if (!p)
		return;
	d->counters.peer_calls++;
	d->peer_call_from = p->addr;
	g_snprintf(path, sizeof(path), "/documents?after=%" G_GUINT64_FORMAT,
		   documents_through(d->documents));
	/* Operators' HTTP is on the same port everywhere. */
	http_call(d->peer_caller,
		  ADDR(ADDR_IP(p->addr), ADDR_PORT(d->settings.http)), path,
		  PEER_TIMEOUT_MS);
}

/**
 * reading_tick() - start the calls that are due
 * @d: process
 * @now_ns: time
 */
void reading_tick(struct packet_daemon *d, uint64_t now_ns)
{
	struct source_view v = view(d, now_ns);
	enum source_step step;

	fetch(d, now_ns);
	if (d->stop_ns)
		return;
	step = source_next(&d->source, &v);
	if (step != SOURCE_WAIT)
		call_platform(d, step);
}

/**
 * reading_open() - be ready to call
 * @d: process
 *
 * Return: 0 or -ENOMEM.
 */
int reading_open(struct packet_daemon *d)
{
	struct http_call_handler platform = { d, on_platform };
	struct http_call_handler peer = { d, on_peer };
	int err = http_caller_open(d->loop, platform, &d->platform_caller);

	d->source.start_ns = d->start_ns;
	return err ? err : http_caller_open(d->loop, peer, &d->peer_caller);
}

void reading_close(struct packet_daemon *d)
{
	http_caller_close(d->platform_caller);
	http_caller_close(d->peer_caller);
}
