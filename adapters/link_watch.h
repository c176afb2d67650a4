/*
 * cb-watch's end of the links: a ROUTER that entries and other cb-watch
 * connect to, and a DEALER to each cb-watch that this one turns to.
 */
#ifndef CB_LINK_WATCH_H
#define CB_LINK_WATCH_H

#include "spread.h"

#include <uv.h>

struct watch_link;

/* Counters of the links; docs/OPERATIONS.md names each. */
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
 * @port: port of other cb-watch, on the address of their VM
 * @self: this VM
 * @data_centre: its data centre
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
 * struct watch_link_handler - port that takes messages of other cb-watch
 * @ctx: passed back
 * @peer: an authentic message
 */
struct watch_link_handler {
	void *ctx;
	void (*peer)(void *ctx, const struct spread_msg *msg);
};

/**
 * watch_link_open() - bind, and be ready to send
 * @loop: loop to run on
 * @conf: settings, copied
 * @handler: takes messages
 * @out: set to the links
 *
 * Return: 0, -ENOMEM, or ZeroMQ's negative error for the endpoint.
 */
int watch_link_open(uv_loop_t *loop, const struct watch_link_conf *conf,
		    struct watch_link_handler handler, struct watch_link **out);

/**
 * watch_link_spread() - what entries are served from
 * @l: links
 * @s: spread; has to outlive the links
 */
void watch_link_spread(struct watch_link *l, const struct spread *s);
void watch_link_send(struct watch_link *l, uint64_t vm,
		     const struct spread_msg *msg);
void watch_link_entries(struct watch_link *l, const char *key,
			const struct version *version,
			const struct content *content);
void watch_link_expire(struct watch_link *l);
uint32_t watch_link_entry_count(const struct watch_link *l);
const struct watch_link_counters *
watch_link_counters(const struct watch_link *l);
void watch_link_close(struct watch_link *l);

#endif
