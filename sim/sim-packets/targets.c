/* Targets: slots, a bounded queue, open flows, draining and failures. */
#include "world_state.h"

#include <stdlib.h>
#include <string.h>

#define DRAIN_NS (4 * NS_PER_S)
/* An error takes ERROR_NS; a slow target takes SLOW_FACTOR times as long. */
#define ERROR_NS (5 * NS_PER_MS)
#define SLOW_FACTOR 7
#define PERCENT 100

void targets_report_change(struct world *w, uint32_t target)
{
	world_record_slots(w, w->targets[target].service);
	if (w->conf.driver.target_changed)
		w->conf.driver.target_changed(w->conf.driver.ctx, w, target);
}

static const struct site_service *service_of(const struct world *w,
					     const struct sim_target *t)
{
	return &w->conf.site.services[t->service];
}

static void on_warm(struct world *w, const struct event *e)
{
	struct sim_target *t = &w->targets[e->arg0];

	if (t->alive && w->now_ns >= t->cold_until_ns &&
	    w->now_ns >= w->store_down_until_ns)
		store_publish_target(w, t);
}

/* Mark a target as cold, and publish its record again when it is warm. */
void targets_start_cold(struct world *w, uint32_t target)
{
	struct sim_target *t = &w->targets[target];
	uint64_t cold_ns = service_of(w, t)->cold_ns;

	t->cold_until_ns = w->now_ns + cold_ns;
	world_schedule(w, cold_ns, on_warm, target, 0, 0);
}

uint32_t targets_add(struct world *w, uint32_t service, uint32_t zone,
		     uint64_t addr)
{
	uint32_t i = w->n_targets;
	struct sim_target *t = &w->targets[i];
	const struct site_service *s = &w->conf.site.services[service];

	if (i == TARGETS_MAX)
		abort(); /* bug in the emulator */
	w->n_targets++;
	*t = (struct sim_target){
		.service = service,
		.zone = zone,
		.alive = true,
		.advertised = {
			.id = ++w->last_id,
			.addr = addr ? addr : ADDR(TARGET_IP + i, TARGET_PORT),
			.slots = (uint16_t)s->slots,
			.started_ms = w->now_ns / NS_PER_MS,
		},
	};
	if (w->start_ns) /* the initial targets are warm */
		targets_start_cold(w, i);
	store_publish_target(w, t);
	targets_report_change(w, i);
	return i;
}

/* Index of the target that currently has an address, UINT32_MAX for none. */
uint32_t targets_find_by_addr(const struct world *w, uint64_t addr)
{
	uint32_t i = ADDR_IP(addr) - TARGET_IP;

	/* A later target may have taken over the address of an earlier one. */
	for (uint32_t k = w->n_targets; k-- > i + 1;)
		if (w->targets[k].advertised.addr == addr)
			return k;
	return i < w->n_targets ? i : UINT32_MAX;
}

static struct sim_flow *find_flow(struct sim_target *t, uint32_t user,
				  uint16_t port)
{
	for (uint32_t i = 0; i < t->n_flows; i++)
		if (t->flows[i].user == user && t->flows[i].port == port)
			return &t->flows[i];
	return NULL;
}

static bool add_flow(const struct world *w, struct sim_target *t, uint32_t user,
		     uint16_t port)
{
	if (t->n_flows >= service_of(w, t)->connections)
		return false;
	if (t->n_flows == t->flows_capacity) {
		uint32_t capacity =
			t->flows_capacity ? 2 * t->flows_capacity : 64;
		struct sim_flow *grow_list =
			realloc(t->flows, capacity * sizeof(*grow_list));

		if (!grow_list)
			abort();
		t->flows = grow_list;
		t->flows_capacity = capacity;
	}
	t->flows[t->n_flows++] =
		(struct sim_flow){ .user = user, .port = port };
	return true;
}

static void drop_flow(struct sim_target *t, uint32_t user, uint16_t port)
{
	struct sim_flow *f = find_flow(t, user, port);

	if (f)
		*f = t->flows[--t->n_flows];
}

/* Drop the state of a process that ended. */
void targets_clear(struct sim_target *t)
{
	t->n_flows = 0;
	t->n_queue = 0;
	t->busy = 0;
}

static void begin_request(struct world *w, uint32_t target,
			  const struct sim_request *r);

static uint64_t flow_id(uint32_t user, uint16_t port)
{
	return (uint64_t)user << 16 | port;
}

static void on_answer(struct world *w, const struct event *e)
{
	users_answered(w, (uint32_t)(e->arg0 >> 16), (uint16_t)e->arg0, e->arg1,
		       (enum sim_answer)e->arg2);
}

static void answer(struct world *w, const struct sim_request *r,
		   enum sim_answer answer)
{
	world_schedule(w, w->conf.site.client_delay_ns, on_answer,
		       flow_id(r->user, r->port), r->request_number, answer);
}

static enum target_mode current_mode(const struct world *w,
				     const struct sim_target *t)
{
	return w->now_ns < t->mode_until_ns ? t->mode : TARGET_WORKS;
}

static void on_unknown_flow(struct world *w, const struct event *e)
{
	users_flow_unknown(w, (uint32_t)(e->arg0 >> 16), (uint16_t)e->arg0);
}

/* A draining target closes each flow after its next answer, except a download,
 * which the client closes when it has received all of it. */
static void on_closed(struct world *w, const struct event *e)
{
	struct sim_user *u = &w->users[e->arg0 >> 16];

	if (u->port == (uint16_t)e->arg0 && !u->has_request)
		u->state = USER_IDLE;
}

static void on_done(struct world *w, const struct event *e)
{
	struct sim_target *t = &w->targets[(uint32_t)e->arg0];
	struct sim_request done = { (uint32_t)(e->arg1 >> 16),
				    (uint16_t)e->arg1, e->arg2, 0 };
	struct sim_request next;

	if (!t->alive || t->process != e->arg0 >> 32)
		return;
	t->busy--;
	answer(w, &done,
	       current_mode(w, t) == TARGET_FAILS ? ANSWER_FAILED
						  : ANSWER_DONE);
	if (t->leaving_since_ns &&
	    w->classes[w->users[done.user].class].kind != ROUTE_DOWNLOAD) {
		drop_flow(t, done.user, done.port);
		world_schedule(w, w->conf.site.client_delay_ns, on_closed,
			       e->arg1, 0, 0);
	}
	if (!t->n_queue)
		return;
	next = t->queue[0];
	memmove(t->queue, t->queue + 1, --t->n_queue * sizeof(t->queue[0]));
	begin_request(w, (uint32_t)e->arg0, &next);
}

static uint64_t run_time_ns(const struct world *w, const struct sim_target *t,
			    uint64_t work_ns)
{
	switch (current_mode(w, t)) {
	case TARGET_HANGS:
		return work_ns + t->mode_until_ns - w->now_ns;
	case TARGET_FAILS:
		return ERROR_NS;
	case TARGET_SLOW:
		return work_ns * SLOW_FACTOR;
	case TARGET_RESETS: /* of requests that started before */
	case TARGET_WORKS:
		break;
	}
	if (w->now_ns < t->cold_until_ns)
		return work_ns * service_of(w, t)->cold_percent / PERCENT;
	return work_ns;
}

static void begin_request(struct world *w, uint32_t target,
			  const struct sim_request *r)
{
	struct sim_target *t = &w->targets[target];
	struct sim_user *u = &w->users[r->user];

	t->busy++;
	t->requests_run++;
	if (u->request_number == r->request_number &&
	    !route_kind_is_idempotent(w->classes[u->class].kind) &&
	    ++u->runs > 1)
		w->report.doubled++;
	world_schedule(w, run_time_ns(w, t, r->work_ns), on_done,
		       (uint64_t)t->process << 32 | target,
		       flow_id(r->user, r->port), r->request_number);
}

static void accept_request(struct world *w, uint32_t target,
			   const struct sim_request *r)
{
	struct sim_target *t = &w->targets[target];
	const struct site_service *s = service_of(w, t);

	if (t->busy < s->slots) {
		begin_request(w, target, r);
	} else if (t->n_queue < s->queue && t->n_queue < QUEUE_MAX) {
		t->queue[t->n_queue++] = *r;
	} else {
		w->report.queue_full++;
		answer(w, r, ANSWER_REFUSED);
	}
}

static void on_opened(struct world *w, const struct event *e)
{
	users_opened(w, (uint32_t)(e->arg0 >> 16), (uint16_t)e->arg0,
		     (uint32_t)e->arg1, (uint32_t)e->arg2);
}

/* Count a new flow, and check the rate limit of a cold target. */
static void check_cold_rate(struct world *w, struct sim_target *t)
{
	double per_s = service_of(w, t)->cold_per_s;
	double limit = per_s * COLD_OVERRUN + COLD_SLACK;
	uint32_t recent = 0;

	t->opened_ns[t->n_opened++ % COLD_WINDOW] = w->now_ns;
	if (per_s <= 0 || w->now_ns >= t->cold_until_ns)
		return;
	/* Entries learn of a restart under a known id only by its publication. */
	if (t->restarted_ns && w->now_ns < t->restarted_ns + EVACUATE_MAX_NS)
		return;
	for (uint32_t i = 0; i < COLD_WINDOW && i < t->n_opened; i++)
		recent += t->opened_ns[i] + NS_PER_S > w->now_ns &&
			  t->opened_ns[i] + service_of(w, t)->cold_ns >=
				  t->cold_until_ns;
	w->report.overrun += recent > limit;
}

static bool may_serve(const struct site_class *c, uint32_t service)
{
	return c->service == service ||
	       (c->other_percent && c->other_service == service);
}

/* Check the rules for a flow that opens at a target. */
static void check_rules(struct world *w, const struct sim_target *t,
			uint32_t entry, const struct sim_user *u)
{
	const struct sim_entry *e = &w->entries[entry];
	bool is_undisturbed = w->now_ns > e->disturbed_ns + SETTLE_NS &&
			      w->now_ns > w->store_disturbed_ns + SETTLE_NS;

	if (!may_serve(&w->classes[u->class], t->service))
		w->report.misrouted++;
	if (is_undisturbed && t->leaving_since_ns &&
	    w->now_ns > t->leaving_since_ns + PUBLISH_MAX_NS)
		w->report.late_drain++;
	if (is_undisturbed && w->evacuated[t->zone] &&
	    w->now_ns > w->evacuated_ns[t->zone] + EVACUATE_MAX_NS)
		w->report.evacuated++;
	if (is_undisturbed && u->class == extra_route_index(w) &&
	    !w->extra_route && w->extra_route_changed_ns &&
	    w->now_ns > w->extra_route_changed_ns + PUBLISH_MAX_NS)
		w->report.stale++;
}

static void on_acked(struct world *w, const struct event *e)
{
	users_acked(w, (uint32_t)(e->arg0 >> 16), (uint16_t)e->arg0, e->arg1,
		    (uint32_t)e->arg2);
}

static uint32_t contiguous_packets(const struct sim_flow *f)
{
	uint32_t n = 0;

	while (n < SEGMENTS_MAX && f->received[n / 64] >> (n % 64) & 1)
		n++;
	return n;
}

/* Handle a segment; the last missing one completes the request. */
static void receive_segment(struct world *w, uint32_t target,
			    struct sim_flow *f, const struct sim_packet *k)
{
	const struct sim_user *u = &w->users[k->user];
	uint32_t i = (k->seq - u->request_seq) / SEGMENT_BYTES;

	/* The user has abandoned this flow, and its request ended with it. */
	if (u->port != k->port)
		return;
	if (f->request_number != u->request_number)
		*f = (struct sim_flow){ .user = k->user,
					.port = k->port,
					.request_number = u->request_number };
	if (i >= u->segments || f->received[i / 64] >> (i % 64) & 1)
		return;
	f->received[i / 64] |= 1ULL << (i % 64);
	f->n_received++;
	if (f->n_received % 2 == 0 || f->n_received == u->segments)
		world_schedule(w, w->conf.site.client_delay_ns, on_acked,
			       flow_id(k->user, k->port), f->request_number,
			       contiguous_packets(f));
	if (f->n_received < u->segments || f->is_complete)
		return;
	f->is_complete = true;
	accept_request(w, target,
		       &(struct sim_request){ k->user, k->port,
					      f->request_number,
					      u->spec.work_ns });
}

/* Handle a client's packet. */
void targets_receive(struct world *w, uint32_t target, uint32_t entry,
		     const struct sim_packet *k)
{
	struct sim_target *t = &w->targets[target];
	struct sim_flow *f = find_flow(t, k->user, k->port);

	if (!t->alive)
		return;
	if (k->flags & PACKET_SYN) {
		check_rules(w, t, entry, &w->users[k->user]);
		if (!f)
			check_cold_rate(w, t);
		if (f || add_flow(w, t, k->user, k->port))
			world_schedule(w, w->conf.site.client_delay_ns,
				       on_opened, flow_id(k->user, k->port),
				       target, target_cookie(t->advertised.id));
	} else if (k->flags & PACKET_FIN) {
		drop_flow(t, k->user, k->port);
	} else if (!f || current_mode(w, t) == TARGET_RESETS) {
		drop_flow(t, k->user, k->port);
		world_schedule(w, w->conf.site.client_delay_ns, on_unknown_flow,
			       flow_id(k->user, k->port), 0, 0);
	} else if (k->size_bytes) {
		receive_segment(w, target, f, k);
	}
}

/*
 * Close idle flows whose client can't retry a request: it has to know before its
 * next one that the flow is gone. Clients with other requests learn it from the
 * reset of the next one, and retry.
 */
void targets_close_idle_unsafe(struct world *w, const struct sim_target *t)
{
	for (uint32_t i = 0; i < t->n_flows; i++) {
		const struct sim_flow *f = &t->flows[i];
		const struct site_class *c =
			&w->classes[w->users[f->user].class];

		if (c->long_flows && !route_kind_is_idempotent(c->kind))
			world_schedule(w, w->conf.site.client_delay_ns,
				       on_closed, flow_id(f->user, f->port), 0,
				       0);
	}
}

/* End a target's process, and with @vm_down its VM too. */
void targets_end(struct world *w, uint32_t target, bool vm_down)
{
	struct sim_target *t = &w->targets[target];

	t->alive = false;
	t->vm_down = vm_down;
	if (!vm_down)
		targets_close_idle_unsafe(w, t);
	targets_clear(t);
	t->disturbed_ns = w->now_ns;
	targets_report_change(w, target);
}

static void on_left(struct world *w, const struct event *e)
{
	struct sim_target *t = &w->targets[e->arg0];

	if (!t->alive)
		return;
	targets_end(w, (uint32_t)e->arg0, false);
	store_delete_target(w, t);
}

static void on_release(struct world *w, const struct event *e)
{
	world_release_target(w, (uint32_t)e->arg0);
}

static uint32_t configured_targets(const struct world *w, uint32_t service)
{
	uint32_t n = 0;

	for (uint32_t z = 0; z < w->conf.site.n_zones; z++)
		n += w->conf.site.services[service].targets[z];
	return n;
}

/* Killed targets aren't replaced, so half of a service has to survive. */
static bool may_kill(const struct world *w, uint32_t target)
{
	uint32_t alive = 0;

	for (uint32_t i = 0; i < w->n_targets; i++)
		alive += w->targets[i].alive &&
			 w->targets[i].service == w->targets[target].service;
	return w->targets[target].alive &&
	       alive * 2 > configured_targets(w, w->targets[target].service);
}

/**
 * world_release_target() - start a replacement of a target and drain it
 * @w: emulator
 * @target: index of the target; nothing happens when it is dead or leaving
 */
void world_release_target(struct world *w, uint32_t target)
{
	struct sim_target *t = &w->targets[target];

	if (!t->alive || t->leaving_since_ns)
		return;
	/* A target leaves only after the store has accepted its record. */
	if (w->now_ns < w->store_down_until_ns) {
		world_schedule(w, w->store_down_until_ns - w->now_ns,
			       on_release, target, 0, 0);
		return;
	}
	targets_add(w, t->service, t->zone, 0);
	t->advertised.leaving = true;
	t->leaving_since_ns = w->now_ns;
	store_publish_target(w, t);
	world_schedule(w, DRAIN_NS, on_left, target, 0, 0);
}

static void on_expire(struct world *w, const struct event *e)
{
	if (!w->targets[e->arg0].alive)
		store_delete_target(w, &w->targets[e->arg0]);
}

/**
 * world_kill_target() - end a target without draining it
 * @w: emulator
 * @target: index of the target; spared if too few of its service are left
 * @vm_down: its VM fails too, so that connections to it time out
 */
void world_kill_target(struct world *w, uint32_t target, bool vm_down)
{
	if (!may_kill(w, target))
		return;
	targets_end(w, target, vm_down);
	world_schedule(w, 3 * NS_PER_S, on_expire, target, 0, 0);
}

/* Reset all flows; the answers to requests in progress are lost with them. */
static void reset_flows(struct world *w, uint32_t target)
{
	struct sim_target *t = &w->targets[target];

	for (uint32_t i = 0; i < t->n_flows; i++)
		world_schedule(w, w->conf.site.client_delay_ns, on_unknown_flow,
			       flow_id(t->flows[i].user, t->flows[i].port), 0,
			       0);
	t->n_flows = 0;
	t->n_queue = 0;
}

/**
 * world_fail_target() - make a target open flows but fail, ignore, slow down or
 *	reset their requests
 * @w: emulator
 * @target: index of the target
 * @mode: what happens to the requests
 * @ns: duration
 */
void world_fail_target(struct world *w, uint32_t target, enum target_mode mode,
		       uint64_t ns)
{
	w->targets[target].mode = mode;
	w->targets[target].mode_until_ns = w->now_ns + ns;
	if (mode == TARGET_RESETS)
		reset_flows(w, target);
}

static void on_reuse(struct world *w, const struct event *e)
{
	const struct sim_target *t = &w->targets[e->arg0];

	targets_add(w, SERVICE_OTHER, t->zone, t->advertised.addr);
}

/**
 * world_reuse_address() - kill a target and give its address to a target of
 *	another service
 * @w: emulator
 * @target: index of the target; spared if too few of its service are left
 */
void world_reuse_address(struct world *w, uint32_t target)
{
	if (!may_kill(w, target))
		return;
	world_kill_target(w, target, false);
	world_schedule(w, 2 * NS_PER_S, on_reuse, target, 0, 0);
}
