/* Calls to the platform, and to peers that know more. */
#include "daemon.h"

#include "relay_codec.h"
#include "log.h"

#include <errno.h>
#include <string.h>

/* The platform answers in milliseconds; slow ones up to some hundreds. */
#define LIST_TIMEOUT_MS 1500
/* Beyond the time that a watch waits. */
#define WATCH_SLACK_MS 600
#define PEER_TIMEOUT_MS 800
#define HTTP_OK 200
#define HTTP_GONE 410

static enum source_outcome take(struct packet_daemon *d,
				const struct http_reply *r, uint64_t now_ns,
				struct answer_head *head)
{
	bool list = d->node->step == SOURCE_LIST;
	struct document_sink to = { d->node, list ? node_take_listed
						  : node_take_changed };
	uint64_t epoch;
	int err;

	if (!r->err && r->status == HTTP_GONE)
		return SOURCE_GONE;
	if (r->err == -EBUSY)
		return SOURCE_DEFERRED;
	if (r->err || r->status != HTTP_OK)
		return SOURCE_FAILED;
	if (d->platform->read_epoch(r->header, &epoch))
		return SOURCE_FAILED;
	if (!node_answer_begin(d->node, epoch, now_ns))
		return SOURCE_GONE;
	err = list ? d->platform->read_list(r->body, r->size_bytes, to, head)
		   : d->platform->read_changes(r->body, r->size_bytes, to,
					       head);
	return err ? SOURCE_FAILED : SOURCE_OK;
}

static void on_platform(void *ctx, const struct http_reply *r)
{
	struct packet_daemon *d = ctx;
	uint64_t now_ns = daemon_turn(d);
	struct answer_head head = { 0 };
	enum source_outcome outcome;

	outcome = take(d, r, now_ns, &head);
	head.transfer_ns = r->transfer_ns;
	if (outcome == SOURCE_FAILED && !d->node->source.failures)
		log_line(LOG_WARNING, "platform", NULL, "lost: %s, status %d",
			 r->err ? uv_strerror(r->err) : "answered", r->status);
	node_answer_end(d->node, outcome, &head, now_ns);
}

static bool on_connected(void *ctx, uint64_t took_ns)
{
	struct packet_daemon *d = ctx;

	return node_platform_connected(d->node, took_ns, daemon_turn(d));
}

static void call(struct packet_daemon *d, const char *path, uint64_t timeout_ms)
{
	int err = http_client_get(d->platform_caller, d->settings.platform,
				  path, timeout_ms);

	if (err)
		on_platform(d, &(struct http_reply){
				       .err = err, .body = "", .header = "" });
}

/**
 * reading_list() - ask the platform for a page
 * @ctx: process
 * @after_key: last key of the page before, or NULL
 * @exact: of this moment
 */
void reading_list(void *ctx, const char *after_key, bool exact)
{
	struct packet_daemon *d = ctx;
	char path[URL_PATH_MAX_BYTES];

	d->platform->list_path(after_key, exact, path);
	call(d, path, LIST_TIMEOUT_MS);
}

/**
 * reading_watch() - ask the platform for changes
 * @ctx: process
 * @after: revision
 * @wait_ns: answered after this without any
 */
void reading_watch(void *ctx, uint64_t after, uint64_t wait_ns)
{
	struct packet_daemon *d = ctx;
	uint32_t wait_ms = (uint32_t)(wait_ns / NS_PER_MS);
	char path[URL_PATH_MAX_BYTES];

	d->platform->watch_path(after, wait_ms, path);
	call(d, path, wait_ms + WATCH_SLACK_MS);
}

/**
 * reading_cancel() - give up the call to the platform under way
 * @ctx: process
 */
void reading_cancel(void *ctx)
{
	struct packet_daemon *d = ctx;

	http_client_cancel(d->platform_caller);
}

static bool begin_documents(void *ctx, const struct relay_head *head,
			    struct document_sink *to)
{
	struct packet_daemon *d = ctx;

	*to = (struct document_sink){ d->node, head->whole
						       ? node_take_relay_listed
						       : node_take_relayed };
	return node_fetch_begin(d->node, head, uv_hrtime());
}

static struct document_value known_value(void *ctx, uint64_t key_hash,
					 struct position since)
{
	struct packet_daemon *d = ctx;

	return documents_value_at(d->node->documents, key_hash, since);
}

/* Return: 0 when the documents were taken. */
static int take_documents(struct packet_daemon *d, const struct http_reply *r,
			  struct relay_head *head)
{
	struct relay_receiver port = { d, begin_documents, known_value };

	if (r->err)
		return r->err;
	if (r->status != HTTP_OK)
		return -EPROTO;
	return relay_decode((const uint8_t *)r->body, (uint32_t)r->size_bytes,
			    port, head);
}

static void on_peer(void *ctx, const struct http_reply *r)
{
	struct packet_daemon *d = ctx;
	uint64_t now_ns = daemon_turn(d);
	struct relay_head head = { 0 };
	char addr[32];
	int err = take_documents(d, r, &head);

	if (err)
		log_line(LOG_WARNING, "fetch",
			 addr_text(d->peer_call_from, addr, sizeof(addr)),
			 "no documents: %s, status %d", strerror(-err),
			 r->status);
	node_fetch_end(d->node, err ? NULL : &head, now_ns);
}

/**
 * reading_fetch() - ask a peer for documents
 * @ctx: process
 * @peer: its address for peers; its HTTP is on the same port as here
 * @after: position up to which everything is known here
 */
void reading_fetch(void *ctx, uint64_t peer, struct position after)
{
	struct packet_daemon *d = ctx;
	struct relay_base base = relay_select_base(d->node->documents);
	char path[URL_PATH_MAX_BYTES];
	int err;

	g_snprintf(path, sizeof(path),
		   "/documents?epoch=%" G_GUINT64_FORMAT
		   "&after=%" G_GUINT64_FORMAT "&key=%" G_GUINT64_FORMAT
		   "&since_epoch=%" G_GUINT64_FORMAT
		   "&since=%" G_GUINT64_FORMAT,
		   after.epoch, after.revision, base.key_hash, base.since.epoch,
		   base.since.revision);
	d->peer_call_from = peer;
	err = http_client_get(d->peer_caller,
			      ADDR(ADDR_IP(peer), ADDR_PORT(d->settings.http)),
			      path, PEER_TIMEOUT_MS);
	if (err)
		on_peer(d, &(struct http_reply){ .err = err, .body = "" });
}

/**
 * reading_open() - be ready to call
 * @d: process
 *
 * Return: 0 or -ENOMEM.
 */
int reading_open(struct packet_daemon *d)
{
	struct http_client_handler platform = { d, on_platform, on_connected };
	struct http_client_handler peer = { d, on_peer, NULL };
	int err = http_client_open(d->loop, platform, &d->platform_caller);

	if (!err)
		http_client_capture_header(d->platform_caller,
					   d->platform->epoch_header);
	return err ? err : http_client_open(d->loop, peer, &d->peer_caller);
}

void reading_close(struct packet_daemon *d)
{
	http_client_close(d->platform_caller);
	http_client_close(d->peer_caller);
}
