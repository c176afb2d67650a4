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

struct entry_link {
	void *context;
	struct zsock *socket;
	uv_timer_t hello;
	uint64_t self;
	struct spread_auth auth;
	struct link_handler handler;
	struct link_counters counters;
	struct spread_offer *held;
	uint32_t n_held;
	uint64_t *vms;
};

static void link_send(struct entry_link *l, struct spread_msg *m)
{
	uint32_t size_bytes;
	uint8_t *frame;

	m->from = l->self;
	m->bucket = -1;
	if (spread_encode(m, &l->auth, &frame, &size_bytes))
		return;
	if (zsock_send(l->socket, NULL, frame, size_bytes))
		l->counters.link_send_failed++;
	free(frame);
}

static uint64_t held_root(const struct entry_link *l)
{
	uint64_t root = 0;

	for (uint32_t i = 0; i < l->n_held; i++)
		root ^= version_digest(l->held[i].key, &l->held[i].version);
	return root;
}

static void on_hello(uv_timer_t *timer)
{
	struct entry_link *l = timer->data;
	struct spread_msg m = { .kind = SPREAD_HELLO,
				.store_digest = held_root(l) };

	link_send(l, &m);
}

static void send_held(struct entry_link *l)
{
	struct spread_msg m = {
		.kind = SPREAD_VERSIONS,
		.offers = l->held,
		.n_offers = l->n_held,
	};

	link_send(l, &m);
}

static struct spread_offer *held_get(struct entry_link *l, const char *key)
{
	struct spread_offer *o;

	for (uint32_t i = 0; i < l->n_held; i++)
		if (!strcmp(l->held[i].key, key))
			return &l->held[i];
	if (l->n_held == SPREAD_KEYS_MAX)
		return NULL;
	o = &l->held[l->n_held];
	*o = (struct spread_offer){ 0 };
	strcpy(o->key, key);
	return o;
}

static int take_account(struct entry_link *l, const struct spread_offer *o,
			const struct content *c)
{
	const char *name = o->key + strlen(ACCOUNT_PREFIX);
	struct account_conf *a;
	int err;

	err = account_decode(name, o->version.generation, c, &a);
	if (!err)
		l->handler.account(l->handler.ctx, a);
	return err;
}

static int take_roster(struct entry_link *l, const struct content *c)
{
	int32_t n = roster_decode(c, l->vms, VMS_MAX);

	if (n < 0)
		return n;
	l->handler.roster(l->handler.ctx, l->vms, (uint32_t)n);
	return 0;
}

static int take_content(struct entry_link *l, const struct spread_msg *m)
{
	const struct spread_offer *o = m->offers;
	struct content *c =
		m->base_hash ? NULL : content_patch(NULL, &m->delta);
	int err = -EPROTO;

	if (c && c->hash == o->version.hash) {
		if (!strncmp(o->key, ACCOUNT_PREFIX, strlen(ACCOUNT_PREFIX)))
			err = take_account(l, o, c);
		else if (!strncmp(o->key, VMS_PREFIX, strlen(VMS_PREFIX)))
			err = take_roster(l, c);
	}
	content_free(c);
	return err;
}

static int take_withdrawal(struct entry_link *l, const struct spread_offer *o)
{
	if (!strncmp(o->key, ACCOUNT_PREFIX, strlen(ACCOUNT_PREFIX)))
		l->handler.account_gone(l->handler.ctx,
					o->key + strlen(ACCOUNT_PREFIX));
	return 0;
}

/*
 * Put a version in force unless what is in force is as new. A cb-watch that
 * was replaced knows less than its predecessor for a while: without this the
 * entry would fall back with it.
 */
static void take_data(struct entry_link *l, const struct spread_msg *m)
{
	const struct spread_offer *o = m->offers;
	struct spread_offer *held = held_get(l, o->key);
	struct version joined;
	int err = 0;

	if (!held)
		return;
	if (!version_adds_to(&o->version, &held->version)) {
		l->counters.link_stale_refused +=
			version_adds_to(&held->version, &o->version);
		return;
	}
	joined = held->version;
	version_join(&joined, &o->version);
	if (version_is_withdrawn(&joined))
		err = take_withdrawal(l, o);
	else if (joined.hash != held->version.hash)
		err = take_content(l, m);
	if (err) {
		l->counters.link_unreadable++;
		log_line(LOG_ERROR, "link", o->key, "unreadable content: %s",
			 strerror(-err));
		return;
	}
	held->version = joined;
	if (held == &l->held[l->n_held])
		l->n_held++;
}

static void on_frame(void *ctx, const struct zroute *route, const uint8_t *data,
		     uint32_t size_bytes)
{
	struct entry_link *l = ctx;
	struct spread_msg m;
	int err;

	(void)route;
	l->counters.link_frames++;
	err = spread_decode(data, size_bytes, &l->auth, &m);
	if (err == -EBADMSG)
		l->counters.link_bad_mac++;
	else if (err)
		l->counters.link_malformed++;
	if (err)
		return;
	if (m.kind == SPREAD_DATA)
		take_data(l, &m);
	else if (m.kind == SPREAD_VERSIONS_QUERY)
		send_held(l);
	spread_msg_clear(&m);
}

static void link_free(struct entry_link *l)
{
	if (l->context)
		zmq_ctx_term(l->context);
	free(l->held);
	free(l->vms);
	free(l);
}

static struct entry_link *link_new(const struct link_conf *conf,
				   struct link_handler handler)
{
	struct entry_link *l = calloc(1, sizeof(*l));

	if (!l || sodium_init() < 0) {
		free(l);
		return NULL;
	}
	l->self = conf->self;
	l->handler = handler;
	spread_auth_derive(conf->key, conf->data_centre, &l->auth);
	l->held = calloc(SPREAD_KEYS_MAX, sizeof(*l->held));
	l->vms = calloc(VMS_MAX, sizeof(*l->vms));
	l->context = zmq_ctx_new();
	if (l->held && l->vms && l->context)
		return l;
	link_free(l);
	return NULL;
}

int entry_link_start(uv_loop_t *loop, const struct link_conf *conf,
		     struct link_handler handler, struct entry_link **out)
{
	struct entry_link *l = link_new(conf, handler);
	struct zsock_conf zconf = {
		.type = ZMQ_DEALER,
		.endpoint = conf->endpoint,
		.frame_max_bytes = SPREAD_FRAME_MAX_BYTES,
	};
	int err;

	if (!l)
		return -ENOMEM;
	zconf.context = l->context;
	err = zsock_open(loop, &zconf, (struct zsock_handler){ l, on_frame },
			 &l->socket);
	if (err) {
		link_free(l);
		return err;
	}
	uv_timer_init(loop, &l->hello);
	l->hello.data = l;
	uv_timer_start(&l->hello, on_hello, 0, HELLO_PERIOD_MS);
	*out = l;
	return 0;
}

static void on_closed(uv_handle_t *handle)
{
	link_free(handle->data);
}

/**
 * entry_link_close() - end the link; memory goes when the loop turns again
 * @l: link, or NULL
 */
void entry_link_close(struct entry_link *l)
{
	if (!l)
		return;
	zsock_close(l->socket);
	uv_close((uv_handle_t *)&l->hello, on_closed);
}

/**
 * entry_link_counters() - what the link counted
 * @l: link
 *
 * Return: counters, good until the link is closed.
 */
const struct link_counters *entry_link_counters(const struct entry_link *l)
{
	return &l->counters;
}
