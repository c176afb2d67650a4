#include "platform.h"

#include "http_client.h"
#include "settings.h"

#include <errno.h>
#include <glib.h>
#include <stdlib.h>
#include <string.h>

#define SCHEME "http://"
#define CALL_TIMEOUT_MS 3000U
#define WATCH_MS 20000U
#define WATCH_TIMEOUT_MS (WATCH_MS + CALL_TIMEOUT_MS)

struct platform {
	struct http_client *caller;
	uint64_t server;
	struct platform_handler handler;
	uv_timer_t failed; /* tells of a call that could not be started */
};

static void on_done(void *ctx, const struct http_reply *reply)
{
	struct platform *p = ctx;
	struct reader_answer a = {
		.status = reply->status,
		.revision = g_ascii_strtoull(reply->header, NULL, 10),
		.body = reply->body,
		.size_bytes = (uint32_t)reply->size_bytes,
	};

	p->handler.answer(p->handler.ctx, &a);
}

static void on_failed(uv_timer_t *timer)
{
	struct reader_answer none = { .body = "" };
	struct platform *p = timer->data;

	p->handler.answer(p->handler.ctx, &none);
}

int platform_open(uv_loop_t *loop, const char *url,
		  struct platform_handler handler, struct platform **out)
{
	struct platform *p = calloc(1, sizeof(*p));
	struct http_client_handler done = { p, on_done, NULL };
	const char *at =
		g_str_has_prefix(url, SCHEME) ? url + strlen(SCHEME) : url;
	int err;

	if (!p)
		return -ENOMEM;
	p->handler = handler;
	err = addr_parse(at, &p->server);
	if (!err)
		err = http_client_open(loop, done, &p->caller);
	if (err) {
		free(p);
		return err;
	}
	http_client_capture_header(p->caller, "X-Revision");
	uv_timer_init(loop, &p->failed);
	p->failed.data = p;
	*out = p;
	return 0;
}

static GString *call_path(enum reader_call call, const char *key,
			  uint64_t after)
{
	GString *path = g_string_new(NULL);

	if (call == CALL_LIST)
		g_string_append(path, "/v1/list?prefix=");
	else if (call == CALL_WATCH)
		g_string_append_printf(path,
				       "/v1/watch?after=%" G_GUINT64_FORMAT
				       "&timeout_ms=%u",
				       after, WATCH_MS);
	else
		g_string_append(path, "/v1/keys/");
	if (call == CALL_GET)
		g_string_append_uri_escaped(path, key, "/", FALSE);
	return path;
}

void platform_call(struct platform *p, enum reader_call call, const char *key,
		   uint64_t after)
{
	GString *path = call_path(call, key, after);

	if (http_client_get(p->caller, p->server, path->str,
			    call == CALL_WATCH ? WATCH_TIMEOUT_MS
					       : CALL_TIMEOUT_MS))
		uv_timer_start(&p->failed, on_failed, 0, 0);
	g_string_free(path, TRUE);
}

/**
 * platform_cancel() - give up the call under way; no answer comes
 * @p: platform
 */
void platform_cancel(struct platform *p)
{
	http_client_cancel(p->caller);
	uv_timer_stop(&p->failed);
}

static void on_closed(uv_handle_t *handle)
{
	free(handle->data);
}

/**
 * platform_close() - end; memory goes when the loop turns again
 * @p: platform, or NULL
 */
void platform_close(struct platform *p)
{
	if (!p)
		return;
	platform_cancel(p);
	http_client_close(p->caller);
	uv_close((uv_handle_t *)&p->failed, on_closed);
}
