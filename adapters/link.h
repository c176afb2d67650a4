/*
 * Link between cb-entry and the cb-watch beside it, over ZeroMQ: the entry's
 * DEALER says hello and what it has in force, the watch's ROUTER sends
 * accounts and the list of VMs. Either may restart; hello is repeated.
 */
#ifndef CB_LINK_H
#define CB_LINK_H

#include "config.h"

#include <uv.h>

struct entry_link;

/**
 * struct link_handler - port that takes what cb-watch sends
 * @ctx: passed back
 * @account: an account to put in force; the callee owns it
 * @account_gone: an account was withdrawn
 * @roster: the data centre's VMs that are not leaving
 */
struct link_handler {
	void *ctx;
	void (*account)(void *ctx, struct account_conf *take);
	void (*account_gone)(void *ctx, const char *name);
	void (*roster)(void *ctx, const uint64_t *vms, uint32_t n);
};

/* Counters of the link; docs/OPERATIONS.md names each. */
#define LINK_COUNTERS(X)      \
	X(link_frames)        \
	X(link_bad_mac)       \
	X(link_malformed)     \
	X(link_stale_refused) \
	X(link_unreadable)    \
	X(link_send_failed)

struct link_counters {
#define X(name) uint64_t name;
	LINK_COUNTERS(X)
#undef X
};

/**
 * struct link_conf - where and as whom to link
 * @endpoint: cb-watch's endpoint
 * @self: this VM
 * @data_centre: its data centre; a cb-watch of another one is not believed
 * @key: shared key from the settings, 32 bytes
 */
struct link_conf {
	const char *endpoint;
	uint64_t self;
	const char *data_centre;
	const uint8_t *key;
};

/**
 * entry_link_start() - link to cb-watch, which may come and go
 * @loop: loop to run on
 * @conf: settings, copied
 * @handler: takes what cb-watch sends; versions of a key only move up, also
 *	when another cb-watch process with an older view comes
 * @out: set to the link
 *
 * Return: 0, -ENOMEM, or ZeroMQ's negative error for the endpoint.
 */
int entry_link_start(uv_loop_t *loop, const struct link_conf *conf,
		     struct link_handler handler, struct entry_link **out);
const struct link_counters *entry_link_counters(const struct entry_link *l);

void entry_link_close(struct entry_link *l);

#endif
