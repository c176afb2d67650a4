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

/**
 * struct platform - HTTP client of the platform
 * @client: HTTP client
 * @server: endpoint of the platform
 * @handler: receives answers
 */
struct platform {
	struct http_client *client;
	uint64_t server;
	struct platform_handler handler;
};

static void on_done(void *ctx, const struct http_reply *reply)
{
	struct platform *platform = ctx;
	struct reader_answer answer = {
		.status = reply->status,
		.revision = g_ascii_strtoull(reply->header, NULL, 10),
		.body = reply->body,
		.size_bytes = (uint32_t)reply->size_bytes,
	};

	platform->handler.answer(platform->handler.ctx, &answer);
}

int platform_open(uv_loop_t *loop, const char *url,
		  struct platform_handler handler, struct platform **out)
{
	struct platform *platform = calloc(1, sizeof(*platform));
	struct http_client_handler done = { platform, on_done, NULL };
	const char *address =
		g_str_has_prefix(url, SCHEME) ? url + strlen(SCHEME) : url;
	int err;

	if (!platform)
		return -ENOMEM;
	platform->handler = handler;
	err = addr_parse(address, &platform->server);
	if (!err)
		err = http_client_open(loop, done, &platform->client);
	if (err) {
		free(platform);
		return err;
	}
	http_client_capture_header(platform->client, "X-Revision");
	*out = platform;
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

void platform_call(struct platform *platform, enum reader_call call,
		   const char *key, uint64_t after)
{
	GString *path = call_path(call, key, after);

	http_client_get(platform->client, platform->server, path->str,
			call == CALL_WATCH ? WATCH_TIMEOUT_MS
					   : CALL_TIMEOUT_MS);
	g_string_free(path, TRUE);
}

/**
 * platform_cancel() - cancel the call in progress; its answer is not delivered
 * @platform: client
 */
void platform_cancel(struct platform *platform)
{
	http_client_cancel(platform->client);
}

/**
 * platform_close() - close the client
 * @platform: client, or NULL
 */
void platform_close(struct platform *platform)
{
	if (!platform)
		return;
	platform_cancel(platform);
	http_client_close(platform->client);
	free(platform);
}
