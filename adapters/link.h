/*
 * Link between cb-entry and the cb-watch on the same VM, over ZeroMQ. The entry
 * (DEALER) sends hellos with the digest of its versions in force and, on
 * request, the versions; cb-watch (ROUTER) sends accounts and the list of VMs.
 * The hello is sent periodically, so that either process may restart.
 */
#ifndef CB_LINK_H
#define CB_LINK_H

#include "config.h"

#include <uv.h>

struct entry_link;

/**
 * struct entry_link_handler - callbacks that receive the data of cb-watch
 * @ctx: first argument of each callback
 * @apply_account: puts an account in force; the callee owns @account
 * @withdraw_account: an account was withdrawn
 * @apply_roster: addresses of the data centre's VMs that are not leaving
 */
struct entry_link_handler {
	void *ctx;
	void (*apply_account)(void *ctx, struct account_conf *account);
	void (*withdraw_account)(void *ctx, const char *name);
	void (*apply_roster)(void *ctx, const uint64_t *vms, uint32_t n);
};

/* Counters of the link; docs/OPERATIONS.md describes each. */
#define LINK_COUNTERS(X)      \
	X(link_frames)        \
	X(link_bad_mac)       \
	X(link_malformed)     \
	X(link_stale_refused) \
	X(link_unreadable)    \
	X(link_send_failed)

struct entry_link_counters {
#define X(name) uint64_t name;
	LINK_COUNTERS(X)
#undef X
};

/**
 * struct entry_link_conf - settings of the link
 * @endpoint: endpoint of cb-watch, tcp://IP:PORT
 * @self: address of this VM
 * @data_centre: data centre of this VM; frames of another one fail
 *	authentication
 * @key: shared key from the settings, 32 bytes
 */
struct entry_link_conf {
	const char *endpoint;
	uint64_t self;
	const char *data_centre;
	const uint8_t *key;
};

/**
 * entry_link_start() - connect to cb-watch and reconnect whenever it restarts
 * @loop: loop to run on
 * @conf: settings, copied
 * @handler: receives the data of cb-watch. The versions of a key never
 *	decrease, even when another cb-watch process with older versions
 *	connects
 * @out: set to the link
 *
 * Return: 0, -ENOMEM, or ZeroMQ's negative error for the endpoint.
 */
int entry_link_start(uv_loop_t *loop, const struct entry_link_conf *conf,
		     struct entry_link_handler handler,
		     struct entry_link **out);
const struct entry_link_counters *
entry_link_counters(const struct entry_link *link);

void entry_link_close(struct entry_link *link);

#endif
