/*
 * Client side of a flow: SYN and its retransmissions, requests in segments with
 * a window and retransmissions, answers, and retries until the deadline.
 */
#include "world_state.h"

#define SYN_RETRANSMISSIONS 2
#define SYN_GIVE_UP_NS (1400 * NS_PER_MS)
#define RETRANSMIT_NS (200 * NS_PER_MS)
#define RETRANSMIT_MAX_NS (1600 * NS_PER_MS)
/* Size of an answer that carries an error. */
#define ERROR_BYTES 200
#define ACK_PACKETS 2
/* Packets of a download in the first round trip, RFC 3390. */
#define DOWNLOAD_FIRST_PACKETS 4

static const uint64_t syn_retransmit_ns[SYN_RETRANSMISSIONS] = {
	200 * NS_PER_MS, 600 * NS_PER_MS
};

struct flow_key users_flow(const struct world *w, uint32_t user, uint16_t port)
{
	const struct sim_user *u = &w->users[user];

	return (struct flow_key){ ADDR(u->ip, port), route_vip(u->class) };
}

static const struct site_class *class_of(const struct world *w,
					 const struct sim_user *u)
{
	return &w->classes[u->class];
}

/* Whether a request may be sent again although it may have run. */
static bool may_retry(const struct world *w, const struct sim_user *u)
{
	return route_kind_is_idempotent(class_of(w, u)->kind);
}

static void on_arrive(struct world *w, const struct event *e)
{
	struct sim_packet k = {
		.user = (uint32_t)e->arg0,
		.port = (uint16_t)(e->arg0 >> 32),
		.flags = (uint8_t)(e->arg0 >> 48),
		.size_bytes = (uint16_t)(e->arg2 >> 32),
		.seq = (uint32_t)e->arg1,
		.ack = (uint32_t)e->arg2,
	};
	uint32_t entry = (uint32_t)(e->arg1 >> 32);

	/* Packets of an abandoned flow are dropped. */
	if (w->users[k.user].port == k.port)
		w->conf.driver.deliver(w->conf.driver.ctx, w, entry, &k);
}

static void send_packet(struct world *w, uint32_t user, uint8_t flags,
			uint32_t seq, uint32_t size_bytes)
{
	const struct sim_user *u = &w->users[user];
	uint32_t entry = router_select(w, u);
	uint32_t ack = flags & PACKET_SYN ? u->syn_copies : u->ack;

	if (entry == UINT32_MAX) {
		w->users[user].packet_lost = true;
		return;
	}
	world_schedule(w, w->conf.site.client_delay_ns, on_arrive,
		       (uint64_t)flags << 48 | (uint64_t)u->port << 32 | user,
		       (uint64_t)entry << 32 | seq,
		       (uint64_t)size_bytes << 32 | ack);
}

static void send_segment(struct world *w, uint32_t user, uint32_t i)
{
	const struct sim_user *u = &w->users[user];
	uint32_t left = u->spec.request_bytes - i * SEGMENT_BYTES;

	send_packet(w, user, PACKET_ACK, u->request_seq + i * SEGMENT_BYTES,
		    left < SEGMENT_BYTES ? left : SEGMENT_BYTES);
}

static void send_window(struct world *w, uint32_t user)
{
	struct sim_user *u = &w->users[user];

	while (u->sent < u->segments && u->sent < u->acked + WINDOW_PACKETS)
		send_segment(w, user, u->sent++);
}

static void start_attempt(struct world *w, uint32_t user);

static uint8_t cause_of(const struct world *w, const struct sim_user *u,
			bool served)
{
	uint64_t objective_ns = class_of(w, u)->objective_ns;

	if (served && w->now_ns - u->spec.arrival_ns <= objective_ns)
		return CAUSE_NONE;
	if (u->has_failed)
		return CAUSE_FAILED;
	if (u->packet_lost)
		return CAUSE_NO_ENTRY;
	if (u->target_gone)
		return CAUSE_GONE;
	if (u->was_refused)
		return CAUSE_REFUSED;
	return u->spec.work_ns > objective_ns - objective_ns / 8 ? CAUSE_WORK
								 : CAUSE_WAITED;
}

static void count_request(struct world *w, const struct sim_user *u,
			  bool served)
{
	const struct site_class *c = class_of(w, u);
	struct world_report *r = &w->report;

	r->requests++;
	r->offered += c->value;
	if (!served) {
		r->failed++;
	} else if (w->now_ns - u->spec.arrival_ns <= c->objective_ns) {
		r->on_time++;
		r->earned += c->value;
	} else {
		r->late++;
		r->earned += c->late_value;
	}
}

static void finish_request(struct world *w, uint32_t user, bool served)
{
	struct sim_user *u = &w->users[user];

	if (!u->has_request)
		return;
	u->has_request = false;
	u->used_ns = w->now_ns;
	if (u->class != extra_route_index(w)) {
		count_request(w, u, served);
		world_record_request(
			w,
			&(struct world_request){
				.arrival_ns = u->spec.arrival_ns,
				.latency_ns =
					served ? w->now_ns - u->spec.arrival_ns
					       : 0,
				.work_ns = u->spec.work_ns,
				.zone = (uint8_t)u->zone,
				.class = u->class,
				.cause = cause_of(w, u, served),
			});
	}
	if (!class_of(w, u)->long_flows || !served) {
		if (u->state == USER_OPEN)
			send_packet(w, user, PACKET_FIN, u->request_seq, 0);
		u->state = USER_IDLE;
	}
	if (u->class == extra_route_index(w))
		arrivals_schedule_test_user(w, user);
	else
		arrivals_start_pending(w, user);
}

static void on_deadline(struct world *w, const struct event *e)
{
	if (w->users[e->arg0].request_number == e->arg1)
		finish_request(w, (uint32_t)e->arg0, false);
}

/* Retransmit unacknowledged segments, with exponential backoff. */
static void on_retransmit(struct world *w, const struct event *e)
{
	uint32_t user = (uint32_t)e->arg0;
	struct sim_user *u = &w->users[user];
	uint64_t next_ns = e->arg2 * 2 < RETRANSMIT_MAX_NS ? e->arg2 * 2
							   : RETRANSMIT_MAX_NS;

	if (!u->has_request || u->request_number != e->arg1 >> 16 ||
	    u->port != (uint16_t)e->arg1 || u->state != USER_OPEN ||
	    u->acked >= u->segments)
		return;
	for (uint32_t i = u->acked; i < u->sent; i++)
		send_segment(w, user, i);
	world_schedule(w, next_ns, on_retransmit, e->arg0, e->arg1, next_ns);
}

static void send_request(struct world *w, uint32_t user)
{
	struct sim_user *u = &w->users[user];

	u->request_seq += u->segments * SEGMENT_BYTES;
	u->segments =
		(u->spec.request_bytes + SEGMENT_BYTES - 1) / SEGMENT_BYTES;
	if (u->segments > SEGMENTS_MAX)
		u->segments = SEGMENTS_MAX;
	u->sent = u->acked = 0;
	send_window(w, user);
	world_schedule(w, RETRANSMIT_NS, on_retransmit, user,
		       u->request_number << 16 | u->port, RETRANSMIT_NS);
}

static void on_syn_retransmit(struct world *w, const struct event *e)
{
	struct sim_user *u = &w->users[e->arg0];

	if (u->state != USER_OPENING || u->port != e->arg1 || !u->has_request)
		return;
	u->syn_copies++;
	send_packet(w, (uint32_t)e->arg0, PACKET_SYN, 0, 0);
}

static void on_give_up(struct world *w, const struct event *e)
{
	struct sim_user *u = &w->users[e->arg0];

	if (u->state == USER_OPENING && u->port == e->arg1 && u->has_request)
		start_attempt(w, (uint32_t)e->arg0);
}

/* Start the next attempt on a new flow with a new source port. */
static void start_attempt(struct world *w, uint32_t user)
{
	struct sim_user *u = &w->users[user];

	if (u->attempts++ > class_of(w, u)->retries) {
		finish_request(w, user, false);
		return;
	}
	u->port = u->port < 60000 ? u->port + 1 : 1000;
	u->state = USER_OPENING;
	u->cookie = 0;
	u->target = NO_TARGET;
	u->request_seq = u->ack = 1;
	u->segments = 0;
	u->syn_copies = 0;
	send_packet(w, user, PACKET_SYN, 0, 0);
	for (uint32_t i = 0; i < SYN_RETRANSMISSIONS; i++)
		world_schedule(w, syn_retransmit_ns[i], on_syn_retransmit, user,
			       u->port, 0);
	world_schedule(w, SYN_GIVE_UP_NS, on_give_up, user, u->port, 0);
}

/* Whether a request can use the open flow: the target closes idle ones. */
static bool flow_is_usable(const struct world *w, const struct sim_user *u)
{
	const struct site_service *s =
		&w->conf.site.services[class_of(w, u)->service];

	return u->state == USER_OPEN &&
	       w->now_ns - u->used_ns < s->idle_close_ns;
}

/* Start a request on the open flow, or on a new one. */
void users_start_request(struct world *w, uint32_t user,
			 const struct request_spec *spec)
{
	struct sim_user *u = &w->users[user];
	uint64_t waited_ns = w->now_ns - spec->arrival_ns;
	uint64_t deadline_ns = class_of(w, u)->deadline_ns;

	u->request_number = ++w->last_request_number;
	u->spec = *spec;
	u->has_request = true;
	u->attempts = 0;
	u->runs = 0;
	u->packet_lost = u->target_gone = u->was_refused = u->has_failed =
		false;
	world_schedule(w, waited_ns < deadline_ns ? deadline_ns - waited_ns : 0,
		       on_deadline, user, u->request_number, 0);
	if (flow_is_usable(w, u)) {
		u->attempts = 1;
		send_request(w, user);
	} else {
		start_attempt(w, user);
	}
}

/* Handle a target's answer to a SYN. */
void users_opened(struct world *w, uint32_t user, uint16_t port,
		  uint32_t target, uint32_t cookie)
{
	struct sim_user *u = &w->users[user];

	if (u->port != port || u->state != USER_OPENING)
		return;
	u->state = USER_OPEN;
	u->opened_ns = w->now_ns;
	u->opened_with_extra_route = w->extra_route;
	u->target = target;
	u->process = w->targets[target].process;
	u->cookie = cookie;
	u->used_ns = w->now_ns;
	if (u->has_request)
		send_request(w, user);
}

/* A target acknowledged the first @acked packets of a request. */
void users_acked(struct world *w, uint32_t user, uint16_t port,
		 uint64_t request_number, uint32_t acked)
{
	struct sim_user *u = &w->users[user];

	if (u->port != port || u->request_number != request_number ||
	    acked <= u->acked)
		return;
	u->acked = acked;
	send_window(w, user);
}

/* Acknowledge every second packet of an answer, and the last. */
static void acknowledge(struct world *w, uint32_t user, uint32_t bytes)
{
	struct sim_user *u = &w->users[user];
	uint32_t step = ACK_PACKETS * SEGMENT_BYTES;

	while (bytes) {
		uint32_t part = bytes < step ? bytes : step;

		bytes -= part;
		u->ack += part;
		send_packet(w, user, PACKET_ACK,
			    u->request_seq + u->segments * SEGMENT_BYTES, 0);
	}
}

/* Time of a packet to the target and of the next ones back. */
static uint64_t round_trip_ns(const struct world *w, const struct sim_user *u)
{
	return 2 * w->conf.site.client_delay_ns +
	       world_one_way_ns(w, u->zone, w->targets[u->target].zone);
}

/* Receive the packets that a target sends in one round trip. The target sends
 * twice as many in the next one. */
static void on_download(struct world *w, const struct event *e)
{
	uint32_t user = (uint32_t)e->arg0;
	struct sim_user *u = &w->users[user];
	const struct sim_target *t;
	uint64_t bytes = e->arg2 * SEGMENT_BYTES;

	if (!u->has_request || u->request_number != e->arg1 >> 16 ||
	    u->port != (uint16_t)e->arg1 || u->state != USER_OPEN)
		return;
	/* The rest is lost with the target's process. */
	t = &w->targets[u->target];
	if (!t->alive || t->process != u->process)
		return;
	if (bytes > u->answer_left)
		bytes = u->answer_left;
	acknowledge(w, user, (uint32_t)bytes);
	u->answer_left -= (uint32_t)bytes;
	if (!u->answer_left)
		finish_request(w, user, true);
	else
		world_schedule(w, round_trip_ns(w, u), on_download, user,
			       e->arg1, 2 * e->arg2);
}

static void start_download(struct world *w, uint32_t user)
{
	struct sim_user *u = &w->users[user];

	u->answer_left = u->spec.answer_bytes;
	world_schedule(w, 0, on_download, user,
		       u->request_number << 16 | u->port,
		       DOWNLOAD_FIRST_PACKETS);
}

/* Handle an answer. A request that was refused, or that failed and is
 * idempotent, is retried. */
void users_answered(struct world *w, uint32_t user, uint16_t port,
		    uint64_t request_number, enum sim_answer answer)
{
	struct sim_user *u = &w->users[user];

	if (u->port != port || u->request_number != request_number ||
	    !u->has_request)
		return;
	u->acked = u->segments;
	if (answer == ANSWER_DONE && class_of(w, u)->kind == ROUTE_DOWNLOAD) {
		start_download(w, user);
		return;
	}
	acknowledge(w, user,
		    answer == ANSWER_DONE ? u->spec.answer_bytes : ERROR_BYTES);
	u->was_refused = u->was_refused || answer == ANSWER_REFUSED;
	u->has_failed = u->has_failed || answer == ANSWER_FAILED;
	if (answer == ANSWER_DONE)
		finish_request(w, user, true);
	else if (answer == ANSWER_FAILED && !may_retry(w, u))
		finish_request(w, user, false);
	else
		start_attempt(w, user);
}

/* A request that may have run is retried only if it is idempotent. */
static void handle_lost_flow(struct world *w, uint32_t user)
{
	struct sim_user *u = &w->users[user];
	bool opened = u->state == USER_OPEN;

	u->state = USER_IDLE;
	if (!u->has_request)
		return;
	u->was_refused = true;
	if (opened && !may_retry(w, u))
		finish_request(w, user, false);
	else
		start_attempt(w, user);
}

/* A target answered that it doesn't know the flow. */
void users_flow_unknown(struct world *w, uint32_t user, uint16_t port)
{
	struct sim_user *u = &w->users[user];

	if (u->port == port && u->state != USER_IDLE) {
		u->target_gone = true;
		handle_lost_flow(w, user);
	}
}

/* Whether an entry reset a flow that its target would have served. */
static bool was_wrongly_reset(const struct world *w, const struct sim_user *u,
			      const struct sim_entry *e)
{
	const struct sim_target *t;

	if (u->state != USER_OPEN || u->target == NO_TARGET)
		return false;
	/* A reset is right if the route was dropped since, even if it is back. */
	if (u->class == extra_route_index(w) &&
	    (!w->extra_route || !u->opened_with_extra_route ||
	     w->extra_route_dropped_ns >= u->opened_ns))
		return false;
	t = &w->targets[u->target];
	return t->alive && t->process == u->process &&
	       w->now_ns > t->restarted_ns + PUBLISH_MAX_NS &&
	       w->now_ns > t->disturbed_ns + SETTLE_NS &&
	       w->now_ns > e->disturbed_ns + SETTLE_NS &&
	       w->partitioned_until_ns[t->zone] + SETTLE_NS < w->now_ns;
}

/* Whether an entry denied a flow of a route that is in force. */
static bool was_wrongly_denied(const struct world *w, const struct sim_user *u,
			       const struct sim_entry *e)
{
	return u->state == USER_OPENING && u->class == extra_route_index(w) &&
	       w->extra_route &&
	       w->now_ns > w->extra_route_changed_ns + PUBLISH_MAX_NS &&
	       w->now_ns > e->disturbed_ns + SETTLE_NS &&
	       w->now_ns > w->store_disturbed_ns + SETTLE_NS;
}

/* Handle an entry's reset, and count it if the target still serves the flow. */
void users_reset(struct world *w, const struct flow_key *flow, uint32_t entry)
{
	uint32_t user = ADDR_IP(flow->caller) - w->users[0].ip;
	struct sim_user *u = &w->users[user];
	const struct sim_entry *e = &w->entries[entry];

	if (u->port != ADDR_PORT(flow->caller) ||
	    flow->vip != route_vip(u->class) || u->state == USER_IDLE)
		return;
	if (u->target != NO_TARGET && !w->targets[u->target].alive)
		u->target_gone = true;
	w->report.broken += was_wrongly_reset(w, u, e);
	w->report.stale += was_wrongly_denied(w, u, e);
	handle_lost_flow(w, user);
}
