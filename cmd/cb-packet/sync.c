/*
 * Synchronisation of the published documents: calls to the platform, and to
 * peers that have newer documents.
 */
#include "daemon.h"

#include "log.h"
#include "relay_codec.h"
#include "source_outcome.h"

#include <errno.h>
#include <string.h>

/*
 * The platform usually answers within milliseconds, a slow one within some
 * hundreds.
 */
#define LIST_TIMEOUT_MS 1500
/* Added to the time that the platform holds a watch. */
#define WATCH_MARGIN_MS 600
#define PEER_TIMEOUT_MS 800
#define HTTP_OK 200

static enum source_outcome read_platform_answer(struct packet_daemon *d,
						const struct http_reply *reply,
						uint64_t now_ns,
						struct answer_head *head)
{
	enum source_outcome outcome =
		source_outcome_from_reply(reply, d->node->step);
	bool is_list = d->node->step == SOURCE_LIST;
	struct document_sink to = { d->node, is_list ? node_take_listed
						     : node_take_changed };
	uint64_t epoch;
	int err;

	if (outcome != SOURCE_OK)
		return outcome;
	if (d->platform->read_epoch(reply->header, &epoch))
		return SOURCE_UNREADABLE;
	if (!node_answer_begin(d->node, epoch, now_ns))
		return SOURCE_GONE;
	err = is_list ? d->platform->read_list(reply->body, reply->size_bytes,
					       to, head)
		      : d->platform->read_changes(reply->body,
						  reply->size_bytes, to, head);
	return err ? SOURCE_UNREADABLE : SOURCE_OK;
}

static void on_platform_reply(void *ctx, const struct http_reply *reply)
{
	struct packet_daemon *d = ctx;
	uint64_t now_ns = daemon_begin_event(d);
	struct answer_head head = { 0 };
	enum source_outcome outcome;

	outcome = read_platform_answer(d, reply, now_ns, &head);
	head.transfer_ns = reply->transfer_ns;
	if (outcome == SOURCE_FAILED && !d->node->source.failures)
		log_line(LOG_WARNING, "platform", NULL,
			 "call failed: %s, status %d",
			 reply->err ? uv_strerror(reply->err) : "answered",
			 reply->status);
	if (outcome == SOURCE_UNREADABLE)
		log_line(LOG_WARNING, "platform", NULL,
			 "answer to a %s unreadable after %zu bytes: %s",
			 d->node->step == SOURCE_LIST ? "listing" : "watch",
			 reply->size_bytes,
			 uv_strerror(reply->err ? reply->err : -EPROTO));
	node_answer_end(d->node, outcome, &head, now_ns);
}

static bool on_platform_connected(void *ctx, uint64_t took_ns)
{
	struct packet_daemon *d = ctx;

	return node_platform_connected(d->node, took_ns, daemon_begin_event(d));
}

static void call_platform(struct packet_daemon *d, const char *path,
			  uint64_t timeout_ms)
{
	http_client_get(d->platform_client, d->settings.platform, path,
			timeout_ms);
}

/**
 * sync_list() - request a page of the listing from the platform
 * @ctx: struct packet_daemon
 * @after_key: last key of the previous page, NULL for the first page
 * @exact: request the current state; otherwise the answer may be seconds old
 */
void sync_list(void *ctx, const char *after_key, bool exact)
{
	struct packet_daemon *d = ctx;
	char path[URL_PATH_MAX_BYTES];

	d->platform->list_path(after_key, exact, path);
	call_platform(d, path, LIST_TIMEOUT_MS);
}

/**
 * sync_watch() - request changes from the platform
 * @ctx: struct packet_daemon
 * @after: revision after which changes are requested
 * @wait_ns: time after which the platform answers without any change
 */
void sync_watch(void *ctx, uint64_t after, uint64_t wait_ns)
{
	struct packet_daemon *d = ctx;
	uint32_t wait_ms = (uint32_t)(wait_ns / NS_PER_MS);
	char path[URL_PATH_MAX_BYTES];

	d->platform->watch_path(after, wait_ms, path);
	call_platform(d, path, wait_ms + WATCH_MARGIN_MS);
}

/**
 * sync_cancel() - cancel the call to the platform that is in progress
 * @ctx: struct packet_daemon
 */
void sync_cancel(void *ctx)
{
	struct packet_daemon *d = ctx;

	http_client_cancel(d->platform_client);
}

static bool begin_relay(void *ctx, const struct relay_head *head,
			struct document_sink *to)
{
	struct packet_daemon *d = ctx;

	*to = (struct document_sink){ d->node, head->is_full_state
						       ? node_take_relay_listed
						       : node_take_relayed };
	return node_fetch_begin(d->node, head, uv_hrtime());
}

static struct document_value find_base_value(void *ctx, uint64_t key_hash,
					     struct position since)
{
	struct packet_daemon *d = ctx;

	return documents_value_at(d->node->documents, key_hash, since);
}

static int read_peer_documents(struct packet_daemon *d,
			       const struct http_reply *reply,
			       struct relay_head *head)
{
	struct relay_receiver port = { d, begin_relay, find_base_value };

	if (reply->err)
		return reply->err;
	if (reply->status != HTTP_OK)
		return -EPROTO;
	return relay_decode((const uint8_t *)reply->body,
			    (uint32_t)reply->size_bytes, port, head);
}

static void on_peer_reply(void *ctx, const struct http_reply *reply)
{
	struct packet_daemon *d = ctx;
	uint64_t now_ns = daemon_begin_event(d);
	struct relay_head head = { 0 };
	char addr[32];
	int err = read_peer_documents(d, reply, &head);

	if (err)
		log_line(LOG_WARNING, "fetch",
			 addr_text(d->fetch_peer, addr, sizeof(addr)),
			 "fetch failed: %s, status %d", strerror(-err),
			 reply->status);
	node_fetch_end(d->node, err ? NULL : &head, now_ns);
}

/**
 * sync_fetch() - request documents from a peer
 * @ctx: struct packet_daemon
 * @peer: its address for heartbeats; all peers serve HTTP on the same port
 * @after: position up to which all documents are known here
 */
void sync_fetch(void *ctx, uint64_t peer, struct position after)
{
	struct packet_daemon *d = ctx;
	struct relay_base base = relay_select_base(d->node->documents);
	char path[URL_PATH_MAX_BYTES];

	g_snprintf(path, sizeof(path),
		   "/documents?epoch=%" G_GUINT64_FORMAT
		   "&after=%" G_GUINT64_FORMAT "&key=%" G_GUINT64_FORMAT
		   "&since_epoch=%" G_GUINT64_FORMAT
		   "&since=%" G_GUINT64_FORMAT,
		   after.epoch, after.revision, base.key_hash, base.since.epoch,
		   base.since.revision);
	d->fetch_peer = peer;
	http_client_get(d->peer_client,
			ADDR(ADDR_IP(peer), ADDR_PORT(d->settings.http)), path,
			PEER_TIMEOUT_MS);
}

/**
 * sync_open() - create the HTTP clients
 * @d: process
 *
 * Return: 0 or -ENOMEM.
 */
int sync_open(struct packet_daemon *d)
{
	struct http_client_handler platform = { d, on_platform_reply,
						on_platform_connected };
	struct http_client_handler peer = { d, on_peer_reply, NULL };
	int err = http_client_open(d->loop, platform, &d->platform_client);

	if (!err)
		http_client_capture_header(d->platform_client,
					   d->platform->epoch_header);
	return err ? err : http_client_open(d->loop, peer, &d->peer_client);
}

/**
 * sync_close() - close the HTTP clients
 * @d: process
 */
void sync_close(struct packet_daemon *d)
{
	http_client_close(d->platform_client);
	http_client_close(d->peer_client);
}
