/* HTTP client of the platform on a libuv loop; one call at a time. */
#ifndef CB_PLATFORM_H
#define CB_PLATFORM_H

#include "reader.h"

#include <uv.h>

struct platform;

/**
 * struct platform_handler - callback that receives answers
 * @ctx: first argument of @answer
 * @answer: result of the call in progress; valid during the call
 */
struct platform_handler {
	void *ctx;
	void (*answer)(void *ctx, const struct reader_answer *answer);
};

/**
 * platform_open() - create a client
 * @loop: loop to run on
 * @url: base URL, http://IP:PORT
 * @handler: receives answers
 * @out: set to the client
 *
 * Return: 0, -EINVAL for an invalid URL, or -ENOMEM.
 */
int platform_open(uv_loop_t *loop, const char *url,
		  struct platform_handler handler, struct platform **out);

/**
 * platform_call() - start a call; the previous one has to have ended
 * @platform: client
 * @call: kind of call
 * @key: CALL_GET: key to read
 * @after: CALL_WATCH: wait for changes after this revision
 *
 * The result always goes to the handler, with status 0 when the call fails.
 */
void platform_call(struct platform *platform, enum reader_call call,
		   const char *key, uint64_t after);
void platform_cancel(struct platform *platform);
void platform_close(struct platform *platform);

#endif
