/*
 * A TCP proxy between each entry and its store server. It can delay, reset or
 * silence connections, or discard the bytes of one direction, without closing
 * either end.
 */
#include "soak.h"

#include <netinet/in.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define BACKLOG 64
#define CHUNK_BYTES 65536

/* The two ends of a connection through the proxy. */
enum link_end { END_ENTRY, END_STORE, ENDS };

/**
 * struct link - a connection through the proxy
 * @entry: entry that opened the connection
 * @ends: sockets to the entry and to its store server
 * @due_ns: for each end, real time at which the chunk read last from it is
 *	forwarded; a later chunk never overtakes an earlier one
 * @discard: for each end, bytes read from it are discarded
 * @refs: number of open sockets and of chunks not yet written
 * @closing: both sockets are being closed
 * @next: next connection of the same entry, or NULL
 */
struct link {
	struct soak_entry *entry;
	uv_tcp_t ends[ENDS];
	uint64_t due_ns[ENDS];
	bool discard[ENDS];
	uint32_t refs;
	bool closing;
	struct link *next;
};

/* Bytes read from one end that wait to be written to the other. */
struct chunk {
	uv_timer_t timer;
	uv_write_t write;
	struct link *link;
	enum link_end to;
	uint32_t size_bytes;
	char data[];
};

static struct sockaddr_in loopback(uint32_t ip, uint16_t port)
{
	return (struct sockaddr_in){
		.sin_family = AF_INET,
		.sin_port = htons(port),
		.sin_addr.s_addr = htonl(ip),
	};
}

static void unref(struct link *l)
{
	struct link **at = &l->entry->links;

	if (--l->refs)
		return;
	while (*at != l)
		at = &(*at)->next;
	*at = l->next;
	free(l);
}

static void on_closed(uv_handle_t *h)
{
	unref(h->data);
}

static void link_close(struct link *l)
{
	if (l->closing)
		return;
	l->closing = true;
	for (int i = 0; i < ENDS; i++)
		uv_close((uv_handle_t *)&l->ends[i], on_closed);
}

static void link_reset(struct link *l)
{
	if (l->closing)
		return;
	l->closing = true;
	for (int i = 0; i < ENDS; i++)
		if (uv_tcp_close_reset(&l->ends[i], on_closed))
			uv_close((uv_handle_t *)&l->ends[i], on_closed);
}

static void on_chunk_closed(uv_handle_t *h)
{
	struct chunk *c = h->data;

	unref(c->link);
	free(c);
}

static void on_written(uv_write_t *write, int status)
{
	struct chunk *c = write->data;

	if (status)
		link_close(c->link);
	uv_close((uv_handle_t *)&c->timer, on_chunk_closed);
}

static void on_chunk_due(uv_timer_t *timer)
{
	struct chunk *c = timer->data;
	uv_buf_t buf = uv_buf_init(c->data, c->size_bytes);

	c->write.data = c;
	if (c->link->closing ||
	    uv_write(&c->write, (uv_stream_t *)&c->link->ends[c->to], &buf, 1,
		     on_written))
		uv_close((uv_handle_t *)timer, on_chunk_closed);
}

static void forward_chunk(struct link *l, enum link_end from, const char *data,
			  uint32_t size_bytes)
{
	struct soak *s = l->entry->soak;
	struct chunk *c = malloc(sizeof(*c) + size_bytes);
	uint64_t now_ns = uv_hrtime();
	uint64_t due_ns = now_ns;

	if (!c)
		return;
	if (now_ns < l->entry->delay_until_ns)
		due_ns += l->entry->delay_ns;
	if (due_ns < l->due_ns[from])
		due_ns = l->due_ns[from];
	l->due_ns[from] = due_ns;
	c->link = l;
	c->to = from == END_ENTRY ? END_STORE : END_ENTRY;
	c->size_bytes = size_bytes;
	memcpy(c->data, data, size_bytes);
	l->refs++;
	uv_timer_init(&s->loop, &c->timer);
	c->timer.data = c;
	uv_timer_start(&c->timer, on_chunk_due, (due_ns - now_ns) / NS_PER_MS,
		       0);
}

static void on_alloc(uv_handle_t *h, size_t suggested, uv_buf_t *buf)
{
	/* forward_chunk() copies it before the next read. */
	static char buffer[CHUNK_BYTES];

	(void)h;
	(void)suggested;
	*buf = uv_buf_init(buffer, sizeof(buffer));
}

static void on_read(uv_stream_t *stream, ssize_t n, const uv_buf_t *buf)
{
	struct link *l = stream->data;
	enum link_end from = stream == (uv_stream_t *)&l->ends[END_STORE]
				     ? END_STORE
				     : END_ENTRY;

	/* A silent connection does not forward the close of an end either. */
	if (l->discard[from])
		return;
	if (n < 0)
		link_close(l);
	else if (n > 0)
		forward_chunk(l, from, buf->base, (uint32_t)n);
}

static void on_connected(uv_connect_t *connect, int status)
{
	struct link *l = connect->data;

	free(connect);
	if (l->closing)
		return;
	if (status) {
		link_reset(l);
		return;
	}
	for (int i = 0; i < ENDS; i++)
		uv_read_start((uv_stream_t *)&l->ends[i], on_alloc, on_read);
}

static void on_connection(uv_stream_t *server, int status)
{
	struct soak_entry *e = server->data;
	struct sockaddr_in store = loopback(STORE_IP_0 + e->index, STORE_PORT);
	struct link *l = calloc(1, sizeof(*l));
	uv_connect_t *connect = malloc(sizeof(*connect));

	if (status || !l || !connect) {
		free(l);
		free(connect);
		return;
	}
	l->entry = e;
	l->next = e->links;
	e->links = l;
	for (int i = 0; i < ENDS; i++) {
		uv_tcp_init(&e->soak->loop, &l->ends[i]);
		l->ends[i].data = l;
		l->refs++;
		l->discard[i] = uv_hrtime() < e->discard_until_ns[i];
	}
	connect->data = l;
	if (uv_accept(server, (uv_stream_t *)&l->ends[END_ENTRY]) ||
	    uv_tcp_connect(connect, &l->ends[END_STORE],
			   (struct sockaddr *)&store, on_connected)) {
		free(connect);
		link_close(l);
	}
}

/**
 * proxy_open() - listen at the address that an entry uses as its store
 * @s: run
 * @entry: number of the entry
 *
 * Return: 0 or a negative error of libuv.
 */
int proxy_open(struct soak *s, uint32_t entry)
{
	struct soak_entry *e = &s->entries[entry];
	struct sockaddr_in at = loopback(PROXY_IP_0 + entry, STORE_PORT);
	int err;

	uv_tcp_init(&s->loop, &e->proxy);
	e->proxy.data = e;
	err = uv_tcp_bind(&e->proxy, (struct sockaddr *)&at, 0);
	return err ? err
		   : uv_listen((uv_stream_t *)&e->proxy, BACKLOG,
			       on_connection);
}

/**
 * proxy_close() - close the proxy of an entry and wait for its connections
 * @s: run
 * @entry: number of the entry
 */
void proxy_close(struct soak *s, uint32_t entry)
{
	struct soak_entry *e = &s->entries[entry];

	uv_close((uv_handle_t *)&e->proxy, NULL);
	for (struct link *l = e->links; l; l = l->next)
		link_close(l);
	while (e->links)
		uv_run(&s->loop, UV_RUN_ONCE);
}

/* Suspends the rules with a time bound until @ns from now. */
static void suspend_timed_rules(struct soak *s, uint64_t ns)
{
	if (s->world->store_disturbed_ns < s->world->now_ns + ns)
		s->world->store_disturbed_ns = s->world->now_ns + ns;
}

/**
 * proxy_reset() - reset every open connection to the store
 * @s: run
 */
void proxy_reset(struct soak *s)
{
	suspend_timed_rules(s, 0);
	for (uint32_t i = 0; i < s->world->n_entries; i++)
		for (struct link *l = s->entries[i].links; l; l = l->next)
			link_reset(l);
}

static void discard(struct soak_entry *e, enum link_end from)
{
	for (struct link *l = e->links; l; l = l->next)
		l->discard[from] = true;
}

/**
 * proxy_silence() - discard all bytes of open connections; new ones work
 * @s: run
 */
void proxy_silence(struct soak *s)
{
	suspend_timed_rules(s, 0);
	for (uint32_t i = 0; i < s->world->n_entries; i++)
		for (int end = 0; end < ENDS; end++)
			discard(&s->entries[i], end);
}

static void drop_direction(struct soak *s, enum link_end from, uint64_t ns)
{
	uint32_t first = (uint32_t)(rng_next(&s->world->rng) % 2);

	suspend_timed_rules(s, ns);
	for (uint32_t i = first; i < s->world->n_entries; i += 2) {
		s->entries[i].discard_until_ns[from] = uv_hrtime() + ns;
		discard(&s->entries[i], from);
	}
}

/**
 * proxy_drop_answers() - discard what the store sends to every other entry
 * @s: run
 */
void proxy_drop_answers(struct soak *s)
{
	drop_direction(s, END_STORE, 4 * NS_PER_S);
}

/**
 * proxy_drop_requests() - discard what every other entry sends to the store
 * @s: run
 */
void proxy_drop_requests(struct soak *s)
{
	drop_direction(s, END_ENTRY, 4 * NS_PER_S);
}

/**
 * proxy_delay() - delay bytes by 400 ms in both directions, for all entries
 * @s: run
 */
void proxy_delay(struct soak *s)
{
	suspend_timed_rules(s, 4 * NS_PER_S);
	for (uint32_t i = 0; i < s->world->n_entries; i++) {
		s->entries[i].delay_until_ns = uv_hrtime() + 4 * NS_PER_S;
		s->entries[i].delay_ns = 400 * NS_PER_MS;
	}
}
