/*
 * Links of cb-watch: a ROUTER that entries and other cb-watch connect to, and a
 * DEALER for each cb-watch that this process connects to.
 */
#ifndef CB_LINK_WATCH_H
#define CB_LINK_WATCH_H

#include "spread.h"

#include <uv.h>

struct watch_link;

/* Counters of the links; docs/OPERATIONS.md describes each. */
#define WATCH_LINK_COUNTERS(X) \
	X(frames)              \
	X(frames_bad_mac)      \
	X(frames_malformed)    \
	X(frames_sent)         \
	X(frames_dropped)      \
	X(bytes_sent)          \
	X(bytes_received)      \
	X(entry_hellos)        \
	X(entry_ahead)

struct watch_link_counters {
#define X(name) uint64_t name;
	WATCH_LINK_COUNTERS(X)
#undef X
};

/**
 * struct watch_link_conf - settings of the links
 * @listen: endpoint to bind, tcp://IP:PORT
 * @port: port on which the cb-watch of the other VMs listen
 * @self: address of this VM
 * @data_centre: data centre of this VM
 * @key: shared key from the settings, 32 bytes
 */
struct watch_link_conf {
	const char *listen;
	uint16_t port;
	uint64_t self;
	const char *data_centre;
	const uint8_t *key;
};

/**
 * struct watch_link_handler - callback that receives messages of other cb-watch
 * @ctx: first argument of @receive
 * @receive: an authentic message; valid during the call
 */
struct watch_link_handler {
	void *ctx;
	void (*receive)(void *ctx, const struct spread_msg *msg);
};

/**
 * watch_link_open() - bind the ROUTER
 * @loop: loop to run on
 * @conf: settings, copied
 * @handler: receives messages of other cb-watch
 * @out: set to the links
 *
 * Return: 0, -ENOMEM, or ZeroMQ's negative error for the endpoint.
 */
int watch_link_open(uv_loop_t *loop, const struct watch_link_conf *conf,
		    struct watch_link_handler handler, struct watch_link **out);

/**
 * watch_link_set_spread() - set the store from which entries are served
 * @link: links
 * @spread: store; has to outlive the links. Until it is set, hellos of entries
 *	are ignored
 */
void watch_link_set_spread(struct watch_link *link,
			   const struct spread *spread);
void watch_link_send_to_peer(struct watch_link *link, uint64_t vm,
			     const struct spread_msg *msg);
void watch_link_send_to_entries(struct watch_link *link, const char *key,
				const struct version *version,
				const struct content *content);
void watch_link_close_idle(struct watch_link *link);
uint32_t watch_link_entry_count(const struct watch_link *link);
const struct watch_link_counters *
watch_link_counters(const struct watch_link *link);
void watch_link_close(struct watch_link *link);

#endif
