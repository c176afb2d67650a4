#include "entry_state.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>

#define FLOW_IDLE_NS (300 * NS_PER_S)
#define FLOW_EXPIRE_BUDGET 64
#define LINGER_NS (2 * NS_PER_S)
#define JOIN_WAIT_NS (3 * NS_PER_S)

static void send_member_message(void *ctx, uint64_t vm, struct peer_msg *msg)
{
	struct entry *e = ctx;
	struct action *a;

	if (!e->out)
		return;
	a = emit(e, ACT_PEER);
	a->vm = vm;
	a->peer = *msg;
}

/*
 * An entry that joins does not know the previous owner. Without it, the
 * bucket's present second would be the owner, and was.
 */
static void record_ownership(struct entry *e, uint32_t bucket,
			     struct ring_pair before, struct ring_pair after)
{
	e->owner_since_ns[bucket] = e->now_ns;
	e->previous_owner[bucket] = before.owner;
	if (before.owner == ADDR_NONE)
		e->previous_owner[bucket] = after.second;
}

static void pair_changed(void *ctx, uint32_t bucket, struct ring_pair before,
			 struct ring_pair after)
{
	struct entry *e = ctx;
	uint64_t self = e->conf.member.self;

	if (after.owner == self && before.owner != self)
		record_ownership(e, bucket, before, after);
	if (before.owner == ADDR_NONE)
		return;
	feeds_pair_changed(e, bucket, before, after);
	streams_pair_changed(e, bucket, before, after);
}

static int modules_init(struct entry *e)
{
	struct peer_out port = { e, send_member_message };
	struct ring_watch watch = { e, pair_changed };
	struct rng member_rng = { rng_next(&e->rng) | 1 };
	struct rng balance_rng = { rng_next(&e->rng) | 1 };
	const struct entry_conf *c = &e->conf;

	e->members = member_new(&c->member, port, member_rng);
	e->ring = ring_new(c->n_buckets, c->member.self, c->settle_ns,
			   c->cover_ns, watch);
	e->balancer = balance_new(c->requests_max, balance_rng);
	e->stats = account_stats_new();
	e->pins = flow_table_new(c->flows_max, FLOW_IDLE_NS);
	e->claims = claims_new(c->claims_max, c->n_buckets, c->cover_ns);
	e->timers = timers_new(c->requests_max + c->feeds_max);
	e->owner_since_ns = calloc(c->n_buckets, sizeof(uint64_t));
	e->previous_owner = calloc(c->n_buckets, sizeof(uint64_t));
	if (!e->members || !e->ring || !e->balancer || !e->stats || !e->pins ||
	    !e->claims || !e->timers || !e->owner_since_ns ||
	    !e->previous_owner)
		return -ENOMEM;
	if (requests_init(e) < 0 || feeds_init(e) < 0)
		return -ENOMEM;
	if (streams_init(e) < 0 || msg_id_spaces_init(e) < 0)
		return -ENOMEM;
	return 0;
}

/**
 * entry_new() - allocate an entry
 * @conf: settings, copied
 * @now_ns: time
 *
 * Return: entry, owned by the caller, or NULL when out of memory.
 */
struct entry *entry_new(const struct entry_conf *conf, uint64_t now_ns)
{
	struct entry *e = calloc(1, sizeof(*e));

	if (!e)
		return NULL;
	e->conf = *conf;
	e->conf.member.joining = true;
	e->now_ns = now_ns;
	e->join_deadline_ns = DEADLINE_NEVER;
	e->join_latest_ns = DEADLINE_NEVER;
	e->sweep_deadline_ns = DEADLINE_NEVER;
	e->minority_since_ns = DEADLINE_NEVER;
	/*
	 * Entries may be started with the same seed; their random numbers must
	 * differ.
	 */
	e->rng.s = hash_u64(conf->seed, conf->member.self) | 1;
	e->peer_budget_refilled_ns = now_ns;
	e->peer_budget_bytes = conf->peer_bytes_per_s;
	if (modules_init(e) < 0) {
		entry_free(e);
		return NULL;
	}
	for (uint32_t i = 0; i < conf->n_buckets; i++)
		e->owner_since_ns[i] = now_ns;
	return e;
}

void entry_free(struct entry *e)
{
	if (!e)
		return;
	requests_free(e);
	feeds_free(e);
	streams_free(e);
	msg_id_spaces_free(e);
	member_free(e->members);
	ring_free(e->ring);
	balance_free(e->balancer);
	account_stats_free(e->stats);
	flow_table_free(e->pins);
	claims_free(e->claims);
	timers_free(e->timers);
	index_free(e->services);
	free(e->service_list);
	free(e->owner_since_ns);
	free(e->previous_owner);
	free(e);
}

/**
 * entry_begin_call() - set the time and the list of actions of a call
 * @e: entry
 * @now_ns: time
 * @out: list to fill; emptied first
 */
void entry_begin_call(struct entry *e, uint64_t now_ns, struct actions *out)
{
	out->n = 0;
	e->out = out;
	e->now_ns = now_ns;
	entry_check_pause(e);
}

static uint32_t count_services(const struct config *c)
{
	uint32_t n = 0;

	for (uint32_t i = 0; i < c->n_accounts; i++)
		n += c->accounts[i].n_services;
	return n;
}

static void list_services(struct entry *e, const struct config *c)
{
	uint32_t n = 0;

	for (uint32_t i = 0; i < c->n_accounts; i++) {
		const struct account_conf *a = &c->accounts[i];

		for (uint32_t k = 0; k < a->n_services; k++) {
			const struct service_conf *s = &a->services[k];

			/*
			 * Two accounts must not have the same VIP. If they do,
			 * the first by name keeps it on every entry; the other
			 * must not receive its callers.
			 */
			if (service_find(e, s->vip))
				continue;
			e->service_list[n] = s;
			index_put(e->services, hash_u64(s->vip, 0), n);
			n++;
		}
	}
	e->n_services = n;
}

/**
 * entry_config() - apply a configuration
 * @e: entry
 * @c: all client accounts; has to stay valid until the next call
 * @now_ns: time
 * @out: filled with the actions to carry out
 */
void entry_config(struct entry *e, const struct config *c, uint64_t now_ns,
		  struct actions *out)
{
	uint32_t n = count_services(c);

	entry_begin_call(e, now_ns, out);
	index_free(e->services);
	free(e->service_list);
	e->services = index_new(n + 1);
	e->service_list = calloc(n + 1, sizeof(*e->service_list));
	e->config = c;
	if (e->services && e->service_list)
		list_services(e, c);
	account_stats_config(e->stats, c);
	balance_config(e->balancer, c, now_ns);
	moves_check_config(e);
	requests_start_ready(e);
}

/**
 * entry_roster() - apply the platform's list of VMs
 * @e: entry
 * @vms: peer addresses of the VMs that are not leaving
 * @n: number of @vms
 * @now_ns: time
 * @out: filled with the actions to carry out
 */
void entry_roster(struct entry *e, const uint64_t *vms, uint32_t n,
		  uint64_t now_ns, struct actions *out)
{
	entry_begin_call(e, now_ns, out);
	member_roster(e->members, vms, n, now_ns);
	if (!e->roster_known)
		e->join_latest_ns = now_ns + JOIN_WAIT_NS;
	e->roster_known = true;
	entry_update_ring(e);
}

static void run_timers(struct entry *e)
{
	uint32_t id;

	while (emit_has_capacity(e) && timers_pop(e->timers, e->now_ns, &id)) {
		if (id < e->conf.requests_max)
			request_timer(e, &e->requests[id]);
		else
			feed_timer(e, &e->feeds[id - e->conf.requests_max]);
	}
}

static bool all_handed_over(const struct entry *e)
{
	return !e->n_active && !e->n_feeds_held && streams_idle(e);
}

static void update_linger_deadline(struct entry *e)
{
	if (!e->leaving)
		return;
	if (!all_handed_over(e))
		e->linger_deadline_ns = e->now_ns + LINGER_NS;
}

/**
 * entry_tick() - handle expired deadlines; due at entry_next_ns()
 * @e: entry
 * @now_ns: time
 * @out: filled with the actions to carry out
 */
void entry_tick(struct entry *e, uint64_t now_ns, struct actions *out)
{
	entry_begin_call(e, now_ns, out);
	e->ticked_ns = now_ns;
	member_tick(e->members, now_ns);
	entry_check_lease(e);
	entry_update_ring(e);
	claims_expire(e->claims, now_ns);
	run_timers(e);
	moves_tick(e);
	requests_start_ready(e);
	streams_tick(e);
	flow_expire(e->pins, now_ns, FLOW_EXPIRE_BUDGET);
	update_linger_deadline(e);
}

/**
 * entry_leave() - begin a planned stop
 * @e: entry
 * @now_ns: time
 * @out: filled with the actions to carry out
 */
void entry_leave(struct entry *e, uint64_t now_ns, struct actions *out)
{
	entry_begin_call(e, now_ns, out);
	if (e->leaving)
		return;
	e->leaving = true;
	/*
	 * A leaving entry does not join. If these deadlines stayed due, the
	 * entry would be ticked in a busy loop.
	 */
	e->join_deadline_ns = DEADLINE_NEVER;
	e->join_latest_ns = DEADLINE_NEVER;
	e->leave_deadline_ns = now_ns + e->conf.drain_ns;
	e->linger_deadline_ns = now_ns + LINGER_NS;
	streams_record_known(e);
	member_leave(e->members, now_ns);
	entry_update_ring(e);
}

/**
 * entry_has_left() - whether a planned stop is complete
 * @e: entry
 *
 * Return: true when everything is handed over and the time for late answers is
 * over, or when drain_ns is over.
 */
bool entry_has_left(const struct entry *e)
{
	if (!e->leaving)
		return false;
	if (e->now_ns >= e->leave_deadline_ns)
		return true;
	return all_handed_over(e) && e->now_ns >= e->linger_deadline_ns;
}

/**
 * entry_next_ns() - time at which entry_tick() is due
 * @e: entry
 *
 * Return: time, or DEADLINE_NEVER.
 */
uint64_t entry_next_ns(const struct entry *e)
{
	const uint64_t due[] = { member_next_ns(e->members),
				 ring_next_ns(e->ring),
				 timers_next_ns(e->timers),
				 balance_next_ns(e->balancer),
				 streams_next_ns(e),
				 moves_next_ns(e),
				 e->join_deadline_ns,
				 e->join_latest_ns,
				 e->leaving ? e->linger_deadline_ns
					    : DEADLINE_NEVER };
	uint64_t next = DEADLINE_NEVER;

	for (size_t i = 0; i < sizeof(due) / sizeof(due[0]); i++) {
		if (due[i] < next)
			next = due[i];
	}
	return next;
}
