/*
 * TCP connections to targets that left a packet unanswered. No request is sent:
 * the handshake alone distinguishes a running process from one that has ended,
 * and occupies no slot of the target.
 */
#include "daemon.h"
#include "probe_outcome.h"

#include <errno.h>
#include <netinet/in.h>
#include <stdlib.h>

static void on_closed(uv_handle_t *handle)
{
	free(handle->data);
}

static void release_probe(struct packet_daemon *d, struct probe *p)
{
	for (uint32_t i = 0; i < PROBES_MAX; i++)
		if (d->probes[i] == p)
			d->probes[i] = NULL;
	p->closing = true;
	uv_close((uv_handle_t *)&p->tcp, on_closed);
}

static void report_outcome(struct packet_daemon *d,
			   const struct incarnation *incarnation,
			   enum probe_outcome outcome, uint64_t start_ns)
{
	d->counters.probes_refused += outcome == PROBE_REFUSED;
	d->counters.probes_silent += outcome == PROBE_SILENT;
	node_probe_ended(d->node, incarnation, outcome, start_ns,
			 daemon_begin_event(d));
	clients_send_paced(d);
}

static void finish_probe(struct probe *p, enum probe_outcome outcome)
{
	struct packet_daemon *d = p->daemon;
	struct incarnation incarnation = p->incarnation;
	uint64_t start_ns = p->start_ns;

	if (p->closing)
		return;
	release_probe(d, p);
	report_outcome(d, &incarnation, outcome, start_ns);
}

/*
 * The first timeout reports the target silent, the second ends the probe. An
 * outcome between them is still reported.
 */
static void handle_timeout(struct packet_daemon *d, struct probe *p)
{
	struct incarnation incarnation = p->incarnation;

	if (!p->reported_silent) {
		p->reported_silent = true;
		p->deadline_ns =
			p->start_ns + d->settings.policy.probe_wait_max_ns;
		report_outcome(d, &incarnation, PROBE_SILENT, p->start_ns);
	} else {
		release_probe(d, p);
	}
}

/*
 * The network may refuse an attempt at once, for example without a route to the
 * target. It is reported as silent when its time is over: reported now, the next
 * attempt would follow at once, and the attempts would fill the processor.
 */
static void note_unreachable(struct probe *p)
{
	p->daemon->counters.probes_unreachable++;
}

static void on_connect(uv_connect_t *connect, int status)
{
	struct probe *p = connect->data;
	enum probe_outcome outcome = probe_outcome_from_status(status);

	if (status == UV_ECANCELED)
		return;
	if (outcome == PROBE_SILENT)
		note_unreachable(p);
	else
		finish_probe(p, outcome);
}

static uint32_t find_free_slot(const struct packet_daemon *d)
{
	uint32_t i = 0;

	while (i < PROBES_MAX && d->probes[i])
		i++;
	return i;
}

/*
 * Ends probes that have been reported silent until a slot is free: nothing waits
 * for their outcome. Return: free slot, PROBES_MAX when there is none.
 */
static uint32_t make_free_slot(struct packet_daemon *d)
{
	for (uint32_t i = 0; find_free_slot(d) == PROBES_MAX && i < PROBES_MAX;
	     i++)
		if (d->probes[i]->reported_silent)
			release_probe(d, d->probes[i]);
	return find_free_slot(d);
}

/**
 * probes_start() - start a connection to a target
 * @ctx: struct packet_daemon
 * @target: target
 *
 * Return: 0, and the outcome goes to node_probe_ended() later; -EBUSY when no
 * slot is free, or another negative error when this VM lacks resources for the
 * attempt.
 */
int probes_start(void *ctx, const struct target *target)
{
	struct packet_daemon *d = ctx;
	uint32_t slot = make_free_slot(d);
	struct probe *p = slot < PROBES_MAX ? calloc(1, sizeof(*p)) : NULL;
	struct sockaddr_in to = {
		.sin_family = AF_INET,
		.sin_port = htons(ADDR_PORT(target->advertised.addr)),
		.sin_addr.s_addr = htonl(ADDR_IP(target->advertised.addr)),
	};
	int err;

	if (!p)
		return slot < PROBES_MAX ? -ENOMEM : -EBUSY;
	d->counters.probes++;
	d->probes[slot] = p;
	p->daemon = d;
	p->incarnation = target_incarnation(target);
	p->start_ns = uv_hrtime();
	p->deadline_ns =
		p->start_ns + path_probe_timeout_ns(d->node->path, p->start_ns);
	uv_tcp_init(d->loop, &p->tcp);
	p->tcp.data = p;
	p->connect.data = p;
	err = uv_tcp_connect(&p->connect, &p->tcp, (struct sockaddr *)&to,
			     on_connect);
	if (!err)
		return 0;
	if (probe_outcome_from_status(err) == PROBE_SILENT) {
		note_unreachable(p);
		return 0;
	}
	release_probe(d, p);
	return err;
}

/**
 * probes_tick() - handle probes that are past their deadline
 * @d: process
 * @now_ns: current time
 */
void probes_tick(struct packet_daemon *d, uint64_t now_ns)
{
	for (uint32_t i = 0; i < PROBES_MAX; i++)
		if (d->probes[i] && now_ns >= d->probes[i]->deadline_ns)
			handle_timeout(d, d->probes[i]);
}

/**
 * probes_close() - end all probes without reporting them
 * @d: process
 */
void probes_close(struct packet_daemon *d)
{
	for (uint32_t i = 0; i < PROBES_MAX; i++)
		if (d->probes[i])
			release_probe(d, d->probes[i]);
}
