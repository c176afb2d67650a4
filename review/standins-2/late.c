/*
 * late: stand-ins for a small deployment of cb-packet on loopback, in one
 * process: the platform's store with its router, the operator, endpoints and
 * clients, as the users' pages have them. It starts and stops the entries, plays
 * the scenario of review/4, writes what was sent, answered and run, and judges
 * FLOW. See review/4/claim.txt.
 *
 * usage: late FOLDER TROUBLE, from the root of the repository
 * Exits with 0 when the rule held, 1 when it was broken, 2 when the case
 * couldn't run.
 */
#define _GNU_SOURCE
#include <arpa/inet.h>
#include <errno.h>
#include <math.h>
#include <signal.h>
#include <stdarg.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

#define STORE_IP 0x7f000303u
#define ENTRY_IP 0x7f00030au /* and the following */
#define ENDPOINT_IP 0x7f000401u
#define CLIENT_IP 0x7f000501u
#define FEED_VIP 0x7f120001u
#define QUICK_VIP 0x7f120003u
#define VIP_PORT 443

/* Bounds and figures of the site. */
#define BEAT_MS 1200
#define SILENT_BEATS 3
#define REUSE_MS 2000
#define TOUCH_MS 4000
#define WORK_MEAN_MS 55.0
#define QUICK_MEAN_MS 5.0 /* of the other tenant's service */
#define WORK_SPREAD 0.5
#define WORK_MAX_MS 330.0
#define SLOTS 3

enum { ENTRIES = 2, FEED = 4, QUICK = 4, OLD = 128, CRASH = 32 };
enum { ENDPOINTS_MAX = FEED + QUICK + OLD + CRASH };
/* Flows of zone-a are at svc-feed, those of zone-b at svc-quick. */
enum { FLOWS_A = 40, FLOWS_B = 10, FLOWS_MAX = FLOWS_A + FLOWS_B };
enum { F_ACK = 4, F_SYN = 8, F_RST = 32, F_FIN = 64 };
#define HEADER_BYTES 32
#define ANSWER_BYTES 1000 /* twice */
#define REQUEST_BYTES 200
/* Clients of zone-a wake together: each flow asks once a second. */
#define WAKE_MS 1000

static FILE *record;
static int trouble, result_broken, answered, requests, lost_flows;
static uint16_t base;
static uint64_t start_ms;

static uint64_t now_ms(void)
{
	struct timespec t;

	clock_gettime(CLOCK_MONOTONIC, &t);
	return (uint64_t)t.tv_sec * 1000 + (uint64_t)t.tv_nsec / 1000000 -
	       start_ms;
}

static void note(const char *format, ...)
{
	va_list ap;

	fprintf(record, "%8.3f ", (double)now_ms() / 1000);
	va_start(ap, format);
	vfprintf(record, format, ap);
	va_end(ap);
	fputc('\n', record);
	fflush(record);
}

static double uniform(void)
{
	return (double)random() / ((double)RAND_MAX + 1);
}

static struct sockaddr_in address(uint32_t ip, uint16_t port)
{
	return (struct sockaddr_in){ .sin_family = AF_INET,
				     .sin_port = htons(port),
				     .sin_addr.s_addr = htonl(ip) };
}

static int bound(int type, uint32_t ip, uint16_t port)
{
	struct sockaddr_in at = address(ip, port);
	int fd = socket(AF_INET, type | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	int one = 1;

	if (type == SOCK_STREAM)
		setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
	if (fd >= 0 && !bind(fd, (struct sockaddr *)&at, sizeof(at)) &&
	    (type != SOCK_STREAM || !listen(fd, 256)))
		return fd;
	if (fd >= 0)
		close(fd);
	return -1;
}

/* ---- The store ---- */

struct item {
	char key[40];
	char value[16384];
	uint64_t revision, created, written_ms;
	bool exists;
};

struct event {
	uint32_t item;
	uint64_t revision, created;
	char *value; /* NULL: deleted */
};

struct connection {
	int fd;
	char in[4096];
	uint32_t n_in;
	uint64_t answer_at_ms, watch_until_ms, after;
	bool watches;
};

static struct item items[ENDPOINTS_MAX + 2];
static uint32_t n_items;
static struct event events[8192];
static uint32_t n_events;
static struct connection connections[64];
static uint64_t revision = 100;
static int store_fd;

static char *base64(const char *in)
{
	static const char digits[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijkl"
				     "mnopqrstuvwxyz0123456789+/";
	size_t n = strlen(in);
	char *out = calloc(1, (n + 2) / 3 * 4 + 1), *at = out;

	for (size_t i = 0; i < n; i += 3) {
		uint32_t v = (uint32_t)(uint8_t)in[i] << 16;

		v |= i + 1 < n ? (uint32_t)(uint8_t)in[i + 1] << 8 : 0;
		v |= i + 2 < n ? (uint32_t)(uint8_t)in[i + 2] : 0;
		*at++ = digits[v >> 18];
		*at++ = digits[v >> 12 & 63];
		*at++ = i + 1 < n ? digits[v >> 6 & 63] : '=';
		*at++ = i + 2 < n ? digits[v & 63] : '=';
	}
	return out;
}

static struct item *find_item(const char *key)
{
	for (uint32_t i = 0; i < n_items; i++)
		if (!strcmp(items[i].key, key))
			return &items[i];
	strcpy(items[n_items].key, key);
	return &items[n_items++];
}

/* An entry changes when more than its sequence changes; a write renews it. */
static void store_put(const char *key, const char *value, bool is_renewal)
{
	struct item *item = find_item(key);

	item->written_ms = now_ms();
	if (item->exists && is_renewal)
		return;
	revision++;
	if (!item->exists)
		item->created = revision;
	item->exists = true;
	item->revision = revision;
	snprintf(item->value, sizeof(item->value), "%s", value);
	events[n_events++] = (struct event){ (uint32_t)(item - items), revision,
					     item->created, base64(value) };
}

static void store_delete(struct item *item)
{
	revision++;
	item->exists = false;
	events[n_events++] = (struct event){ (uint32_t)(item - items), revision,
					     0, NULL };
	note("store: %s removed, revision %lu", item->key,
	     (unsigned long)revision);
}

static void reply(struct connection *c, const char *body)
{
	char *text;
	int n = asprintf(&text,
			 "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
			 "Content-Length: %zu\r\n\r\n%s",
			 strlen(body), body);

	/* Some 70 KB at most, which the socket's buffer takes. */
	if (send(c->fd, text, (size_t)n, MSG_NOSIGNAL) != n)
		note("store: an answer was not taken");
	free(text);
	c->watches = false;
	c->answer_at_ms = 0;
}

static int by_key(const void *a, const void *b)
{
	return strcmp((*(struct item *const *)a)->key,
		      (*(struct item *const *)b)->key);
}

static void answer_range(struct connection *c)
{
	struct item *sorted[ENDPOINTS_MAX + 2];
	char *body;
	size_t n_body;
	FILE *f = open_memstream(&body, &n_body);
	uint32_t n = 0;

	for (uint32_t i = 0; i < n_items; i++)
		if (items[i].exists)
			sorted[n++] = &items[i];
	qsort(sorted, n, sizeof(sorted[0]), by_key);
	fputs("{\"items\":[", f);
	for (uint32_t i = 0; i < n; i++) {
		char *value = base64(sorted[i]->value);

		fprintf(f,
			"%s{\"key\":\"%s\",\"value\":\"%s\",\"revision\":%lu,"
			"\"create-revision\":%lu,\"lease\":0}",
			i ? "," : "", sorted[i]->key, value,
			(unsigned long)sorted[i]->revision,
			(unsigned long)sorted[i]->created);
		free(value);
	}
	fprintf(f, "],\"more-pages\":false,\"store-revision\":%lu}",
		(unsigned long)revision);
	fclose(f);
	note("store: listing, %u items, revision %lu", n,
	     (unsigned long)revision);
	reply(c, body);
	free(body);
}

static void answer_watch(struct connection *c)
{
	char *body;
	size_t n_body;
	FILE *f = open_memstream(&body, &n_body);
	uint32_t n = 0;

	fputs("{\"events\":[", f);
	for (uint32_t i = 0; i < n_events; i++) {
		const struct event *e = &events[i];

		if (e->revision <= c->after)
			continue;
		fprintf(f, "%s{\"key\":\"%s\",\"revision\":%lu,",
			n++ ? "," : "", items[e->item].key,
			(unsigned long)e->revision);
		if (e->value)
			fprintf(f,
				"\"create-revision\":%lu,\"lease\":0,"
				"\"value\":\"%s\"}",
				(unsigned long)e->created, e->value);
		else
			fputs("\"deleted\":true}", f);
	}
	fprintf(f, "],\"store-revision\":%lu}", (unsigned long)revision);
	fclose(f);
	reply(c, body);
	free(body);
}

static void start_answer(struct connection *c)
{
	const char *after = strstr(c->in, "after=");
	const char *wait = strstr(c->in, "wait-ms=");

	c->answer_at_ms = 0;
	if (!strncmp(c->in, "GET /kv-range", 13)) {
		answer_range(c);
	} else {
		c->watches = true;
		c->after = after ? strtoull(after + 6, NULL, 10) : 0;
		c->watch_until_ms =
			now_ms() + (wait ? strtoull(wait + 8, NULL, 10) : 0);
	}
	c->n_in = 0;
}

static void connection_tick(struct connection *c, uint64_t ms)
{
	ssize_t n = recv(c->fd, c->in + c->n_in, sizeof(c->in) - 1 - c->n_in,
			 MSG_DONTWAIT);

	if (n == 0 || (n < 0 && errno != EAGAIN)) {
		close(c->fd);
		*c = (struct connection){ .fd = -1 };
		return;
	}
	if (n > 0) {
		c->n_in += (uint32_t)n;
		c->in[c->n_in] = '\0';
		if (strstr(c->in, "\r\n\r\n"))
			c->answer_at_ms = ms + 4;
	}
	if (c->answer_at_ms && c->answer_at_ms <= ms)
		start_answer(c);
	if (c->watches && (revision > c->after || c->watch_until_ms <= ms))
		answer_watch(c);
}

static void store_tick(uint64_t ms)
{
	int fd = accept4(store_fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);
	int buffer = 1 << 20;

	if (fd >= 0)
		setsockopt(fd, SOL_SOCKET, SO_SNDBUF, &buffer, sizeof(buffer));

	for (uint32_t i = 0; i < 64; i++) {
		if (connections[i].fd < 0 && fd >= 0) {
			connections[i] = (struct connection){ .fd = fd };
			fd = -1;
		}
		if (connections[i].fd >= 0)
			connection_tick(&connections[i], ms);
	}
	for (uint32_t i = 0; i < n_items; i++)
		if (items[i].exists && !strncmp(items[i].key, "servers/", 8) &&
		    items[i].written_ms + SILENT_BEATS * BEAT_MS < ms)
			store_delete(&items[i]);
}

/* ---- Packets ---- */

struct packet {
	uint8_t flags;
	uint32_t seq, ack, dst, src, echo, sum;
	uint16_t len, dport, sport;
};

static uint32_t get(const uint8_t *at, int n)
{
	uint32_t v = 0;

	for (int i = n; i-- > 0;)
		v = v << 8 | at[i];
	return v;
}

static void put(uint8_t *at, uint32_t v, int n)
{
	for (int i = 0; i < n; i++)
		at[i] = (uint8_t)(v >> 8 * i);
}

/* Keyed sum over all fields but echo and pad. */
static uint32_t sum_of(const uint8_t *d)
{
	uint32_t h = 0x5bd1e995u;

	for (uint32_t i = 0; i < 28; i++)
		if (i != 1 && (i < 12 || i > 15))
			h = (h ^ d[i]) * 16777619u;
	return h ? h : 1;
}

static uint32_t packet_write(const struct packet *p, uint8_t *d)
{
	memset(d, 0, HEADER_BYTES + p->len);
	d[0] = p->flags;
	put(d + 2, p->seq, 4);
	put(d + 6, p->ack, 4);
	put(d + 10, p->len, 2);
	put(d + 16, p->dport, 2);
	put(d + 18, p->dst, 4);
	put(d + 22, p->sport, 2);
	put(d + 24, p->src, 4);
	put(d + 28, p->echo, 4);
	put(d + 12, sum_of(d), 4);
	return HEADER_BYTES + p->len;
}

static bool packet_read(const uint8_t *d, ssize_t n, struct packet *p)
{
	if (n < HEADER_BYTES || get(d + 10, 2) != (uint32_t)n - HEADER_BYTES)
		return false;
	*p = (struct packet){ .flags = d[0],
			      .seq = get(d + 2, 4),
			      .ack = get(d + 6, 4),
			      .len = (uint16_t)get(d + 10, 2),
			      .sum = get(d + 12, 4),
			      .dport = (uint16_t)get(d + 16, 2),
			      .dst = get(d + 18, 4),
			      .sport = (uint16_t)get(d + 22, 2),
			      .src = get(d + 24, 4),
			      .echo = get(d + 28, 4) };
	return true;
}

/* ---- Endpoints and flows ---- */

struct endpoint {
	uint64_t id;
	char key[40];
	const char *service;
	uint32_t ip;
	int udp, tcp;
	bool alive;
	uint64_t started_ms, next_beat_ms, sequence;
	uint64_t slot_free_ms[SLOTS];
};

enum stage { FREE, OPENING, IDLE, WAITING, DONE };

/* A flow: the client's side, and what its endpoint holds of it. */
struct flow {
	uint16_t port;
	enum stage stage;
	uint64_t opened_ms, next_ms, sent_ms;
	uint32_t seq, ack, echo, copies;
	bool in_zone_b;
	uint32_t vip;
	struct endpoint *at; /* where it is open */
	uint32_t at_seq, at_ack, at_echo;
	uint64_t answer_ms; /* 0: no request is at work */
	uint32_t last_len;
};

/* A handshake that isn't complete, at an endpoint. */
struct half {
	struct endpoint *at;
	uint16_t port;
	uint32_t seq;
};

static struct endpoint endpoints[ENDPOINTS_MAX];
static uint32_t n_endpoints;
static struct flow flows[FLOWS_MAX];
static struct half halves[1024];
static uint32_t n_halves;
static int client_fd;
static uint16_t next_port = 20000;

static void write_record(struct endpoint *e, bool is_renewal)
{
	char text[512];

	snprintf(text, sizeof(text),
		 "{\"service\":\"%s\",\"address\":\"127.0.4.%u:%u\",\"zone\":"
		 "\"zone-a\",\"version\":\"v1\",\"slots\":%d,\"state\":\"ready\","
		 "\"cold-remaining-ms\":0,\"sequence\":%lu}",
		 e->service, e->ip & 255, base + 10, SLOTS,
		 (unsigned long)++e->sequence);
	store_put(e->key, text, is_renewal);
}

static struct endpoint *add_endpoint(const char *service, uint32_t ip)
{
	struct endpoint *e = &endpoints[n_endpoints++];

	e->id = ((uint64_t)random() << 8 | (uint64_t)random() % 256) + 1;
	snprintf(e->key, sizeof(e->key), "servers/i-%010lx",
		 (unsigned long)e->id);
	e->service = service;
	e->ip = ip;
	e->udp = bound(SOCK_DGRAM, ip, (uint16_t)(base + 10));
	e->tcp = bound(SOCK_STREAM, ip, (uint16_t)(base + 10));
	if (e->udp < 0 || e->tcp < 0) {
		note("endpoint: %s", strerror(errno));
		exit(2);
	}
	e->alive = true;
	e->started_ms = now_ms();
	e->next_beat_ms = e->started_ms + BEAT_MS;
	write_record(e, false);
	return e;
}

static void crash_endpoint(struct endpoint *e)
{
	e->alive = false;
	close(e->udp);
	close(e->tcp);
	note("endpoint %s of %s at 127.0.4.%u crashes", e->key, e->service,
	     e->ip & 255);
}

static struct flow *find_flow(uint16_t port)
{
	for (uint32_t i = 0; i < FLOWS_MAX; i++)
		if (flows[i].stage != FREE && flows[i].port == port)
			return &flows[i];
	return NULL;
}

static void endpoint_send(struct endpoint *e, const struct flow *f,
			  uint8_t flags, uint32_t seq, uint32_t ack,
			  uint16_t len, uint32_t echo)
{
	struct sockaddr_in to = address(CLIENT_IP, base);
	struct packet p = { .flags = flags, .seq = seq, .ack = ack,
			    .len = len, .dst = CLIENT_IP, .dport = f->port,
			    .src = f->vip, .sport = VIP_PORT, .echo = echo };
	uint8_t d[1300];

	sendto(e->udp, d, packet_write(&p, d), 0, (struct sockaddr *)&to,
	       sizeof(to));
}

static void send_answer(struct flow *f)
{
	endpoint_send(f->at, f, F_ACK, f->at_seq, f->at_ack, ANSWER_BYTES,
		      f->at_echo);
	endpoint_send(f->at, f, F_ACK, f->at_seq + ANSWER_BYTES, f->at_ack,
		      ANSWER_BYTES, f->at_echo);
}

static struct half *find_half(const struct endpoint *e, uint16_t port)
{
	for (uint32_t i = 0; i < n_halves; i++)
		if (halves[i].at == e && halves[i].port == port)
			return &halves[i];
	return NULL;
}

/* Time of work: lognormal with the site's mean and spread, in a free slot. */
static uint64_t work_ends_ms(struct endpoint *e, uint64_t ms)
{
	double g = sqrt(-2 * log(1 - uniform())) * cos(2 * M_PI * uniform());
	double mean = strcmp(e->service, "svc-quick") ? WORK_MEAN_MS
						       : QUICK_MEAN_MS;
	double work = exp(log(mean) - WORK_SPREAD * WORK_SPREAD / 2 +
			  WORK_SPREAD * g);
	uint64_t *slot = &e->slot_free_ms[0];

	for (int i = 1; i < SLOTS; i++)
		if (e->slot_free_ms[i] < *slot)
			slot = &e->slot_free_ms[i];
	if (*slot < ms)
		*slot = ms;
	*slot += (uint64_t)(work < WORK_MAX_MS ? work : WORK_MAX_MS);
	return *slot;
}

static void endpoint_take(struct endpoint *e, const struct packet *p,
			  uint64_t ms)
{
	struct flow *f = find_flow(p->sport);
	struct half *h = find_half(e, p->sport);

	if (!f || p->dst != f->vip)
		return;
	if (p->flags & F_SYN) {
		if (!h) {
			h = &halves[n_halves++ % 1024];
			*h = (struct half){ e, p->sport, (uint32_t)random() };
			if (n_halves > 1024)
				n_halves = 1024;
		}
		endpoint_send(e, f, F_SYN | F_ACK, h->seq, p->seq + 1, 0,
			      p->echo);
		return;
	}
	if (!f->at && h && p->ack == h->seq + 1) {
		f->at = e;
		f->at_seq = h->seq + 1;
		f->at_ack = p->seq;
	}
	if (f->at != e) {
		if (!(p->flags & F_RST)) /* doesn't hold the flow */
			endpoint_send(e, f, F_RST, p->ack, 0, 0, p->echo);
		return;
	}
	f->at_echo = p->echo;
	if (!p->len)
		return;
	if (p->seq == f->at_ack && !f->answer_ms) {
		f->at_ack += p->len;
		f->last_len = p->len;
		if (p->ack != f->at_seq)
			f->at_seq = p->ack;
		f->answer_ms = work_ends_ms(e, ms);
	} else if (!f->answer_ms && p->seq + f->last_len == f->at_ack) {
		send_answer(f); /* the answer was lost */
	}
}

static void endpoint_tick(struct endpoint *e, uint64_t ms)
{
	uint8_t d[1400];
	ssize_t n;
	int fd;

	if (!e->alive)
		return;
	while ((fd = accept4(e->tcp, NULL, NULL, SOCK_CLOEXEC)) >= 0)
		close(fd);
	while ((n = recv(e->udp, d, sizeof(d), 0)) > 8) {
		struct packet p;
		uint64_t id = 0;

		for (int i = 0; i < 8; i++)
			id = id << 8 | d[i];
		if ((!id || id == e->id) && packet_read(d + 8, n - 8, &p))
			endpoint_take(e, &p, ms);
	}
	if (e->next_beat_ms <= ms) {
		e->next_beat_ms += BEAT_MS;
		write_record(e, true);
	}
}

/* ---- Entries and the router ---- */

struct entry {
	pid_t pid;
	const char *zone;
	uint32_t misses;
	bool in_rotation;
};

static struct entry entries[ENTRIES] = { { 0, "zone-a", 2, false },
					 { 0, "zone-b", 2, false } };
static char folder[512], tmp[64];

static void start_entry(uint32_t i)
{
	char path[128], log[600];
	FILE *f;

	snprintf(path, sizeof(path), "%s/%u.conf", tmp, i);
	snprintf(log, sizeof(log), "%s/entry-%u.log", folder, i + 1);
	f = fopen(path, "w");
	fprintf(f,
		"[vm]\ndata_centre = \"%s\"\npeer = \"127.0.3.%u:%u\"\n"
		"http = \"127.0.3.%u:%u\"\nlink_mbps = 1000.0\n"
		"[clients]\nlisten = \"127.0.3.%u:%u\"\n"
		"[platform]\naddress = \"127.0.3.3:%u\"\n"
		"ready = \"127.0.3.%u:%u\"\n"
		"[peers]\nseed_0 = \"127.0.3.10:%u\"\n"
		"[limits]\n[timing]\nflow_lifetime_s = 60\ngrace_s = 6\n"
		"[log]\nlevel = \"info\"\nformat = \"json\"\n",
		entries[i].zone, i + 10, base + 3, i + 10, base + 2, i + 10,
		base, base + 4, i + 10, base + 1, base + 2);
	fclose(f);
	entries[i].pid = fork();
	if (!entries[i].pid) {
		prctl(PR_SET_PDEATHSIG, SIGKILL);
		if (!freopen(log, "a", stdout) || dup2(1, 2) < 0)
			_exit(2);
		execl("target/bin/cb-packet", "target/bin/cb-packet",
		      "--settings", path, (char *)NULL);
		_exit(2);
	}
	note("entry %u of %s starts", i + 1, entries[i].zone);
}

static bool is_ready(uint32_t i)
{
	static const char get_ready[] =
		"GET /readiness HTTP/1.1\r\nHost: e\r\n"
		"Connection: close\r\n\r\n";
	struct sockaddr_in to = address(ENTRY_IP + i, (uint16_t)(base + 1));
	struct timeval most = { 0, 100000 };
	char text[256] = "";
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	bool ready;

	setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &most, sizeof(most));
	ready = !connect(fd, (struct sockaddr *)&to, sizeof(to)) &&
		send(fd, get_ready, sizeof(get_ready) - 1, MSG_NOSIGNAL) > 0 &&
		recv(fd, text, sizeof(text) - 1, 0) > 0 &&
		strstr(text, " 200 ");
	close(fd);
	return ready;
}

/* Twice a second; two misses take an entry out of rotation. */
static void router_tick(uint64_t ms)
{
	static uint64_t next_ms;

	if (ms < next_ms)
		return;
	next_ms = ms + 500;
	for (uint32_t i = 0; i < ENTRIES; i++) {
		struct entry *e = &entries[i];
		bool was = e->in_rotation;

		e->misses = is_ready(i) ? 0 : e->misses + 1;
		e->in_rotation = e->misses < (was ? 2 : 1);
		if (e->in_rotation != was)
			note("router: entry %u %s rotation", i + 1,
			     e->in_rotation ? "joins the" : "leaves the");
	}
}

/* Each zone has one entry; without it, the other zone is the nearest. */
static uint32_t route_packet(const struct flow *f)
{
	uint32_t own = f->in_zone_b;

	return entries[own].in_rotation || !entries[!own].in_rotation ? own
								      : !own;
}

/* ---- Clients ---- */

static void client_send(struct flow *f, uint8_t flags, uint32_t seq,
			uint32_t ack, uint16_t len)
{
	struct sockaddr_in to = address(ENTRY_IP + route_packet(f), base);
	struct packet p = { .flags = flags, .seq = seq, .ack = ack,
			    .len = len, .dst = f->vip, .dport = VIP_PORT,
			    .src = CLIENT_IP, .sport = f->port,
			    .echo = flags & F_SYN ? 0 : f->echo };
	uint8_t d[1300];

	sendto(client_fd, d, packet_write(&p, d), 0, (struct sockaddr *)&to,
	       sizeof(to));
}

static void open_flow(struct flow *f, bool in_zone_b, uint64_t ms)
{
	*f = (struct flow){ .port = next_port++,
			    .in_zone_b = in_zone_b,
			    .vip = in_zone_b ? QUICK_VIP : FEED_VIP,
			    .stage = OPENING,
			    .opened_ms = ms,
			    .seq = (uint32_t)random() };
	client_send(f, F_SYN, f->seq, 0, 0);
	f->copies = 1;
	f->next_ms = ms + 200;
}

/* Judged: a reset of an open flow that the flow's endpoint didn't send. */
static void take_reset(struct flow *f, const struct packet *p, uint64_t ms)
{
	bool open = f->stage == IDLE || f->stage == WAITING;

	if (open && (uint32_t)(p->seq - f->ack + 76800) > 153600)
		return;
	if (open && f->at && f->at->alive && !p->sum &&
	    ms > f->at->started_ms + TOUCH_MS && ms < f->opened_ms + 60000) {
		result_broken++;
		note("FLOW: port %u, open for %.1f s at %s of %s, which lives "
		     "since %.1f s, is reset through entry %u",
		     f->port, (double)(ms - f->opened_ms) / 1000, f->at->key,
		     f->at->service, (double)f->at->started_ms / 1000,
		     route_packet(f) + 1);
	} else {
		lost_flows++;
		note("port %u is reset, %s", f->port,
		     open ? "its endpoint has ended" : "not open");
	}
	f->stage = DONE;
}

static uint64_t next_wake_ms(const struct flow *f, uint64_t ms)
{
	if (f->in_zone_b)
		return ms + 100 + (uint64_t)(uniform() * 200);
	return (ms / WAKE_MS + 1) * WAKE_MS + (uint64_t)(uniform() * 10);
}

static void client_take(struct flow *f, const struct packet *p, uint64_t ms)
{
	if (f->stage == FREE || f->stage == DONE)
		return;
	if (p->flags & F_RST) {
		take_reset(f, p, ms);
		return;
	}
	if (p->flags & F_SYN) {
		if (f->stage != OPENING)
			return;
		f->echo = p->echo;
		f->stage = IDLE;
		f->seq++;
		f->ack = p->seq + 1;
		f->next_ms = next_wake_ms(f, ms);
		client_send(f, F_ACK, f->seq, f->ack, 0);
		return;
	}
	f->echo = p->echo;
	if (f->stage != WAITING || !p->len || p->seq != f->ack)
		return;
	f->ack += p->len;
	if (p->ack != f->seq + REQUEST_BYTES || ++f->copies < 2)
		return;
	f->seq += REQUEST_BYTES; /* the second half of the answer */
	client_send(f, F_ACK, f->seq, f->ack, 0);
	answered++;
	f->stage = IDLE;
	f->next_ms = next_wake_ms(f, ms);
}

static void flow_tick(struct flow *f, uint64_t ms)
{
	if (f->at && f->answer_ms && f->answer_ms <= ms) {
		f->answer_ms = 0;
		if (f->at->alive)
			send_answer(f);
	}
	if (f->stage == FREE || f->stage == DONE || ms < f->next_ms)
		return;
	if (f->stage == OPENING && f->copies < 3) {
		client_send(f, F_SYN, f->seq, f->copies, 0);
		f->next_ms = ms + (f->copies++ == 1 ? 400 : 800);
	} else if (f->stage == OPENING) {
		note("port %u: no answer to its opening", f->port);
		lost_flows++;
		f->stage = DONE;
	} else if (f->stage == IDLE) {
		requests++;
		f->stage = WAITING;
		f->copies = 0;
		f->sent_ms = ms;
		f->next_ms = ms + 200;
		client_send(f, F_ACK, f->seq, f->ack, REQUEST_BYTES);
	} else if (ms > f->sent_ms + 2500) {
		note("port %u at %s: the client's deadline passes", f->port,
		     f->at ? f->at->key : "-");
		lost_flows++;
		f->stage = DONE;
	} else {
		client_send(f, F_ACK, f->seq, f->ack, REQUEST_BYTES);
		f->next_ms = ms + 2 * (ms - f->sent_ms);
	}
}

static void clients_tick(uint64_t ms)
{
	uint8_t d[1400];
	ssize_t n;

	while ((n = recv(client_fd, d, sizeof(d), 0)) > 0) {
		struct packet p;
		struct flow *f;

		if (!packet_read(d, n, &p))
			continue;
		f = find_flow(p.dport);
		if (f)
			client_take(f, &p, ms);
	}
	for (uint32_t i = 0; i < FLOWS_MAX; i++)
		flow_tick(&flows[i], ms);
}

/* ---- The scenario ---- */

static void write_config(void)
{
	char text[2048];

	snprintf(text, sizeof(text),
		 "{\"version\":3,\"routes\":[{\"name\":\"r-1\",\"host\":"
		 "\"127.18.0.1\",\"prefix\":\"/%d/\",\"kind\":\"safe\","
		 "\"timeout-ms\":2500,\"target-latency-ms\":250,\"priority\":2,"
		 "\"service\":\"svc-feed\",\"retry-attempts\":2},{\"name\":"
		 "\"r-3\",\"host\":\"127.18.0.3\",\"prefix\":\"/%d/\",\"kind\":"
		 "\"safe\",\"timeout-ms\":2500,\"target-latency-ms\":250,"
		 "\"priority\":2,\"service\":\"svc-quick\",\"retry-attempts\":"
		 "2},{\"name\":"
		 "\"r-2\",\"host\":\"127.18.0.2\",\"prefix\":\"/%d/\",\"kind\":"
		 "\"upload\",\"timeout-ms\":5000,\"target-latency-ms\":500,"
		 "\"priority\":2,\"service\":\"svc-old\",\"retry-attempts\":2}],"
		 "\"services\":[{\"name\":\"svc-feed\",\"health-check-path\":"
		 "\"/health\",\"connection-limit\":2000},{\"name\":\"svc-quick\","
		 "\"health-check-path\":\"/health\",\"connection-limit\":2000},"
		 "{\"name\":\"svc-old\","
		 "\"health-check-path\":\"/health\",\"connection-limit\":2000}],"
		 "\"limits\":{\"idle-timeout-ms\":12000}}",
		 VIP_PORT, VIP_PORT, VIP_PORT);
	store_put("op/config", text, false);
	note("operator: version 3, revision %lu", (unsigned long)revision);
}

static struct endpoint *old_at(uint32_t i)
{
	return &endpoints[FEED + QUICK + i];
}

/* The last heartbeats of the endpoints that crash; with trouble their answers
 * are lost and the store carries them out 5.5 s later. */
static void last_beats(void)
{
	for (uint32_t i = 0; i < CRASH; i++) {
		old_at(i)->next_beat_ms = UINT64_MAX;
		if (trouble)
			old_at(i)->sequence++;
		else
			write_record(old_at(i), true);
	}
	note("%u endpoints of svc-old send a heartbeat%s", CRASH,
	     trouble ? "; the store doesn't answer" : "");
}

static void step(uint64_t ms)
{
	static const uint64_t at_ms[] = { 500,   6000,  6050,  8500,  9000,
					  11500, 12000, 20000, 27000 };
	static uint32_t phase;
	static uint32_t n_a, n_b;

	if (n_a < FLOWS_A && ms > 9000 + n_a * 100 && entries[0].in_rotation)
		open_flow(&flows[n_a++], false, ms);
	if (n_b < FLOWS_B && ms > 13000 + n_b * 100 && entries[1].in_rotation)
		open_flow(&flows[FLOWS_A + n_b++], true, ms);
	if (phase == 7 + 1 && entries[0].pid > 0 && ms < 26000 &&
	    waitpid(entries[0].pid, NULL, WNOHANG) == entries[0].pid) {
		note("entry 1 has ended");
		start_entry(0);
	}
	if (phase == 9 || ms < at_ms[phase])
		return;
	switch (phase++) {
	case 0:
		start_entry(0);
		break;
	case 1:
		last_beats();
		break;
	case 2:
		for (uint32_t i = 0; i < CRASH; i++)
			crash_endpoint(old_at(i));
		break;
	case 3:
		for (uint32_t i = 0; i < CRASH; i++) {
			struct endpoint *e =
				add_endpoint("svc-feed", old_at(i)->ip);

			note("endpoint %s of svc-feed starts at 127.0.4.%u",
			     e->key, e->ip & 255);
		}
		break;
	case 5:
		for (uint32_t i = 0; trouble && i < CRASH; i++)
			write_record(old_at(i), true);
		if (trouble)
			note("store: the late heartbeats are carried out, "
			     "revision %lu",
			     (unsigned long)revision);
		break;
	case 6:
		start_entry(1);
		break;
	case 7:
		note("entry 1 gets SIGTERM");
		kill(entries[0].pid, SIGTERM);
		break;
	}
}

static void end_entries(void)
{
	for (uint32_t i = 0; i < ENTRIES; i++)
		if (entries[i].pid > 0) {
			kill(entries[i].pid, SIGKILL);
			waitpid(entries[i].pid, NULL, 0);
		}
}

static bool open_sockets(void)
{
	int fds[ENTRIES * 4 + FEED + QUICK + OLD], n = 0;
	bool all;

	base = (uint16_t)(12000 + random() % 18000);
	for (uint32_t i = 0; i < ENTRIES * 4; i++)
		fds[n++] = bound(i % 4 % 3 ? SOCK_STREAM : SOCK_DGRAM,
				 ENTRY_IP + i / 4, (uint16_t)(base + i % 4));
	for (uint32_t i = 0; i < FEED + QUICK + OLD; i++)
		fds[n++] = bound(SOCK_STREAM, ENDPOINT_IP + i,
				 (uint16_t)(base + 10));
	store_fd = bound(SOCK_STREAM, STORE_IP, (uint16_t)(base + 4));
	client_fd = bound(SOCK_DGRAM, CLIENT_IP, base);
	all = store_fd >= 0 && client_fd >= 0;
	while (n-- > 0) {
		all &= fds[n] >= 0;
		if (fds[n] >= 0)
			close(fds[n]);
	}
	return all;
}

int main(int argc, char **argv)
{
	char path[600];
	uint32_t tries = 0;

	if (argc != 3)
		return 2;
	snprintf(folder, sizeof(folder), "%s", argv[1]);
	trouble = atoi(argv[2]);
	snprintf(path, sizeof(path), "%s/record.txt", folder);
	record = fopen(path, "w");
	if (!record)
		return 2;
	start_ms = now_ms();
	srandom((unsigned int)time(NULL) * 7919u + (unsigned int)getpid() * 104729u);
	strcpy(tmp, "/tmp/late-XXXXXX");
	while (tries++ < 50 && !open_sockets())
		;
	if (tries > 50 || !mkdtemp(tmp))
		return 2;
	for (uint32_t i = 0; i < 64; i++)
		connections[i].fd = -1;
	write_config();
	for (uint32_t i = 0; i < FEED + QUICK + OLD; i++)
		add_endpoint(i < FEED	      ? "svc-feed"
			     : i < FEED + QUICK ? "svc-quick"
						: "svc-old",
			     ENDPOINT_IP + i);
	for (uint64_t ms = now_ms(); ms < 27500; ms = now_ms()) {
		step(ms);
		store_tick(ms);
		for (uint32_t i = 0; i < n_endpoints; i++)
			endpoint_tick(&endpoints[i], ms);
		clients_tick(ms);
		router_tick(ms);
		usleep(500);
	}
	end_entries();
	for (uint32_t i = 0; i < ENTRIES; i++) {
		snprintf(path, sizeof(path), "%s/%u.conf", tmp, i);
		unlink(path);
	}
	rmdir(tmp);
	note("requests %d, answered %d, flows lost otherwise %d; rule broken "
	     "%d times",
	     requests, answered, lost_flows, result_broken);
	return answered < 100 ? 2 : result_broken > 0;
}
