/* Calls to the platform's service on a libuv loop, one at a time. */
#ifndef CB_PLATFORM_H
#define CB_PLATFORM_H

#include "reader.h"

#include <uv.h>

struct platform;

/**
 * struct platform_handler - port that takes answers
 * @ctx: passed back
 * @answer: how the call under way ended
 */
struct platform_handler {
	void *ctx;
	void (*answer)(void *ctx, const struct reader_answer *a);
};

/**
 * platform_open() - be ready to call
 * @loop: loop to run on
 * @url: base URL, http://IP:PORT
 * @handler: takes answers
 * @out: set to the platform
 *
 * Return: 0, -EINVAL for another URL, -ENOMEM.
 */
int platform_open(uv_loop_t *loop, const char *url,
		  struct platform_handler handler, struct platform **out);

/**
 * platform_call() - start a call; the one before has to have ended
 * @p: platform
 * @call: what to call
 * @key: key to read
 * @after: revision to watch from
 */
void platform_call(struct platform *p, enum reader_call call, const char *key,
		   uint64_t after);
void platform_cancel(struct platform *p);
void platform_close(struct platform *p);

#endif
