/*
 * Connection attempts to targets that left a packet unanswered. Nothing is
 * asked: the handshake alone tells a live process from an ended one, and takes
 * no slot of the target.
 */
#include "daemon.h"
#include "probe_outcome.h"

#include <netinet/in.h>
#include <stdlib.h>

static void on_closed(uv_handle_t *handle)
{
	free(handle->data);
}

static void give_back(struct packet_daemon *d, struct probe *p)
{
	for (uint32_t i = 0; i < PROBES_MAX; i++)
		if (d->probes[i] == p)
			d->probes[i] = NULL;
	p->judged = true;
	uv_close((uv_handle_t *)&p->tcp, on_closed);
}

static void tell(struct packet_daemon *d, const struct incarnation *who,
		 enum probe_outcome outcome, uint64_t since_ns)
{
	d->counters.probes_refused += outcome == PROBE_REFUSED;
	d->counters.probes_silent += outcome == PROBE_SILENT;
	node_probe_ended(d->node, who, outcome, since_ns, daemon_turn(d));
	clients_pace(d);
}

static void judge(struct probe *p, enum probe_outcome outcome)
{
	struct packet_daemon *d = p->daemon;
	struct incarnation who = p->who;
	uint64_t since_ns = p->since_ns;

	if (p->judged)
		return;
	give_back(d, p);
	tell(d, &who, outcome, since_ns);
}

/* It takes too long: silent so far, and for good when it is over. */
static void overdue(struct packet_daemon *d, struct probe *p)
{
	struct incarnation who = p->who;

	if (!p->late) {
		p->late = true;
		p->deadline_ns =
			p->since_ns + d->settings.policy.probe_wait_max_ns;
		tell(d, &who, PROBE_SILENT, p->since_ns);
	} else {
		give_back(d, p);
	}
}

static void on_connect(uv_connect_t *connect, int status)
{
	struct probe *p = connect->data;

	if (status != UV_ECANCELED)
		judge(p, probe_outcome_from_status(status));
}

static uint32_t free_place(const struct packet_daemon *d)
{
	uint32_t i = 0;

	while (i < PROBES_MAX && d->probes[i])
		i++;
	return i;
}

/* Of those that were told silent nobody waits for the answer. */
static uint32_t place_for_one(struct packet_daemon *d)
{
	for (uint32_t i = 0; free_place(d) == PROBES_MAX && i < PROBES_MAX; i++)
		if (d->probes[i]->late)
			give_back(d, d->probes[i]);
	return free_place(d);
}

/**
 * probes_start() - try to connect to a target
 * @ctx: process
 * @t: target
 */
void probes_start(void *ctx, const struct target *t)
{
	struct packet_daemon *d = ctx;
	uint32_t place = place_for_one(d);
	struct probe *p = place < PROBES_MAX ? calloc(1, sizeof(*p)) : NULL;
	struct sockaddr_in to = {
		.sin_family = AF_INET,
		.sin_port = htons(ADDR_PORT(t->advertised.addr)),
		.sin_addr.s_addr = htonl(ADDR_IP(t->advertised.addr)),
	};
	struct incarnation who = target_incarnation(t);
	int err;

	if (!p) {
		node_probe_ended(d->node, &who, PROBE_INCONCLUSIVE, d->now_ns,
				 d->now_ns);
		return;
	}
	d->counters.probes++;
	d->probes[place] = p;
	p->daemon = d;
	p->who = who;
	p->since_ns = uv_hrtime();
	p->deadline_ns =
		p->since_ns + path_probe_timeout_ns(d->node->path, p->since_ns);
	uv_tcp_init(d->loop, &p->tcp);
	p->tcp.data = p;
	p->connect.data = p;
	err = uv_tcp_connect(&p->connect, &p->tcp, (struct sockaddr *)&to,
			     on_connect);
	if (err)
		judge(p, probe_outcome_from_status(err));
}

/**
 * probes_tick() - give up those that take too long
 * @d: process
 * @now_ns: time
 */
void probes_tick(struct packet_daemon *d, uint64_t now_ns)
{
	for (uint32_t i = 0; i < PROBES_MAX; i++)
		if (d->probes[i] && now_ns >= d->probes[i]->deadline_ns)
			overdue(d, d->probes[i]);
}

/**
 * probes_close() - give up all
 * @d: process
 */
void probes_close(struct packet_daemon *d)
{
	for (uint32_t i = 0; i < PROBES_MAX; i++)
		if (d->probes[i])
			give_back(d, d->probes[i]);
}
