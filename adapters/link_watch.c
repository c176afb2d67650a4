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
/* A connection is closed after this time without a frame sent. */
#define PEER_IDLE_NS (60 * NS_PER_S)
/* A route expires this long after its last authentic frame. */
#define ROUTE_TIMEOUT_NS (10 * NS_PER_S)

/**
 * struct link_peer - connections to the cb-watch of another VM
 * @vm: address of the VM
 * @dealer: connection opened by this process, or NULL
 * @idle_deadline_ns: time at which @dealer is closed unless it is used again
 * @route: connection opened by the peer
 * @route_deadline_ns: time at which @route expires; 0 when there is none
 */
struct link_peer {
	uint64_t vm;
	struct zsock *dealer;
	uint64_t idle_deadline_ns;
	struct zsock_route route;
	uint64_t route_deadline_ns;
};

/**
 * struct link_entry - connection of a cb-entry
 * @route: route of its last hello
 * @route_deadline_ns: time at which @route expires
 */
struct link_entry {
	struct zsock_route route;
	uint64_t route_deadline_ns;
};

/**
 * struct watch_link - links of a cb-watch
 * @loop: loop on which the sockets run
 * @context: ZeroMQ context
 * @router: socket that entries and other cb-watch connect to
 * @port: port on which the cb-watch of the other VMs listen
 * @self: address of this VM
 * @auth: key that authenticates frames
 * @handler: receives messages of other cb-watch
 * @counters: counters of the links
 * @spread: store from which entries are served; NULL until it is set
 * @peers: other cb-watch, an array of PEERS_MAX
 * @n_peers: number of elements of @peers in use
 * @entries: entries that have sent a hello
 * @n_entries: number of elements of @entries in use
 */
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

static struct link_peer *find_or_add_peer(struct watch_link *link, uint64_t vm)
{
	struct link_peer *peer;

	for (uint32_t i = 0; i < link->n_peers; i++)
		if (link->peers[i].vm == vm)
			return &link->peers[i];
	if (link->n_peers == PEERS_MAX)
		return NULL;
	peer = &link->peers[link->n_peers++];
	*peer = (struct link_peer){ .vm = vm };
	return peer;
}

static int entry_send(struct watch_link *link, const struct zsock_route *route,
		      const struct spread_msg *msg)
{
	uint32_t size_bytes;
	uint8_t *frame;
	int err = spread_encode(msg, &link->auth, &frame, &size_bytes);

	if (err)
		return err;
	err = zsock_send(link->router, route, frame, size_bytes);
	free(frame);
	return err;
}

static void entry_send_version(struct watch_link *link,
			       const struct zsock_route *route, const char *key,
			       const struct version *version,
			       const struct content *content)
{
	struct spread_offer offer = { .version = *version };
	struct spread_msg msg = {
		.kind = SPREAD_DATA,
		.from = link->self,
		.bucket = -1,
		.offers = &offer,
		.n_offers = 1,
	};

	snprintf(offer.key, sizeof(offer.key), "%s", key);
	if (content && content_diff(NULL, content, &msg.delta))
		return;
	entry_send(link, route, &msg);
	delta_clear(&msg.delta);
}

static const struct version *find_version(const struct spread_msg *msg,
					  const char *key)
{
	for (uint32_t i = 0; i < msg->n_offers; i++)
		if (!strcmp(msg->offers[i].key, key))
			return &msg->offers[i].version;
	return NULL;
}

static void entry_send_newer(struct watch_link *link,
			     const struct zsock_route *route,
			     const struct spread_msg *msg)
{
	static const struct version no_version;
	const struct content *content;
	const struct version *version;
	const char *key;
	uint32_t next = 0;

	while ((next = spread_next_key(link->spread, next, &key, &version,
				       &content))) {
		const struct version *entry_version = find_version(msg, key);

		if (!entry_version)
			entry_version = &no_version;
		link->counters.entry_ahead +=
			version_adds_to(entry_version, version);
		if (version_adds_to(version, entry_version))
			entry_send_version(link, route, key, version, content);
	}
}

static void entry_refresh_route(struct watch_link *link,
				const struct zsock_route *route)
{
	uint64_t deadline_ns = uv_hrtime() + ROUTE_TIMEOUT_NS;
	struct link_entry *entry;

	for (uint32_t i = 0; i < link->n_entries; i++) {
		entry = &link->entries[i];
		if (entry->route.size_bytes == route->size_bytes &&
		    !memcmp(entry->route.id, route->id, route->size_bytes)) {
			entry->route_deadline_ns = deadline_ns;
			return;
		}
	}
	if (link->n_entries == ENTRIES_MAX)
		return;
	entry = &link->entries[link->n_entries++];
	entry->route = *route;
	entry->route_deadline_ns = deadline_ns;
}

static void entry_handle_message(struct watch_link *link,
				 const struct zsock_route *route,
				 const struct spread_msg *msg)
{
	struct spread_msg query = {
		.kind = SPREAD_VERSIONS_QUERY,
		.from = link->self,
		.bucket = -1,
	};

	if (!link->spread || !spread_is_serving(link->spread))
		return;
	entry_refresh_route(link, route);
	if (msg->kind == SPREAD_VERSIONS) {
		entry_send_newer(link, route, msg);
		return;
	}
	link->counters.entry_hellos++;
	if (msg->store_digest != spread_store_digest(link->spread))
		entry_send(link, route, &query);
}

static bool is_from_entry(const struct spread_msg *msg)
{
	return msg->kind == SPREAD_HELLO || msg->kind == SPREAD_VERSIONS;
}

static void on_frame(void *ctx, const struct zsock_route *route,
		     const uint8_t *data, uint32_t size_bytes)
{
	struct watch_link *link = ctx;
	struct spread_msg msg;
	struct link_peer *peer;
	int err;

	link->counters.frames++;
	link->counters.bytes_received += size_bytes;
	err = spread_decode(data, size_bytes, &link->auth, &msg);
	if (err == -EBADMSG)
		link->counters.frames_bad_mac++;
	else if (err)
		link->counters.frames_malformed++;
	if (err)
		return;
	if (is_from_entry(&msg)) {
		if (route)
			entry_handle_message(link, route, &msg);
		spread_msg_clear(&msg);
		return;
	}
	peer = route && msg.from != link->self
		       ? find_or_add_peer(link, msg.from)
		       : NULL;
	if (peer) {
		peer->route = *route;
		peer->route_deadline_ns = uv_hrtime() + ROUTE_TIMEOUT_NS;
	}
	link->handler.receive(link->handler.ctx, &msg);
	spread_msg_clear(&msg);
}

static int peer_connect(struct watch_link *link, struct link_peer *peer)
{
	uint32_t ip = ADDR_IP(peer->vm);
	char endpoint[64];
	struct zsock_conf conf = {
		.context = link->context,
		.type = ZMQ_DEALER,
		.endpoint = endpoint,
		.frame_max_bytes = SPREAD_FRAME_MAX_BYTES,
	};

	snprintf(endpoint, sizeof(endpoint), "tcp://%u.%u.%u.%u:%u", ip >> 24,
		 ip >> 16 & 0xff, ip >> 8 & 0xff, ip & 0xff, link->port);
	return zsock_open(link->loop, &conf,
			  (struct zsock_handler){ link, on_frame },
			  &peer->dealer);
}

static int peer_send(struct watch_link *link, struct link_peer *peer,
		     const uint8_t *frame, uint32_t size_bytes)
{
	uint64_t now_ns = uv_hrtime();
	int err;

	if (!peer->dealer && now_ns < peer->route_deadline_ns) {
		err = zsock_send(link->router, &peer->route, frame, size_bytes);
		if (err != -EHOSTUNREACH)
			return err;
		peer->route_deadline_ns = 0;
	}
	if (!peer->dealer) {
		err = peer_connect(link, peer);
		if (err)
			return err;
	}
	peer->idle_deadline_ns = now_ns + PEER_IDLE_NS;
	return zsock_send(peer->dealer, NULL, frame, size_bytes);
}

/**
 * watch_link_send_to_peer() - send a message to another cb-watch; it may get
 *	lost
 * @link: links
 * @vm: address of the peer's VM
 * @msg: message
 */
void watch_link_send_to_peer(struct watch_link *link, uint64_t vm,
			     const struct spread_msg *msg)
{
	struct link_peer *peer = find_or_add_peer(link, vm);
	uint32_t size_bytes;
	uint8_t *frame;
	int err;

	if (!peer || spread_encode(msg, &link->auth, &frame, &size_bytes)) {
		link->counters.frames_dropped++;
		return;
	}
	err = peer_send(link, peer, frame, size_bytes);
	free(frame);
	if (err) {
		link->counters.frames_dropped++;
		return;
	}
	link->counters.frames_sent++;
	link->counters.bytes_sent += size_bytes;
}

/**
 * watch_link_send_to_entries() - send a version of a key to all connected
 *	entries
 * @link: links
 * @key: key
 * @version: version of the key
 * @content: content of the version; NULL when the key is withdrawn
 */
void watch_link_send_to_entries(struct watch_link *link, const char *key,
				const struct version *version,
				const struct content *content)
{
	for (uint32_t i = 0; i < link->n_entries; i++)
		entry_send_version(link, &link->entries[i].route, key, version,
				   content);
}

/**
 * watch_link_close_idle() - close idle connections and drop expired routes
 * @link: links
 */
void watch_link_close_idle(struct watch_link *link)
{
	uint64_t now_ns = uv_hrtime();
	uint32_t n = 0;

	for (uint32_t i = 0; i < link->n_peers; i++) {
		struct link_peer *peer = &link->peers[i];

		if (peer->dealer && now_ns >= peer->idle_deadline_ns) {
			zsock_close(peer->dealer);
			peer->dealer = NULL;
		}
		if (peer->dealer || now_ns < peer->route_deadline_ns)
			link->peers[n++] = *peer;
	}
	link->n_peers = n;
	n = 0;
	for (uint32_t i = 0; i < link->n_entries; i++)
		if (now_ns < link->entries[i].route_deadline_ns)
			link->entries[n++] = link->entries[i];
	link->n_entries = n;
}

int watch_link_open(uv_loop_t *loop, const struct watch_link_conf *conf,
		    struct watch_link_handler handler, struct watch_link **out)
{
	struct watch_link *link = calloc(1, sizeof(*link));
	struct zsock_conf zconf = {
		.type = ZMQ_ROUTER,
		.bind = true,
		.endpoint = conf->listen,
		.frame_max_bytes = SPREAD_FRAME_MAX_BYTES,
	};
	int err = -ENOMEM;

	if (!link || sodium_init() < 0) {
		free(link);
		return -ENOMEM;
	}
	link->loop = loop;
	link->port = conf->port;
	link->self = conf->self;
	link->handler = handler;
	spread_auth_derive(conf->key, conf->data_centre, &link->auth);
	link->peers = calloc(PEERS_MAX, sizeof(*link->peers));
	link->context = zmq_ctx_new();
	zconf.context = link->context;
	if (link->peers && link->context)
		err = zsock_open(loop, &zconf,
				 (struct zsock_handler){ link, on_frame },
				 &link->router);
	if (err) {
		watch_link_close(link);
		return err;
	}
	*out = link;
	return 0;
}

void watch_link_set_spread(struct watch_link *link, const struct spread *spread)
{
	link->spread = spread;
}

/**
 * watch_link_entry_count() - number of entries with a route that has not
 *	expired
 * @link: links
 *
 * Return: count, as of the last watch_link_close_idle().
 */
uint32_t watch_link_entry_count(const struct watch_link *link)
{
	return link->n_entries;
}

/**
 * watch_link_counters() - counters of the links
 * @link: links
 *
 * Return: counters, valid until the links are closed.
 */
const struct watch_link_counters *
watch_link_counters(const struct watch_link *link)
{
	return &link->counters;
}

/**
 * watch_link_close() - close all connections; the loop has to run once more
 *	afterwards
 * @link: links, or NULL
 */
void watch_link_close(struct watch_link *link)
{
	if (!link)
		return;
	for (uint32_t i = 0; i < link->n_peers; i++)
		zsock_close(link->peers[i].dealer);
	zsock_close(link->router);
	if (link->context)
		zmq_ctx_term(link->context);
	free(link->peers);
	free(link);
}
