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
	struct entry *entry = ctx;
	struct action *a;

	if (!entry->out)
		return;
	a = emit(entry, ACT_PEER);
	a->vm = vm;
	a->peer = *msg;
}

/*
 * An entry that joins has no previous pair of the bucket. The previous owner is
 * then the bucket's present second, which ranks first without this entry.
 */
static void record_ownership(struct entry *entry, uint32_t bucket,
			     struct ring_pair before, struct ring_pair after)
{
	entry->owner_since_ns[bucket] = entry->now_ns;
	entry->previous_owner[bucket] = before.owner;
	if (before.owner == ADDR_NONE)
		entry->previous_owner[bucket] = after.second;
}

static void pair_changed(void *ctx, uint32_t bucket, struct ring_pair before,
			 struct ring_pair after)
{
	struct entry *entry = ctx;
	uint64_t self = entry->conf.member.self;

	if (after.owner == self && before.owner != self)
		record_ownership(entry, bucket, before, after);
	if (before.owner == ADDR_NONE)
		return;
	feeds_pair_changed(entry, bucket, before, after);
	streams_pair_changed(entry, bucket, before, after);
}

static int modules_init(struct entry *entry)
{
	struct peer_out port = { entry, send_member_message };
	struct ring_observer watch = { entry, pair_changed };
	struct rng member_rng = { rng_next(&entry->rng) | 1 };
	struct rng balance_rng = { rng_next(&entry->rng) | 1 };
	const struct entry_conf *conf = &entry->conf;

	entry->members = member_new(&conf->member, port, member_rng);
	entry->ring = ring_new(conf->n_buckets, conf->member.self,
			       conf->settle_ns, conf->cover_ns, watch);
	entry->balancer = balance_new(conf->requests_max, balance_rng);
	entry->stats = account_stats_new();
	entry->pins = flow_table_new(conf->flows_max, FLOW_IDLE_NS);
	entry->claims =
		claims_new(conf->claims_max, conf->n_buckets, conf->cover_ns);
	entry->timers = timers_new(conf->requests_max + conf->feeds_max);
	entry->owner_since_ns = calloc(conf->n_buckets, sizeof(uint64_t));
	entry->previous_owner = calloc(conf->n_buckets, sizeof(uint64_t));
	if (!entry->members || !entry->ring || !entry->balancer ||
	    !entry->stats || !entry->pins || !entry->claims || !entry->timers ||
	    !entry->owner_since_ns || !entry->previous_owner)
		return -ENOMEM;
	if (requests_init(entry) < 0 || feeds_init(entry) < 0)
		return -ENOMEM;
	if (streams_init(entry) < 0 || msg_id_spaces_init(entry) < 0)
		return -ENOMEM;
	return 0;
}

/**
 * entry_new() - allocate an entry
 * @conf: settings, copied
 * @now_ns: current time
 *
 * Return: entry, owned by the caller, or NULL when out of memory.
 */
struct entry *entry_new(const struct entry_conf *conf, uint64_t now_ns)
{
	struct entry *entry = calloc(1, sizeof(*entry));

	if (!entry)
		return NULL;
	entry->conf = *conf;
	entry->conf.member.joining = true;
	entry->now_ns = now_ns;
	entry->join_deadline_ns = DEADLINE_NEVER;
	entry->join_latest_ns = DEADLINE_NEVER;
	entry->sweep_deadline_ns = DEADLINE_NEVER;
	entry->minority_since_ns = DEADLINE_NEVER;
	/*
	 * Entries may be started with the same seed; their random numbers must
	 * differ.
	 */
	entry->rng.state = hash_u64(conf->seed, conf->member.self) | 1;
	entry->peer_budget_refilled_ns = now_ns;
	entry->peer_budget_bytes = conf->peer_bytes_per_s;
	if (modules_init(entry) < 0) {
		entry_free(entry);
		return NULL;
	}
	for (uint32_t i = 0; i < conf->n_buckets; i++)
		entry->owner_since_ns[i] = now_ns;
	return entry;
}

void entry_free(struct entry *entry)
{
	if (!entry)
		return;
	requests_free(entry);
	feeds_free(entry);
	streams_free(entry);
	msg_id_spaces_free(entry);
	member_free(entry->members);
	ring_free(entry->ring);
	balance_free(entry->balancer);
	account_stats_free(entry->stats);
	flow_table_free(entry->pins);
	claims_free(entry->claims);
	timers_free(entry->timers);
	index_free(entry->services);
	free(entry->service_list);
	free(entry->owner_since_ns);
	free(entry->previous_owner);
	free(entry);
}

/**
 * entry_begin_call() - set the time and the list of actions of a call
 * @entry: state of this entry
 * @now_ns: current time
 * @out: list to fill; emptied first
 */
void entry_begin_call(struct entry *entry, uint64_t now_ns, struct actions *out)
{
	out->n = 0;
	entry->out = out;
	entry->now_ns = now_ns;
	entry_check_pause(entry);
}

static uint32_t count_services(const struct config *config)
{
	uint32_t n = 0;

	for (uint32_t i = 0; i < config->n_accounts; i++)
		n += config->accounts[i].n_services;
	return n;
}

static void list_services(struct entry *entry, const struct config *config)
{
	uint32_t n = 0;

	for (uint32_t i = 0; i < config->n_accounts; i++) {
		const struct account_conf *a = &config->accounts[i];

		for (uint32_t k = 0; k < a->n_services; k++) {
			const struct service_conf *s = &a->services[k];

			/*
			 * Two accounts must not have the same VIP. If they do,
			 * the first by name keeps it on every entry; the other
			 * must not receive its callers.
			 */
			if (service_find(entry, s->vip))
				continue;
			entry->service_list[n] = s;
			index_put(entry->services, hash_u64(s->vip, 0), n);
			n++;
		}
	}
	entry->n_services = n;
}

/**
 * entry_config() - apply a configuration
 * @entry: state of this entry
 * @config: all client accounts; has to stay valid until the next call
 * @now_ns: current time
 * @out: filled with the actions to carry out
 */
void entry_config(struct entry *entry, const struct config *config,
		  uint64_t now_ns, struct actions *out)
{
	uint32_t n = count_services(config);

	entry_begin_call(entry, now_ns, out);
	index_free(entry->services);
	free(entry->service_list);
	entry->services = index_new(n + 1);
	entry->service_list = calloc(n + 1, sizeof(*entry->service_list));
	entry->config = config;
	if (entry->services && entry->service_list)
		list_services(entry, config);
	account_stats_config(entry->stats, config);
	balance_set_config(entry->balancer, config, now_ns);
	moves_check_config(entry);
	requests_start_ready(entry);
}

/**
 * entry_roster() - apply the platform's list of VMs
 * @entry: state of this entry
 * @vms: peer addresses of the VMs that are not leaving
 * @n: number of @vms
 * @now_ns: current time
 * @out: filled with the actions to carry out
 */
void entry_roster(struct entry *entry, const uint64_t *vms, uint32_t n,
		  uint64_t now_ns, struct actions *out)
{
	entry_begin_call(entry, now_ns, out);
	member_set_roster(entry->members, vms, n, now_ns);
	if (!entry->roster_known)
		entry->join_latest_ns = now_ns + JOIN_WAIT_NS;
	entry->roster_known = true;
	entry_update_ring(entry);
}

static void run_timers(struct entry *entry)
{
	uint32_t id;

	while (emit_has_capacity(entry) &&
	       timers_pop(entry->timers, entry->now_ns, &id)) {
		if (id < entry->conf.requests_max)
			request_timer(entry, &entry->requests[id]);
		else
			feed_timer(
				entry,
				&entry->feeds[id - entry->conf.requests_max]);
	}
}

static bool all_handed_over(const struct entry *entry)
{
	return !entry->n_active && !entry->n_feeds_held && streams_idle(entry);
}

static void update_linger_deadline(struct entry *entry)
{
	if (!entry->leaving)
		return;
	if (!all_handed_over(entry))
		entry->linger_deadline_ns = entry->now_ns + LINGER_NS;
}

/**
 * entry_tick() - handle expired deadlines; due at entry_next_ns()
 * @entry: state of this entry
 * @now_ns: current time
 * @out: filled with the actions to carry out
 */
void entry_tick(struct entry *entry, uint64_t now_ns, struct actions *out)
{
	entry_begin_call(entry, now_ns, out);
	entry->ticked_ns = now_ns;
	member_tick(entry->members, now_ns);
	entry_check_lease(entry);
	entry_update_ring(entry);
	claims_expire(entry->claims, now_ns);
	run_timers(entry);
	moves_tick(entry);
	requests_start_ready(entry);
	streams_tick(entry);
	flow_expire(entry->pins, now_ns, FLOW_EXPIRE_BUDGET);
	update_linger_deadline(entry);
}

/**
 * entry_leave() - begin a planned stop
 * @entry: state of this entry
 * @now_ns: current time
 * @out: filled with the actions to carry out
 */
void entry_leave(struct entry *entry, uint64_t now_ns, struct actions *out)
{
	entry_begin_call(entry, now_ns, out);
	if (entry->leaving)
		return;
	entry->leaving = true;
	/*
	 * A leaving entry does not join. If these deadlines stayed due, the
	 * entry would be ticked in a busy loop.
	 */
	entry->join_deadline_ns = DEADLINE_NEVER;
	entry->join_latest_ns = DEADLINE_NEVER;
	entry->leave_deadline_ns = now_ns + entry->conf.drain_ns;
	entry->linger_deadline_ns = now_ns + LINGER_NS;
	streams_record_known(entry);
	member_leave(entry->members, now_ns);
	entry_update_ring(entry);
}

/**
 * entry_has_left() - whether a planned stop is complete
 * @entry: state of this entry
 *
 * Return: true when everything is handed over and the time for late answers is
 * over, or when drain_ns is over.
 */
bool entry_has_left(const struct entry *entry)
{
	if (!entry->leaving)
		return false;
	if (entry->now_ns >= entry->leave_deadline_ns)
		return true;
	return all_handed_over(entry) &&
	       entry->now_ns >= entry->linger_deadline_ns;
}

/**
 * entry_next_ns() - time at which entry_tick() is due
 * @entry: state of this entry
 *
 * Return: time, or DEADLINE_NEVER.
 */
uint64_t entry_next_ns(const struct entry *entry)
{
	const uint64_t due[] = { member_next_ns(entry->members),
				 ring_next_ns(entry->ring),
				 timers_next_ns(entry->timers),
				 balance_next_ns(entry->balancer),
				 streams_next_ns(entry),
				 moves_next_ns(entry),
				 entry->join_deadline_ns,
				 entry->join_latest_ns,
				 entry->leaving ? entry->linger_deadline_ns
						: DEADLINE_NEVER };
	uint64_t next = DEADLINE_NEVER;

	for (size_t i = 0; i < sizeof(due) / sizeof(due[0]); i++) {
		if (due[i] < next)
			next = due[i];
	}
	return next;
}
