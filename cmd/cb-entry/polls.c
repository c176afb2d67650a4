/*
 * Asks targets for their load, a few at a time and from a socket of its own,
 * so that these answers can't be taken for a request's.
 */
#include "coap_wire.h"
#include "daemon.h"
#include "log.h"

#include <stdlib.h>

#define STEP_MS 50
#define POLL_MAX_BYTES 64
#define MILLI 1000
/*
 * Bounds that hold for any fleet: what one entry sends, and what one target
 * gets from all entries of its data centre together. Past them each target is
 * asked less often; answers carry the load too.
 */
#define ENTRY_POLLS_PER_S 40
#define TARGET_POLLS_PER_S 10

/* Targets of the configuration, sorted, and whose turn it is. */
struct load_polls {
	uv_udp_t socket;
	uv_timer_t timer;
	uint64_t *targets;
	uint32_t n;
	uint32_t next;
	uint32_t due_milli;
	uint16_t id;
};

static void received(uv_udp_t *socket, ssize_t n, const uv_buf_t *buf,
		     const struct sockaddr *from, unsigned int flags)
{
	struct daemon *d = socket->loop->data;
	struct load_report report;
	uint64_t now_ns;

	(void)flags;
	if (n <= 0 || !from)
		return;
	if (!coap_wire_parse_load((const uint8_t *)buf->base, (uint32_t)n,
				  &report)) {
		d->dropped[DROP_TARGET_FORMAT]++;
		return;
	}
	now_ns = daemon_catch_up(d);
	entry_load_report(d->entry, addr_of(from), &report, now_ns);
}

static uint32_t larger(uint32_t a, uint32_t b)
{
	return a > b ? a : b;
}

/* Seconds between two polls of one target. */
static uint32_t period_s(const struct daemon *d)
{
	const struct member *all;
	uint32_t n_entries = entry_members(d->entry, &all);
	uint32_t by_entry = d->polls->n / ENTRY_POLLS_PER_S;
	uint32_t by_target = n_entries / TARGET_POLLS_PER_S;

	return larger(1, larger(by_entry, by_target));
}

static void poll_one(struct daemon *d, struct load_polls *p)
{
	uint8_t buf[POLL_MAX_BYTES];
	int32_t n = coap_wire_load_poll(p->id++, buf, sizeof(buf));

	if (p->next >= p->n)
		p->next = 0;
	if (n > 0 &&
	    !datagram_send(&p->socket, p->targets[p->next], buf, (uint32_t)n))
		d->dropped[DROP_SEND_TARGET]++;
	p->next++;
}

static void step(uv_timer_t *timer)
{
	struct daemon *d = timer->loop->data;
	struct load_polls *p = d->polls;

	if (!p->n)
		return;
	p->due_milli += p->n * STEP_MS / period_s(d);
	for (; p->due_milli >= MILLI; p->due_milli -= MILLI)
		poll_one(d, p);
}

/**
 * polls_open() - open the socket of the polls
 * @d: daemon
 *
 * Return: 0 or a negative error number.
 */
int polls_open(struct daemon *d)
{
	uint64_t source = ADDR(d->settings.target_source_ip, 0);
	char text[32];
	int err;

	d->polls = calloc(1, sizeof(*d->polls));
	if (!d->polls)
		return UV_ENOMEM;
	err = datagram_open(d, &d->polls->socket, source, received);
	if (err) {
		log_line(LOG_ERROR, "polls.bind",
			 addr_text(source, text, sizeof(text)), "%s",
			 uv_strerror(err));
		return err;
	}
	uv_timer_init(d->loop, &d->polls->timer);
	return uv_timer_start(&d->polls->timer, step, STEP_MS, STEP_MS);
}

static uint32_t count_targets(const struct config *c)
{
	uint32_t n = 0;

	for (uint32_t i = 0; i < c->n_accounts; i++) {
		const struct account_conf *a = &c->accounts[i];

		for (uint32_t k = 0; k < a->n_services; k++)
			n += a->services[k].n_targets;
	}
	return n;
}

static void list_targets(const struct config *c, uint64_t *to)
{
	for (uint32_t i = 0; i < c->n_accounts; i++) {
		const struct account_conf *a = &c->accounts[i];

		for (uint32_t k = 0; k < a->n_services; k++) {
			const struct service_conf *s = &a->services[k];

			for (uint32_t t = 0; t < s->n_targets; t++)
				*to++ = s->targets[t].addr;
		}
	}
}

static int compare(const void *a, const void *b)
{
	uint64_t x = *(const uint64_t *)a;
	uint64_t y = *(const uint64_t *)b;

	return x < y ? -1 : x > y;
}

/* A target of two services is asked once. */
static uint32_t unique(uint64_t *list, uint32_t n)
{
	uint32_t kept = 0;

	qsort(list, n, sizeof(*list), compare);
	for (uint32_t i = 0; i < n; i++) {
		if (!kept || list[kept - 1] != list[i])
			list[kept++] = list[i];
	}
	return kept;
}

/**
 * polls_config() - poll the targets of the configuration
 * @d: daemon
 */
void polls_config(struct daemon *d)
{
	uint32_t n = count_targets(&d->config);
	uint64_t *list = calloc(n + 1, sizeof(*list));

	if (!list)
		return;
	list_targets(&d->config, list);
	free(d->polls->targets);
	d->polls->targets = list;
	d->polls->n = unique(list, n);
	/* Entries that start together should not ask in step. */
	d->polls->next = d->polls->n ? d->incarnation % d->polls->n : 0;
}

/**
 * polls_close() - free the polls, once the loop has closed their handles
 * @d: daemon
 */
void polls_close(struct daemon *d)
{
	if (d->polls)
		free(d->polls->targets);
	free(d->polls);
	d->polls = NULL;
}
