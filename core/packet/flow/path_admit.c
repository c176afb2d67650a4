/*
 * Admission of openings. The opening of a flow is held while no target has room
 * for its request, since a flow that is open is bound to its target: it waits
 * there behind all others, and is lost with the target. A refused opening has
 * not run, and its client may open another flow at once.
 */
#include "path_impl.h"

#include "assign.h"

#include <math.h>
#include <string.h>

/* A client that was refused comes again at once; an opening later than this
 * after a refusal is another request. */
#define REPEAT_NS NS_PER_S
/* Refusals that begin and end more often are not reported each time. */
#define REPORT_NS NS_PER_S
/* Part to which the learned limit of requests a slot shrinks with a rejection:
 * little, since peers' requests there are known only as of their heartbeats. */
#define LIMIT_SHRINK 0.9f
/* By how much it grows with each answer: from a rejection to the next one takes
 * some hundred answers. */
#define LIMIT_GROW 0.005f
/* Rejections within this time come from the same excess. */
#define LIMIT_PAUSE_NS (100 * NS_PER_MS)
/* More requests a slot than any target queues. */
#define LIMIT_NONE 64.0f

static struct service_admission *admission_of(struct path *path,
					      uint32_t service)
{
	return &path->admissions[service];
}

/* Rate at which held openings of a service can expect to be admitted. */
static float expected_rate(const struct service_admission *a)
{
	return a->admitted.per_s > 0 ? a->admitted.per_s : a->rate.per_s;
}

/* Requests at @target, with the flows that are about to bring one. */
static float requests_at(const struct target *target)
{
	return (float)target->running + target->peers_running +
	       (float)target->openings;
}

/* Whether @target can answer another request within its latency objective; not
 * only if it has a free slot. */
static bool has_room(const struct path *path, const struct target *target,
		     const struct opening *o, uint64_t now_ns)
{
	uint32_t service = target->advertised.service;
	struct work_query q = {
		.kind = o->kind,
		.slots = target->advertised.slots,
		.objective_ns =
			(int64_t)(o->objective_deadline_ns - o->arrived_ns),
		.remaining_ns = (int64_t)(o->objective_deadline_ns - now_ns),
		.slowness = track_record_slowness(target, now_ns),
	};
	float limit =
		work_request_limit(&path->work[service], path->policy, &q);
	float learned = path->admissions[service].limit_per_slot;

	if (learned > 0)
		limit = fminf(limit, learned * target_slots(target));
	return requests_at(target) < fmaxf(limit, target_slots(target));
}

/*
 * The target for an opening: one of the few that are drawn, or if that has no
 * room, the least loaded of all.
 * Return: NULL when no target may take it; otherwise @has_room_out says whether
 * it has room.
 */
static struct target *choose_target(struct path *path, const struct opening *o,
				    const struct route *route, uint64_t now_ns,
				    bool *has_room_out)
{
	struct target *target =
		path_select_target(path, &o->key, route, false, now_ns);

	if (target && !has_room(path, target, o, now_ns))
		target = path_select_target(path, &o->key, route, true, now_ns);
	*has_room_out = target && has_room(path, target, o, now_ns);
	return target;
}

static struct refusal *refusal_slot(struct path *path,
				    const struct flow_key *key)
{
	uint64_t hash = hash_u64(ADDR_IP(key->caller), key->vip);

	return &path->refusals[hash % PATH_REFUSALS_MAX];
}

static bool is_repeat(struct path *path, const struct flow_key *key,
		      uint64_t now_ns)
{
	struct refusal *r = refusal_slot(path, key);
	bool found = r->caller_ip == ADDR_IP(key->caller) &&
		     r->vip == key->vip && now_ns < r->refused_ns + REPEAT_NS;

	if (found)
		r->caller_ip = 0;
	return found;
}

static void record_refusal(struct path *path, const struct opening *o,
			   enum load_event event, uint64_t now_ns)
{
	*refusal_slot(path, &o->key) =
		(struct refusal){ ADDR_IP(o->key.caller), o->key.vip, now_ns };
	load_stats_count(path->stats, o->service, o->kind, event);
}

/* Time since a client's first SYN by the number of copies sent before this one;
 * the earlier ones may have gone to other entries. */
static uint64_t since_first_syn_ns(uint32_t copies)
{
	static const uint64_t since_ns[] = { 0, 200 * NS_PER_MS,
					     600 * NS_PER_MS };
	uint32_t last = sizeof(since_ns) / sizeof(since_ns[0]) - 1;

	return since_ns[copies < last ? copies : last];
}

static struct opening make_opening(const struct path *path,
				   const struct packet *packet,
				   const struct route *route, uint64_t now_ns)
{
	uint64_t first_ns = now_ns - since_first_syn_ns(packet->ack);
	struct opening o = {
		.key = packet->flow,
		.service =
			route_select_service(route, flow_hash(&packet->flow)),
		.kind = route->kind,
		.priority = route->priority,
		.is_long = path_route_is_long(path, route),
		.arrived_ns = first_ns,
		.objective_deadline_ns =
			first_ns + route->objective_ms * NS_PER_MS,
		.seq = packet->seq,
	};
	uint64_t timeout_ns = route->timeout_ms * NS_PER_MS;

	o.expires_ns = first_ns + (timeout_ns < ADMISSION_HOLD_MAX_NS
					   ? timeout_ns
					   : ADMISSION_HOLD_MAX_NS);
	if (packet->n_bytes <= RESEND_MAX_BYTES) {
		o.n_bytes = (uint8_t)packet->n_bytes;
		memcpy(o.bytes, packet->bytes, packet->n_bytes);
	}
	return o;
}

/* Report that refusals of a service began or ended, unless the last report is
 * too recent; a later tick then does. */
static void report_refusals(struct path *path, uint32_t service,
			    uint64_t wait_ns, uint64_t now_ns)
{
	struct service_admission *a = admission_of(path, service);
	struct path_refusals change = {
		.service = service,
		.refusing = a->refusing,
		.held = opening_queue_ahead(path->openings, service, UINT8_MAX),
		.answers_per_s = expected_rate(a),
		.work_ns = path->work[service].all.mean_ns,
		.predicted_wait_ns = wait_ns,
		.rate_age_ns = now_ns - a->rate.updated_ns,
	};

	if (a->refusing == a->reported_refusing ||
	    (a->reported_ns && now_ns < a->reported_ns + REPORT_NS))
		return;
	a->reported_refusing = a->refusing;
	a->reported_ns = now_ns;
	if (path->port.refusals)
		path->port.refusals(path->port.ctx, &change);
}

/* Begin or end the refusals of a service, and report it. */
static void set_refusing_from(struct path *path, uint32_t service,
			      uint16_t priority, uint64_t wait_ns,
			      uint64_t now_ns)
{
	struct service_admission *a = admission_of(path, service);
	bool was_refusing = a->refusing;

	a->refusing = priority < PRIORITY_NONE;
	a->refusing_from = (uint8_t)priority;
	if (a->refusing == was_refusing)
		return;
	a->refusing_since_ns = now_ns;
	report_refusals(path, service, wait_ns, now_ns);
}

static enum admission decide(struct path *path, const struct opening *o,
			     const struct route *route, bool room,
			     uint64_t now_ns)
{
	struct service_admission *a = admission_of(path, o->service);
	struct admission_query q = {
		.has_room = room,
		.ahead = opening_queue_ahead(path->openings, o->service,
					     o->priority),
		.answers_per_s = expected_rate(a),
		.work_ns = path->work[o->service].by_kind[o->kind].mean_ns,
		.timeout_ns = route->timeout_ms * NS_PER_MS,
		.refusing = a->refusing && o->priority >= a->refusing_from,
	};
	enum admission decision = admission_decide(&q);
	uint64_t wait_ns = admission_predicted_wait_ns(&q);

	if (decision == ADMISSION_REFUSE && !q.refusing)
		set_refusing_from(path, o->service, o->priority, wait_ns,
				  now_ns);
	else if (decision != ADMISSION_REFUSE && q.refusing)
		set_refusing_from(path, o->service, PRIORITY_NONE, wait_ns,
				  now_ns);
	return decision;
}

/* Without load control, an opening is admitted whenever a target may take it. */
static struct target *admit_any(struct path *path, const struct flow_key *key,
				const struct route *route, uint64_t now_ns)
{
	uint32_t service = route_select_service(route, flow_hash(key));
	struct target *target =
		path_assign_target(path, key, route, NULL, now_ns);

	load_stats_count(path->stats, service, route->kind, LOAD_offered);
	load_stats_count(path->stats, service, route->kind,
			 target ? LOAD_admitted : LOAD_refused_no_target);
	return target;
}

/**
 * path_admit() - decide on the opening of a flow that is not in the cache
 * @path: state of the decisions on packets
 * @packet: the SYN
 * @route: its route
 * @now_ns: current time
 * @target: set to the target when the opening is admitted; NULL when no target
 *	may take it
 * @out: set to the verdict when the opening is held or refused
 *
 * Return: true when it is admitted; the caller forwards the SYN, or resets the
 * flow when @target is NULL.
 */
bool path_admit(struct path *path, const struct packet *packet,
		const struct route *route, uint64_t now_ns,
		struct target **target, struct path_verdict *out)
{
	struct opening o;
	bool room = false;

	if (!path_load_control(path)) {
		*target = admit_any(path, &packet->flow, route, now_ns);
		return true;
	}
	o = make_opening(path, packet, route, now_ns);
	if (opening_queue_find(path->openings, &packet->flow)) {
		path_set_verdict(path, out, PATH_WAIT, PATH_held, NULL);
		return false;
	}
	load_stats_count(path->stats, o.service, o.kind, LOAD_offered);
	if (is_repeat(path, &o.key, now_ns))
		load_stats_count(path->stats, o.service, o.kind, LOAD_repeated);
	path_release_openings(path, o.service, now_ns);
	*target = choose_target(path, &o, route, now_ns, &room);
	if (opening_queue_ahead(path->openings, o.service, o.priority))
		room = false;
	if (!*target) {
		record_refusal(path, &o, LOAD_refused_no_target, now_ns);
		return true;
	}
	if (path->stopping || !o.n_bytes || !route->objective_ms)
		room = true;
	switch (decide(path, &o, route, room, now_ns)) {
	case ADMISSION_HOLD:
		if (!opening_queue_add(path->openings, &o))
			break;
		load_stats_count(path->stats, o.service, o.kind, LOAD_held);
		path_set_verdict(path, out, PATH_WAIT, PATH_held, *target);
		return false;
	case ADMISSION_REFUSE:
		record_refusal(path, &o, LOAD_refused_timeout, now_ns);
		path_set_verdict(path, out, PATH_RESET, PATH_overloaded,
				 *target);
		return false;
	case ADMISSION_ADMIT:
		break;
	}
	load_stats_count(path->stats, o.service, o.kind, LOAD_admitted);
	assign_record(path->directory, *target, now_ns);
	return true;
}

/* Forward the SYN of a held opening; its latency objective counts from the time
 * at which it came. */
static void admit_held(struct path *path, const struct opening *held,
		       struct target *target, uint64_t now_ns)
{
	struct opening o = *held;
	struct flow_state *flow;

	opening_queue_remove(path->openings, held);
	opening_queue_take_turn(path->openings, o.key.vip);
	assign_record(path->directory, target, now_ns);
	flow = flow_cache_add(path->flows, &o.key, target, o.kind, o.is_long,
			      FLOW_OPENING, now_ns);
	path_record_opening(path, flow, now_ns);
	flow->was_held = true;
	flow->arrived_ns = o.arrived_ns;
	flow->forwarded_ns = now_ns;
	flow->seq = o.seq;
	flow->resend_bytes = o.n_bytes;
	memcpy(flow->resend_packet, o.bytes, o.n_bytes);
	if (path->policy->opening_due_ns)
		flow->answer_due_ns = now_ns + path_handshake_timeout_ns(path);
	admission_of(path, o.service)->admitted.count++;
	path->counts[PATH_admitted]++;
	load_stats_count(path->stats, o.service, o.kind, LOAD_admitted);
	path->port.resend(path->port.ctx, flow, PATH_admitted);
}

static void refuse_held(struct path *path, const struct opening *held,
			enum load_event event, uint64_t now_ns)
{
	struct flow_state flow = { .key = held->key };

	record_refusal(path, held, event, now_ns);
	path->counts[PATH_held_too_long]++;
	opening_queue_remove(path->openings, held);
	path->port.reset(path->port.ctx, &flow);
}

/* Admit or refuse the held opening that is first in turn. Return: whether it is
 * no longer held. */
static bool release_next(struct path *path, uint32_t service, bool to_any,
			 uint64_t now_ns)
{
	const struct route_table *table =
		directory_route_table(path->directory);
	const struct opening *o =
		opening_queue_next(path->openings, service,
				   path->work[service].all.mean_ns, now_ns);
	const struct route *route;
	struct target *target;
	bool room = false;

	if (!o)
		return false;
	if (o->expires_ns <= now_ns) {
		refuse_held(path, o, LOAD_refused_expired, now_ns);
		return true;
	}
	route = route_table_find(table, o->key.vip);
	target = route ? choose_target(path, o, route, now_ns, &room) : NULL;
	if (!target) {
		refuse_held(path, o, LOAD_refused_no_target, now_ns);
		return true;
	}
	if (!room && !to_any)
		return false;
	admit_held(path, o, target, now_ns);
	return true;
}

/**
 * path_release_openings() - admit held openings of a service while its targets
 *	have room
 * @path: state of the decisions on packets
 * @service: number of the service in the directory
 * @now_ns: current time
 */
void path_release_openings(struct path *path, uint32_t service, uint64_t now_ns)
{
	bool to_any = path->stopping || !path_load_control(path);

	while (opening_queue_count(path->openings) &&
	       release_next(path, service, to_any, now_ns))
		;
}

/* Update the rates of a service. That of admissions begins at the rate of answers
 * when an opening is held. */
static void update_rates(struct path *path, uint32_t service, uint64_t now_ns)
{
	struct service_admission *a = admission_of(path, service);
	bool holds = opening_queue_oldest(path->openings, service) != NULL;

	if (!holds && !a->rate.count &&
	    !flow_cache_running_count(path->flows, service))
		a->rate.updated_ns = now_ns; /* nobody asks for answers */
	else
		answer_rate_update(&a->rate, now_ns);
	if (!holds)
		a->admitted = (struct answer_rate){ 0 };
	else if (a->admitted.per_s > 0)
		answer_rate_update(&a->admitted, now_ns);
	else
		a->admitted = (struct answer_rate){ .per_s = a->rate.per_s,
						    .updated_ns = now_ns };
}

/**
 * path_tick_admission() - refuse openings that were held for too long, admit
 *	others, and update the rates of answers
 * @path: state of the decisions on packets
 * @now_ns: current time
 */
void path_tick_admission(struct path *path, uint64_t now_ns)
{
	uint32_t n = directory_service_count(path->directory);
	const struct opening *o;

	while ((o = opening_queue_expired(path->openings, now_ns)))
		refuse_held(path, o, LOAD_refused_expired, now_ns);
	for (uint32_t i = 0; i < n; i++) {
		struct service_admission *a = admission_of(path, i);

		update_rates(path, i, now_ns);
		path_release_openings(path, i, now_ns);
		if (a->refusing && !opening_queue_oldest(path->openings, i))
			set_refusing_from(path, i, PRIORITY_NONE, 0, now_ns);
		if (a->refusing != a->reported_refusing)
			report_refusals(path, i,
					path_admission(path, i, now_ns)
						.predicted_wait_ns,
					now_ns);
	}
}

/**
 * path_forget_opening() - drop the held opening of a flow whose target is known
 * @path: state of the decisions on packets
 * @key: client address and VIP; nothing happens when it has no held opening
 *
 * A packet other than a SYN shows that the flow is open, through another entry
 * or since before a restart. It must not be reset.
 */
void path_forget_opening(struct path *path, const struct flow_key *key)
{
	const struct opening *o = opening_queue_find(path->openings, key);

	if (o)
		opening_queue_remove(path->openings, o);
}

/**
 * path_resume_admission() - leave a stall of the process out of the rates
 * @path: state of the decisions on packets
 * @now_ns: current time, after the stall
 */
void path_resume_admission(struct path *path, uint64_t now_ns)
{
	uint32_t n = directory_service_count(path->directory);

	for (uint32_t i = 0; i < n; i++) {
		struct service_admission *a = admission_of(path, i);

		a->rate.updated_ns = now_ns;
		if (a->admitted.updated_ns)
			a->admitted.updated_ns = now_ns;
	}
}

/**
 * path_record_capacity() - learn from an answer how many requests a target takes
 * @path: state of the decisions on packets
 * @target: target that answered
 * @rejected: it rejected the request for lack of capacity
 * @now_ns: current time
 *
 * A target queues a few requests and rejects the rest; how many is not
 * published.
 */
void path_record_capacity(struct path *path, const struct target *target,
			  bool rejected, uint64_t now_ns)
{
	struct service_admission *a =
		admission_of(path, target->advertised.service);
	float at = requests_at(target) / target_slots(target);

	a->rate.count += !rejected;
	if (!rejected) {
		if (a->limit_per_slot > 0 && a->limit_per_slot < LIMIT_NONE)
			a->limit_per_slot += LIMIT_GROW;
		return;
	}
	if (now_ns < a->limit_reduced_ns + LIMIT_PAUSE_NS)
		return;
	if (a->limit_per_slot > 0)
		at = fminf(at, a->limit_per_slot);
	a->limit_per_slot = fmaxf(1, at * LIMIT_SHRINK);
	a->limit_reduced_ns = now_ns;
}

/**
 * path_admission() - get the state of the admission to a service
 * @path: state of the decisions on packets
 * @service: number of the service in the directory
 * @now_ns: current time
 *
 * Return: a copy of the present state.
 */
struct path_admission path_admission(const struct path *path, uint32_t service,
				     uint64_t now_ns)
{
	const struct service_admission *a = &path->admissions[service];
	const struct opening *oldest =
		opening_queue_oldest(path->openings, service);
	struct admission_query q = {
		.ahead =
			opening_queue_ahead(path->openings, service, UINT8_MAX),
		.answers_per_s = expected_rate(a),
	};

	return (struct path_admission){
		.held = q.ahead,
		.oldest_ns = oldest ? now_ns - oldest->arrived_ns : 0,
		.answers_per_s = a->rate.per_s,
		.limit_per_slot = a->limit_per_slot,
		.predicted_wait_ns = admission_predicted_wait_ns(&q),
		.refusing = a->refusing,
		.refusing_ns = a->refusing ? now_ns - a->refusing_since_ns : 0,
	};
}
