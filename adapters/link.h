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

int entry_link_open(uv_loop_t *loop, const char *endpoint, uint64_t self,
		    struct link_handler handler, struct entry_link **out);
void entry_link_close(struct entry_link *l);

#endif
