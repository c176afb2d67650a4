#include "link_watch.h"
#include "log.h"
#include "spread_codec.h"
#include "zsock.h"

#include <errno.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <zmq.h>

#define PEERS_MAX SPREAD_PEERS_MAX
#define ENTRIES_MAX 64
/* A connection that nothing was sent on for this long is closed. */
#define PEER_IDLE_NS (60 * NS_PER_S)
/* A route is used for this long after its last authentic frame. */
#define ROUTE_TIMEOUT_NS (10 * NS_PER_S)

/**
 * struct link_peer - how to reach another cb-watch
 * @vm: VM
 * @dealer: our connection to it, or NULL
 * @idle_deadline_ns: when @dealer is closed, unless it is used again
 * @route: its connection to us
 * @route_deadline_ns: when @route is not used any more
 */
struct link_peer {
	uint64_t vm;
	struct zsock *dealer;
	uint64_t idle_deadline_ns;
	struct zroute route;
	uint64_t route_deadline_ns;
};

struct link_entry {
	struct zroute route;
	uint64_t route_deadline_ns;
};

struct watch_link {
	uv_loop_t *loop;
	void *context;
	struct zsock *router;
	uint16_t port;
	uint64_t self;
	struct spread_auth auth;
	struct watch_link_handler handler;
	struct watch_link_counters counters;
	const struct spread *spread;
	struct link_peer *peers;
	uint32_t n_peers;
	struct link_entry entries[ENTRIES_MAX];
	uint32_t n_entries;
};

static struct link_peer *peer_get(struct watch_link *l, uint64_t vm)
{
	struct link_peer *p;

	for (uint32_t i = 0; i < l->n_peers; i++)
		if (l->peers[i].vm == vm)
			return &l->peers[i];
	if (l->n_peers == PEERS_MAX)
		return NULL;
	p = &l->peers[l->n_peers++];
	*p = (struct link_peer){ .vm = vm };
	return p;
}

static int entry_send(struct watch_link *l, const struct zroute *route,
		      const struct spread_msg *m)
{
	uint32_t size_bytes;
	uint8_t *frame;
	int err = spread_encode(m, &l->auth, &frame, &size_bytes);

	if (err)
		return err;
	err = zsock_send(l->router, route, frame, size_bytes);
	free(frame);
	return err;
}

static void entry_data(struct watch_link *l, const struct zroute *route,
		       const char *key, const struct version *version,
		       const struct content *content)
{
	struct spread_offer one = { .version = *version };
	struct spread_msg m = {
		.kind = SPREAD_DATA,
		.from = l->self,
		.bucket = -1,
		.offers = &one,
		.n_offers = 1,
	};

	snprintf(one.key, sizeof(one.key), "%s", key);
	if (content && content_diff(NULL, content, &m.delta))
		return;
	entry_send(l, route, &m);
	delta_clear(&m.delta);
}

static const struct version *held_version(const struct spread_msg *m,
					  const char *key)
{
	for (uint32_t i = 0; i < m->n_offers; i++)
		if (!strcmp(m->offers[i].key, key))
			return &m->offers[i].version;
	return NULL;
}

static void entry_held(struct watch_link *l, const struct zroute *route,
		       const struct spread_msg *m)
{
	static const struct version nothing;
	const struct content *content;
	const struct version *version;
	const char *key;
	uint32_t next = 0;

	while ((next = spread_next_key(l->spread, next, &key, &version,
				       &content))) {
		const struct version *held = held_version(m, key);

		if (!held)
			held = &nothing;
		l->counters.entry_ahead += version_adds_to(held, version);
		if (version_adds_to(version, held))
			entry_data(l, route, key, version, content);
	}
}

static void entry_note(struct watch_link *l, const struct zroute *route)
{
	uint64_t deadline_ns = uv_hrtime() + ROUTE_TIMEOUT_NS;
	struct link_entry *e;

	for (uint32_t i = 0; i < l->n_entries; i++) {
		e = &l->entries[i];
		if (e->route.size_bytes == route->size_bytes &&
		    !memcmp(e->route.id, route->id, route->size_bytes)) {
			e->route_deadline_ns = deadline_ns;
			return;
		}
	}
	if (l->n_entries == ENTRIES_MAX)
		return;
	e = &l->entries[l->n_entries++];
	e->route = *route;
	e->route_deadline_ns = deadline_ns;
}

static void entry_message(struct watch_link *l, const struct zroute *route,
			  const struct spread_msg *m)
{
	struct spread_msg list = {
		.kind = SPREAD_VERSIONS_QUERY,
		.from = l->self,
		.bucket = -1,
	};

	if (!l->spread || !spread_is_serving(l->spread))
		return;
	entry_note(l, route);
	if (m->kind == SPREAD_VERSIONS) {
		entry_held(l, route, m);
		return;
	}
	l->counters.entry_hellos++;
	if (m->store_digest != spread_store_digest(l->spread))
		entry_send(l, route, &list);
}

static bool from_entry(const struct spread_msg *m)
{
	return m->kind == SPREAD_HELLO || m->kind == SPREAD_VERSIONS;
}

static void on_frame(void *ctx, const struct zroute *route, const uint8_t *data,
		     uint32_t size_bytes)
{
	struct watch_link *l = ctx;
	struct spread_msg m;
	struct link_peer *p;
	int err;

	l->counters.frames++;
	l->counters.bytes_received += size_bytes;
	err = spread_decode(data, size_bytes, &l->auth, &m);
	if (err == -EBADMSG)
		l->counters.frames_bad_mac++;
	else if (err)
		l->counters.frames_malformed++;
	if (err)
		return;
	if (from_entry(&m)) {
		if (route)
			entry_message(l, route, &m);
		spread_msg_clear(&m);
		return;
	}
	p = route && m.from != l->self ? peer_get(l, m.from) : NULL;
	if (p) {
		p->route = *route;
		p->route_deadline_ns = uv_hrtime() + ROUTE_TIMEOUT_NS;
	}
	l->handler.peer(l->handler.ctx, &m);
	spread_msg_clear(&m);
}

static int peer_connect(struct watch_link *l, struct link_peer *p)
{
	uint32_t ip = ADDR_IP(p->vm);
	char endpoint[64];
	struct zsock_conf conf = {
		.context = l->context,
		.type = ZMQ_DEALER,
		.endpoint = endpoint,
		.frame_max_bytes = SPREAD_FRAME_MAX_BYTES,
	};

	snprintf(endpoint, sizeof(endpoint), "tcp://%u.%u.%u.%u:%u", ip >> 24,
		 ip >> 16 & 0xff, ip >> 8 & 0xff, ip & 0xff, l->port);
	return zsock_open(l->loop, &conf, (struct zsock_handler){ l, on_frame },
			  &p->dealer);
}

static int peer_send(struct watch_link *l, struct link_peer *p,
		     const uint8_t *frame, uint32_t size_bytes)
{
	uint64_t now_ns = uv_hrtime();
	int err;

	if (!p->dealer && now_ns < p->route_deadline_ns) {
		err = zsock_send(l->router, &p->route, frame, size_bytes);
		if (err != -EHOSTUNREACH)
			return err;
		p->route_deadline_ns = 0;
	}
	if (!p->dealer) {
		err = peer_connect(l, p);
		if (err)
			return err;
	}
	p->idle_deadline_ns = now_ns + PEER_IDLE_NS;
	return zsock_send(p->dealer, NULL, frame, size_bytes);
}

/**
 * watch_link_send() - send to another cb-watch; may be lost
 * @l: links
 * @vm: its VM
 * @msg: message
 */
void watch_link_send(struct watch_link *l, uint64_t vm,
		     const struct spread_msg *msg)
{
	struct link_peer *p = peer_get(l, vm);
	uint32_t size_bytes;
	uint8_t *frame;
	int err;

	if (!p || spread_encode(msg, &l->auth, &frame, &size_bytes)) {
		l->counters.frames_dropped++;
		return;
	}
	err = peer_send(l, p, frame, size_bytes);
	free(frame);
	if (err) {
		l->counters.frames_dropped++;
		return;
	}
	l->counters.frames_sent++;
	l->counters.bytes_sent += size_bytes;
}

/**
 * watch_link_entries() - give a key's version to all entries
 * @l: links
 * @key: key
 * @version: its version
 * @content: its content, NULL when withdrawn
 */
void watch_link_entries(struct watch_link *l, const char *key,
			const struct version *version,
			const struct content *content)
{
	for (uint32_t i = 0; i < l->n_entries; i++)
		entry_data(l, &l->entries[i].route, key, version, content);
}

/**
 * watch_link_expire() - close what is not used any more
 * @l: links
 */
void watch_link_expire(struct watch_link *l)
{
	uint64_t now_ns = uv_hrtime();
	uint32_t n = 0;

	for (uint32_t i = 0; i < l->n_peers; i++) {
		struct link_peer *p = &l->peers[i];

		if (p->dealer && now_ns >= p->idle_deadline_ns) {
			zsock_close(p->dealer);
			p->dealer = NULL;
		}
		if (p->dealer || now_ns < p->route_deadline_ns)
			l->peers[n++] = *p;
	}
	l->n_peers = n;
	n = 0;
	for (uint32_t i = 0; i < l->n_entries; i++)
		if (now_ns < l->entries[i].route_deadline_ns)
			l->entries[n++] = l->entries[i];
	l->n_entries = n;
}

int watch_link_open(uv_loop_t *loop, const struct watch_link_conf *conf,
		    struct watch_link_handler handler, struct watch_link **out)
{
	struct watch_link *l = calloc(1, sizeof(*l));
	struct zsock_conf zconf = {
		.type = ZMQ_ROUTER,
		.bind = true,
		.endpoint = conf->listen,
		.frame_max_bytes = SPREAD_FRAME_MAX_BYTES,
	};
	int err = -ENOMEM;

	if (!l || sodium_init() < 0) {
		free(l);
		return -ENOMEM;
	}
	l->loop = loop;
	l->port = conf->port;
	l->self = conf->self;
	l->handler = handler;
	spread_auth_derive(conf->key, conf->data_centre, &l->auth);
	l->peers = calloc(PEERS_MAX, sizeof(*l->peers));
	l->context = zmq_ctx_new();
	zconf.context = l->context;
	if (l->peers && l->context)
		err = zsock_open(loop, &zconf,
				 (struct zsock_handler){ l, on_frame },
				 &l->router);
	if (err) {
		watch_link_close(l);
		return err;
	}
	*out = l;
	return 0;
}

void watch_link_spread(struct watch_link *l, const struct spread *s)
{
	l->spread = s;
}

uint32_t watch_link_entry_count(const struct watch_link *l)
{
	return l->n_entries;
}

const struct watch_link_counters *
watch_link_counters(const struct watch_link *l)
{
	return &l->counters;
}

/**
 * watch_link_close() - close all; run the loop once more afterwards
 * @l: links, or NULL
 */
void watch_link_close(struct watch_link *l)
{
	if (!l)
		return;
	for (uint32_t i = 0; i < l->n_peers; i++)
		zsock_close(l->peers[i].dealer);
	zsock_close(l->router);
	if (l->context)
		zmq_ctx_term(l->context);
	free(l->peers);
	free(l);
}
