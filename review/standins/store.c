/* The platform's store: HTTP/1.1 with kv-range and kv-watch (PROTOCOL.md). */
#define _GNU_SOURCE
#include "bed.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#define CONNECTIONS_MAX 256
#define ITEMS_MAX 1024
#define EVENTS_MAX 65536
#define REQUEST_BYTES 8192

struct item {
	char key[KEY_BYTES];
	char *base64;
	uint32_t n_base64;
	uint64_t revision;
	uint64_t created;
};

struct event {
	char key[KEY_BYTES];
	char *base64; /* NULL: deleted */
	uint64_t revision;
	uint64_t created;
	uint64_t at_us;
};

struct connection {
	struct handle h;
	int fd;
	bool is_silent;
	char in[REQUEST_BYTES];
	uint32_t n_in;
	char *out;
	size_t n_out;
	size_t sent;
	uint64_t answer_at_us; /* 0: no answer is due */
	uint64_t link_free_us;
	bool watches;
	uint64_t watch_after;
	uint64_t watch_until_us;
	char request[512];
};

static struct store_conf conf;
static struct handle listener;
static int listen_fd;
static struct connection *connections[CONNECTIONS_MAX];
static struct item *items[ITEMS_MAX];
static uint32_t n_items;
static struct event events[EVENTS_MAX];
static uint32_t n_events, first_event;
static uint64_t revision = 100;
static uint64_t forgotten; /* history up to this revision is gone */

static char *encode_base64(const char *in, uint32_t n, uint32_t *n_out)
{
	static const char digits[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijkl"
				     "mnopqrstuvwxyz0123456789+/";
	const uint8_t *b = (const uint8_t *)in;
	char *out = malloc((n + 2) / 3 * 4 + 1), *at = out;

	for (uint32_t i = 0; i < n; i += 3) {
		uint32_t v = (uint32_t)b[i] << 16;

		if (i + 1 < n)
			v |= (uint32_t)b[i + 1] << 8;
		if (i + 2 < n)
			v |= b[i + 2];
		*at++ = digits[v >> 18];
		*at++ = digits[v >> 12 & 63];
		*at++ = i + 1 < n ? digits[v >> 6 & 63] : '=';
		*at++ = i + 2 < n ? digits[v & 63] : '=';
	}
	*at = '\0';
	*n_out = (uint32_t)(at - out);
	return out;
}

static uint32_t find_item(const char *key, bool *found)
{
	uint32_t low = 0, high = n_items;

	while (low < high) {
		uint32_t middle = (low + high) / 2;

		if (strcmp(items[middle]->key, key) < 0)
			low = middle + 1;
		else
			high = middle;
	}
	*found = low < n_items && !strcmp(items[low]->key, key);
	return low;
}

static void add_event(const char *key, char *base64, uint64_t created)
{
	struct event *e = &events[n_events++];

	if (n_events == EVENTS_MAX)
		fail_setup("too many events");
	strcpy(e->key, key);
	e->base64 = base64;
	e->revision = revision;
	e->created = created;
	e->at_us = now_us();
}

/* Values are never freed: events keep them. Return: the revision. */
uint64_t store_put(const char *key, const char *value, uint32_t n_bytes)
{
	bool found;
	uint32_t i = find_item(key, &found);
	struct item *item;

	revision++;
	if (!found) {
		item = calloc(1, sizeof(*item));
		strcpy(item->key, key);
		item->created = revision;
		memmove(&items[i + 1], &items[i],
			(n_items - i) * sizeof(items[0]));
		items[i] = item;
		n_items++;
	}
	item = items[i];
	item->base64 = encode_base64(value, n_bytes, &item->n_base64);
	item->revision = revision;
	add_event(key, item->base64, item->created);
	return revision;
}

void store_delete(const char *key)
{
	bool found;
	uint32_t i = find_item(key, &found);

	if (!found)
		return;
	revision++;
	add_event(key, NULL, items[i]->created);
	memmove(&items[i], &items[i + 1], (n_items - i - 1) * sizeof(items[0]));
	n_items--;
}

void store_forget_history(void)
{
	forgotten = revision;
	first_event = n_events;
}

/* All open connections go silent for good; new ones work. */
void store_silence_connections(void)
{
	for (uint32_t i = 0; i < CONNECTIONS_MAX; i++)
		if (connections[i])
			connections[i]->is_silent = true;
}

static void close_connection(struct connection *c)
{
	for (uint32_t i = 0; i < CONNECTIONS_MAX; i++)
		if (connections[i] == c)
			connections[i] = NULL;
	close(c->fd);
	free(c->out);
	free(c);
}

static void reply(struct connection *c, int status, char *body, size_t n_body)
{
	char *text = NULL;
	int n = asprintf(&text,
			 "HTTP/1.1 %d %s\r\nContent-Type: application/json\r\n"
			 "Content-Length: %zu\r\n\r\n",
			 status, status == 200 ? "OK" : "Gone", n_body);

	c->out = realloc(text, (size_t)n + n_body);
	memcpy(c->out + n, body, n_body);
	c->n_out = (size_t)n + n_body;
	c->sent = 0;
	if (c->link_free_us < now_us())
		c->link_free_us = now_us();
}

static void answer_range(struct connection *c)
{
	char prefix[KEY_BYTES] = "", after[KEY_BYTES] = "";
	const char *at = strstr(c->request, "prefix=");
	char *body;
	size_t n_body;
	FILE *f = open_memstream(&body, &n_body);
	uint32_t n = 0, bytes = 0, i = 0;
	bool more = false;

	if (at)
		sscanf(at, "prefix=%63[^& ]", prefix);
	at = strstr(c->request, "&after=");
	if (at)
		sscanf(at, "&after=%63[^& ]", after);
	fputs("{\"items\":[", f);
	for (; i < n_items; i++) {
		const struct item *item = items[i];

		if (strncmp(item->key, prefix, strlen(prefix)) ||
		    strcmp(item->key, after) <= 0)
			continue;
		if (n == conf.page_items ||
		    (n && bytes + item->n_base64 > conf.page_bytes)) {
			more = true;
			break;
		}
		fprintf(f,
			"%s{\"key\":\"%s\",\"value\":\"%s\",\"revision\":%lu,"
			"\"create-revision\":%lu,\"lease\":0}",
			n ? "," : "", item->key, item->base64,
			(unsigned long)item->revision,
			(unsigned long)item->created);
		bytes += item->n_base64;
		n++;
	}
	fprintf(f, "],\"more-pages\":%s,\"store-revision\":%lu}",
		more ? "true" : "false", (unsigned long)revision);
	fclose(f);
	note("store: listing%s%s, %u items, %s, revision %lu",
	     after[0] ? " after " : "", after, n, more ? "more" : "last page",
	     (unsigned long)revision);
	reply(c, 200, body, n_body);
	free(body);
}

static void answer_watch(struct connection *c)
{
	char *body;
	size_t n_body;
	FILE *f = open_memstream(&body, &n_body);
	uint32_t n = 0;

	c->watches = false;
	fputs("{\"events\":[", f);
	for (uint32_t i = first_event; i < n_events; i++) {
		const struct event *e = &events[i];

		if (e->revision <= c->watch_after)
			continue;
		fprintf(f, "%s{\"key\":\"%s\",\"revision\":%lu,",
			n++ ? "," : "", e->key, (unsigned long)e->revision);
		if (e->base64)
			fprintf(f,
				"\"create-revision\":%lu,\"lease\":0,"
				"\"value\":\"%s\"}",
				(unsigned long)e->created, e->base64);
		else
			fputs("\"deleted\":true}", f);
	}
	fprintf(f, "],\"store-revision\":%lu}", (unsigned long)revision);
	fclose(f);
	if (n)
		note("store: watch after %lu, %u events, %zu bytes",
		     (unsigned long)c->watch_after, n, n_body);
	reply(c, 200, body, n_body);
	free(body);
}

static void start_watch(struct connection *c)
{
	const char *at = strstr(c->request, "after=");
	const char *wait = strstr(c->request, "wait-ms=");

	c->watch_after = at ? strtoull(at + 6, NULL, 10) : 0;
	if (c->watch_after < forgotten) {
		note("store: watch after %lu, history is gone",
		     (unsigned long)c->watch_after);
		reply(c, 410, "{}", 2);
		return;
	}
	c->watches = true;
	c->watch_until_us =
		now_us() + (wait ? strtoull(wait + 8, NULL, 10) : 0) * 1000;
}

static void answer(struct connection *c)
{
	c->answer_at_us = 0;
	if (!strncmp(c->request, "GET /kv-range", 13))
		answer_range(c);
	else
		start_watch(c);
}

static void read_requests(struct connection *c)
{
	char *end;

	ssize_t n =
		recv(c->fd, c->in + c->n_in, REQUEST_BYTES - 1 - c->n_in, 0);

	if (n == 0 || (n < 0 && errno != EAGAIN)) {
		close_connection(c);
		return;
	}
	if (n < 0)
		return;
	c->n_in += (uint32_t)n;
	c->in[c->n_in] = '\0';
	end = strstr(c->in, "\r\n\r\n");
	if (!end)
		return;
	*strchr(c->in, '\r') = '\0';
	snprintf(c->request, sizeof(c->request), "%.500s", c->in);
	c->n_in = 0;
	c->answer_at_us = now_us() + conf.answer_us;
}

static void on_connection_ready(struct handle *h, uint32_t what)
{
	struct connection *c = (struct connection *)h;

	(void)what;
	if (c->is_silent) {
		char drop[REQUEST_BYTES];
		ssize_t n = recv(c->fd, drop, sizeof(drop), 0);

		if (n == 0 || (n < 0 && errno != EAGAIN))
			close_connection(c);
		return;
	}
	read_requests(c);
}

static void on_accept(struct handle *h, uint32_t what)
{
	int fd = accept4(listen_fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);
	struct connection *c;

	(void)h;
	(void)what;
	if (fd < 0)
		return;
	c = calloc(1, sizeof(*c));
	c->h.ready = on_connection_ready;
	c->fd = fd;
	for (uint32_t i = 0; i < CONNECTIONS_MAX; i++)
		if (!connections[i]) {
			connections[i] = c;
			watch_fd(fd, c, EPOLLIN);
			return;
		}
	fail_setup("too many connections");
}

/* Send as much as the machine's link takes by now. */
static void send_out(struct connection *c, uint64_t us)
{
	size_t most = c->n_out - c->sent;
	ssize_t n;

	if (conf.link_bytes_per_s) {
		if (c->link_free_us > us)
			return;
		if (most > conf.link_bytes_per_s / 200)
			most = conf.link_bytes_per_s / 200;
	}
	n = send(c->fd, c->out + c->sent, most, MSG_NOSIGNAL);
	if (n < 0)
		return;
	c->sent += (size_t)n;
	if (conf.link_bytes_per_s)
		c->link_free_us +=
			(uint64_t)n * 1000000 / conf.link_bytes_per_s;
	if (c->sent < c->n_out)
		return;
	free(c->out);
	c->out = NULL;
}

static void connection_tick(struct connection *c, uint64_t us)
{
	if (c->is_silent)
		return;
	if (c->answer_at_us && c->answer_at_us <= us)
		answer(c);
	if (c->watches &&
	    (revision > c->watch_after || c->watch_until_us <= us))
		answer_watch(c);
	if (c->out)
		send_out(c, us);
}

void store_tick(void)
{
	uint64_t us = now_us();

	while (first_event < n_events &&
	       events[first_event].at_us + conf.history_us < us)
		forgotten = events[first_event++].revision;
	for (uint32_t i = 0; i < CONNECTIONS_MAX; i++)
		if (connections[i])
			connection_tick(connections[i], us);
}

void store_open(const struct store_conf *c)
{
	conf = *c;
	listen_fd = bound_socket(SOCK_STREAM, STORE_IP, bed.base + STORE_PORT);
	if (listen_fd < 0)
		fail_setup("store");
	listener.ready = on_accept;
	watch_fd(listen_fd, &listener, EPOLLIN);
}
