#include "platform.h"

#include <curl/curl.h>
#include <errno.h>
#include <glib.h>
#include <stdlib.h>
#include <string.h>

#define URL_MAX_BYTES 512
#define BODY_MAX_BYTES (8U << 20)
#define CONNECT_TIMEOUT_MS 1000L
#define CALL_TIMEOUT_MS 3000L
#define WATCH_MS 20000L
#define WATCH_TIMEOUT_MS (WATCH_MS + CALL_TIMEOUT_MS)

struct platform {
	uv_loop_t *loop;
	uv_timer_t timer;
	CURLM *multi;
	CURL *easy;
	bool running;
	char url[URL_MAX_BYTES];
	GString *body;
	uint64_t revision;
	struct platform_handler handler;
};

/* A socket of libcurl's, watched on the loop. */
struct watched {
	uv_poll_t poll;
	struct platform *platform;
	curl_socket_t fd;
};

static void finish(struct platform *p, CURLcode code)
{
	struct reader_answer a = {
		.revision = p->revision,
		.body = p->body->str,
		.size_bytes = (uint32_t)p->body->len,
	};
	long status = 0;

	if (code == CURLE_OK)
		curl_easy_getinfo(p->easy, CURLINFO_RESPONSE_CODE, &status);
	a.status = (int)status;
	curl_multi_remove_handle(p->multi, p->easy);
	p->running = false;
	p->handler.answer(p->handler.ctx, &a);
}

static void check_done(struct platform *p)
{
	bool done = false;
	CURLcode code = CURLE_OK;
	CURLMsg *m;
	int left;

	while ((m = curl_multi_info_read(p->multi, &left))) {
		if (m->msg != CURLMSG_DONE)
			continue;
		done = true;
		code = m->data.result;
	}
	if (done && p->running)
		finish(p, code);
}

static void on_poll(uv_poll_t *poll, int status, int events)
{
	struct watched *w = poll->data;
	struct platform *p = w->platform;
	int flags = 0, running;

	if (status < 0)
		flags = CURL_CSELECT_ERR;
	if (events & UV_READABLE)
		flags |= CURL_CSELECT_IN;
	if (events & UV_WRITABLE)
		flags |= CURL_CSELECT_OUT;
	curl_multi_socket_action(p->multi, w->fd, flags, &running);
	check_done(p);
}

static void on_timer(uv_timer_t *timer)
{
	struct platform *p = timer->data;
	int running;

	curl_multi_socket_action(p->multi, CURL_SOCKET_TIMEOUT, 0, &running);
	check_done(p);
}

static int curl_timer(CURLM *multi, long timeout_ms, void *ctx)
{
	struct platform *p = ctx;

	(void)multi;
	if (timeout_ms < 0)
		uv_timer_stop(&p->timer);
	else
		uv_timer_start(&p->timer, on_timer, (uint64_t)timeout_ms, 0);
	return 0;
}

static void on_poll_closed(uv_handle_t *handle)
{
	free(handle->data);
}

static int curl_socket(CURL *easy, curl_socket_t fd, int action, void *ctx,
		       void *socket_ctx)
{
	struct platform *p = ctx;
	struct watched *w = socket_ctx;
	int events = 0;

	(void)easy;
	if (action == CURL_POLL_REMOVE) {
		if (!w)
			return 0;
		uv_poll_stop(&w->poll);
		uv_close((uv_handle_t *)&w->poll, on_poll_closed);
		curl_multi_assign(p->multi, fd, NULL);
		return 0;
	}
	if (!w) {
		w = calloc(1, sizeof(*w));
		if (!w || uv_poll_init_socket(p->loop, &w->poll, fd)) {
			free(w);
			return -1;
		}
		w->platform = p;
		w->fd = fd;
		w->poll.data = w;
		curl_multi_assign(p->multi, fd, w);
	}
	if (action & CURL_POLL_IN)
		events |= UV_READABLE;
	if (action & CURL_POLL_OUT)
		events |= UV_WRITABLE;
	uv_poll_start(&w->poll, events, on_poll);
	return 0;
}

/* Returning less than was given ends the call with an error. */
static size_t on_body(char *data, size_t size, size_t n, void *ctx)
{
	struct platform *p = ctx;

	if (p->body->len + size * n > BODY_MAX_BYTES)
		return 0;
	g_string_append_len(p->body, data, (gssize)(size * n));
	return size * n;
}

static size_t on_header(char *data, size_t size, size_t n, void *ctx)
{
	static const char name[] = "X-Revision:";
	struct platform *p = ctx;
	char line[64] = "";

	if (size * n < sizeof(line))
		memcpy(line, data, size * n);
	if (!g_ascii_strncasecmp(line, name, strlen(name)))
		p->revision = g_ascii_strtoull(line + strlen(name), NULL, 10);
	return size * n;
}

static void set_up(struct platform *p)
{
	curl_multi_setopt(p->multi, CURLMOPT_SOCKETFUNCTION, curl_socket);
	curl_multi_setopt(p->multi, CURLMOPT_SOCKETDATA, p);
	curl_multi_setopt(p->multi, CURLMOPT_TIMERFUNCTION, curl_timer);
	curl_multi_setopt(p->multi, CURLMOPT_TIMERDATA, p);
	curl_easy_setopt(p->easy, CURLOPT_WRITEFUNCTION, on_body);
	curl_easy_setopt(p->easy, CURLOPT_WRITEDATA, p);
	curl_easy_setopt(p->easy, CURLOPT_HEADERFUNCTION, on_header);
	curl_easy_setopt(p->easy, CURLOPT_HEADERDATA, p);
	curl_easy_setopt(p->easy, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(p->easy, CURLOPT_NOPROXY, "*");
	curl_easy_setopt(p->easy, CURLOPT_PROTOCOLS_STR, "http,https");
	curl_easy_setopt(p->easy, CURLOPT_CONNECTTIMEOUT_MS,
			 CONNECT_TIMEOUT_MS);
}

int platform_open(uv_loop_t *loop, const char *url,
		  struct platform_handler handler, struct platform **out)
{
	struct platform *p = calloc(1, sizeof(*p));

	if (!p)
		return -ENOMEM;
	p->loop = loop;
	p->handler = handler;
	g_strlcpy(p->url, url, sizeof(p->url));
	p->body = g_string_new(NULL);
	p->multi = curl_multi_init();
	p->easy = curl_easy_init();
	if (!p->multi || !p->easy) {
		curl_easy_cleanup(p->easy);
		curl_multi_cleanup(p->multi);
		g_string_free(p->body, TRUE);
		free(p);
		return -ENOMEM;
	}
	uv_timer_init(loop, &p->timer);
	p->timer.data = p;
	set_up(p);
	*out = p;
	return 0;
}

static GString *call_url(const struct platform *p, enum reader_call call,
			 const char *key, uint64_t after)
{
	GString *url = g_string_new(p->url);

	if (call == CALL_LIST)
		g_string_append(url, "/v1/list?prefix=");
	else if (call == CALL_WATCH)
		g_string_append_printf(url,
				       "/v1/watch?after=%" G_GUINT64_FORMAT
				       "&timeout_ms=%ld",
				       after, WATCH_MS);
	else
		g_string_append(url, "/v1/keys/");
	if (call == CALL_GET)
		g_string_append_uri_escaped(url, key, "/", FALSE);
	return url;
}

void platform_call(struct platform *p, enum reader_call call, const char *key,
		   uint64_t after)
{
	GString *url = call_url(p, call, key, after);

	g_string_truncate(p->body, 0);
	p->revision = 0;
	p->running = true;
	curl_easy_setopt(p->easy, CURLOPT_URL, url->str);
	curl_easy_setopt(p->easy, CURLOPT_TIMEOUT_MS,
			 call == CALL_WATCH ? WATCH_TIMEOUT_MS
					    : CALL_TIMEOUT_MS);
	curl_multi_add_handle(p->multi, p->easy);
	g_string_free(url, TRUE);
}

/**
 * platform_cancel() - give up the call under way; no answer comes
 * @p: platform
 */
void platform_cancel(struct platform *p)
{
	if (p->running)
		curl_multi_remove_handle(p->multi, p->easy);
	p->running = false;
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
	curl_easy_cleanup(p->easy);
	curl_multi_cleanup(p->multi);
	g_string_free(p->body, TRUE);
	uv_close((uv_handle_t *)&p->timer, on_closed);
}
