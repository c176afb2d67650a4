#include "link.h"
#include "account_codec.h"
#include "log.h"
#include "spread_codec.h"
#include "zsock.h"

#include <errno.h>
#include <sodium.h>
#include <stdlib.h>
#include <string.h>
#include <zmq.h>

#define HELLO_PERIOD_MS 1000
#define ACCOUNT_PREFIX "account/"
#define VMS_PREFIX "vms/"
#define VMS_MAX 4096

/**
 * struct entry_link - connection of cb-entry to cb-watch
 * @context: ZeroMQ context
 * @socket: DEALER connected to cb-watch
 * @hello_timer: period of SPREAD_HELLO
 * @self: address of this VM
 * @auth: key that authenticates frames
 * @handler: receives accounts and the list of VMs
 * @counters: counters of this link
 * @in_force: versions in force, by key; an array of SPREAD_KEYS_MAX
 * @n_in_force: number of elements of @in_force in use
 * @vms: buffer for the decoded list of VMs, VMS_MAX addresses
 */
struct entry_link {
	void *context;
	struct zsock *socket;
	uv_timer_t hello_timer;
	uint64_t self;
	struct spread_auth auth;
	struct entry_link_handler handler;
	struct entry_link_counters counters;
	struct spread_offer *in_force;
	uint32_t n_in_force;
	uint64_t *vms;
};

static void send_message(struct entry_link *link, struct spread_msg *msg)
{
	uint32_t size_bytes;
	uint8_t *frame;

	msg->from = link->self;
	msg->bucket = -1;
	if (spread_encode(msg, &link->auth, &frame, &size_bytes))
		return;
	if (zsock_send(link->socket, NULL, frame, size_bytes))
		link->counters.link_send_failed++;
	free(frame);
}

/* Digest of all versions in force, as spread_store_digest() at cb-watch. */
static uint64_t in_force_digest(const struct entry_link *link)
{
	uint64_t digest = 0;

	for (uint32_t i = 0; i < link->n_in_force; i++)
		digest ^= version_digest(link->in_force[i].key,
					 &link->in_force[i].version);
	return digest;
}

static void on_hello(uv_timer_t *timer)
{
	struct entry_link *link = timer->data;
	struct spread_msg msg = { .kind = SPREAD_HELLO,
				  .store_digest = in_force_digest(link) };

	send_message(link, &msg);
}

static void send_versions_in_force(struct entry_link *link)
{
	struct spread_msg msg = {
		.kind = SPREAD_VERSIONS,
		.offers = link->in_force,
		.n_offers = link->n_in_force,
	};

	send_message(link, &msg);
}

/*
 * Version in force of a key. For a new key, the free slot after the last one,
 * which the caller counts when the version is in force; NULL when the table is
 * full.
 */
static struct spread_offer *find_or_init_version(struct entry_link *link,
						 const char *key)
{
	struct spread_offer *offer;

	for (uint32_t i = 0; i < link->n_in_force; i++)
		if (!strcmp(link->in_force[i].key, key))
			return &link->in_force[i];
	if (link->n_in_force == SPREAD_KEYS_MAX)
		return NULL;
	offer = &link->in_force[link->n_in_force];
	*offer = (struct spread_offer){ 0 };
	strcpy(offer->key, key);
	return offer;
}

static int apply_account(struct entry_link *link,
			 const struct spread_offer *offer,
			 const struct content *content)
{
	const char *name = offer->key + strlen(ACCOUNT_PREFIX);
	struct account_conf *account;
	int err;

	err = account_decode(name, offer->version.generation, content,
			     &account);
	if (!err)
		link->handler.apply_account(link->handler.ctx, account);
	return err;
}

static int apply_roster(struct entry_link *link, const struct content *content)
{
	int32_t n = roster_decode(content, link->vms, VMS_MAX);

	if (n < 0)
		return n;
	link->handler.apply_roster(link->handler.ctx, link->vms, (uint32_t)n);
	return 0;
}

static int apply_content(struct entry_link *link, const struct spread_msg *msg)
{
	const struct spread_offer *offer = msg->offers;
	struct content *content =
		msg->base_hash ? NULL : content_patch(NULL, &msg->delta);
	int err = -EPROTO;

	if (content && content->hash == offer->version.hash) {
		if (!strncmp(offer->key, ACCOUNT_PREFIX,
			     strlen(ACCOUNT_PREFIX)))
			err = apply_account(link, offer, content);
		else if (!strncmp(offer->key, VMS_PREFIX, strlen(VMS_PREFIX)))
			err = apply_roster(link, content);
	}
	content_free(content);
	return err;
}

static int apply_withdrawal(struct entry_link *link,
			    const struct spread_offer *offer)
{
	if (!strncmp(offer->key, ACCOUNT_PREFIX, strlen(ACCOUNT_PREFIX)))
		link->handler.withdraw_account(
			link->handler.ctx, offer->key + strlen(ACCOUNT_PREFIX));
	return 0;
}

/*
 * Puts a version in force unless the version in force is as new. A cb-watch
 * that has just been replaced may have older versions than its predecessor for
 * a while, and the entry must not return to them.
 */
static void apply_data(struct entry_link *link, const struct spread_msg *msg)
{
	const struct spread_offer *offer = msg->offers;
	struct spread_offer *in_force = find_or_init_version(link, offer->key);
	struct version merged;
	int err = 0;

	if (!in_force)
		return;
	if (!version_adds_to(&offer->version, &in_force->version)) {
		link->counters.link_stale_refused +=
			version_adds_to(&in_force->version, &offer->version);
		return;
	}
	merged = in_force->version;
	version_merge(&merged, &offer->version);
	if (version_is_withdrawn(&merged))
		err = apply_withdrawal(link, offer);
	else if (merged.hash != in_force->version.hash)
		err = apply_content(link, msg);
	if (err) {
		link->counters.link_unreadable++;
		log_line(LOG_ERROR, "link", offer->key,
			 "unreadable content: %s", strerror(-err));
		return;
	}
	in_force->version = merged;
	if (in_force == &link->in_force[link->n_in_force])
		link->n_in_force++;
}

static void on_frame(void *ctx, const struct zsock_route *route,
		     const uint8_t *data, uint32_t size_bytes)
{
	struct entry_link *link = ctx;
	struct spread_msg msg;
	int err;

	(void)route;
	link->counters.link_frames++;
	err = spread_decode(data, size_bytes, &link->auth, &msg);
	if (err == -EBADMSG)
		link->counters.link_bad_mac++;
	else if (err)
		link->counters.link_malformed++;
	if (err)
		return;
	if (msg.kind == SPREAD_DATA)
		apply_data(link, &msg);
	else if (msg.kind == SPREAD_VERSIONS_QUERY)
		send_versions_in_force(link);
	spread_msg_clear(&msg);
}

static void entry_link_free(struct entry_link *link)
{
	if (link->context)
		zmq_ctx_term(link->context);
	free(link->in_force);
	free(link->vms);
	free(link);
}

static struct entry_link *entry_link_new(const struct entry_link_conf *conf,
					 struct entry_link_handler handler)
{
	struct entry_link *link = calloc(1, sizeof(*link));

	if (!link || sodium_init() < 0) {
		free(link);
		return NULL;
	}
	link->self = conf->self;
	link->handler = handler;
	spread_auth_derive(conf->key, conf->data_centre, &link->auth);
	link->in_force = calloc(SPREAD_KEYS_MAX, sizeof(*link->in_force));
	link->vms = calloc(VMS_MAX, sizeof(*link->vms));
	link->context = zmq_ctx_new();
	if (link->in_force && link->vms && link->context)
		return link;
	entry_link_free(link);
	return NULL;
}

int entry_link_start(uv_loop_t *loop, const struct entry_link_conf *conf,
		     struct entry_link_handler handler, struct entry_link **out)
{
	struct entry_link *link = entry_link_new(conf, handler);
	struct zsock_conf zconf = {
		.type = ZMQ_DEALER,
		.endpoint = conf->endpoint,
		.frame_max_bytes = SPREAD_FRAME_MAX_BYTES,
	};
	int err;

	if (!link)
		return -ENOMEM;
	zconf.context = link->context;
	err = zsock_open(loop, &zconf, (struct zsock_handler){ link, on_frame },
			 &link->socket);
	if (err) {
		entry_link_free(link);
		return err;
	}
	uv_timer_init(loop, &link->hello_timer);
	link->hello_timer.data = link;
	uv_timer_start(&link->hello_timer, on_hello, 0, HELLO_PERIOD_MS);
	*out = link;
	return 0;
}

static void on_closed(uv_handle_t *handle)
{
	entry_link_free(handle->data);
}

/**
 * entry_link_close() - close the link; its memory is freed by the next
 *	iteration of the loop
 * @link: link, or NULL
 */
void entry_link_close(struct entry_link *link)
{
	if (!link)
		return;
	zsock_close(link->socket);
	uv_close((uv_handle_t *)&link->hello_timer, on_closed);
}

/**
 * entry_link_counters() - counters of a link
 * @link: link
 *
 * Return: counters, valid until the link is closed.
 */
const struct entry_link_counters *
entry_link_counters(const struct entry_link *link)
{
	return &link->counters;
}
