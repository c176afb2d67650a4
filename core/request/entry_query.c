/* State of an entry for operators and metrics. */
#include "entry_state.h"

/**
 * entry_ready() - whether the entry can serve all buckets that it holds
 * @e: entry
 * @now_ns: time
 *
 * Return: true with a configuration, a majority, and a complete claim history
 * of each bucket in whose pair it is.
 */
bool entry_ready(const struct entry *e, uint64_t now_ns)
{
	uint64_t self = e->conf.member.self;

	if (!e->n_services || !member_majority(e->members))
		return false;
	if (ring_at(e->ring, 0).owner == ADDR_NONE)
		return false;
	for (uint32_t i = 0; i < e->conf.n_buckets; i++) {
		struct ring_pair p = ring_at(e->ring, i);

		if (p.owner != self && p.second != self)
			continue;
		if (!ring_covered(e->ring, i, now_ns))
			return false;
	}
	return true;
}

/* entry_load_report() - record a load report that was polled from a target. */
void entry_load_report(struct entry *e, uint64_t target,
		       const struct load_report *report, uint64_t now_ns)
{
	balance_report(e->balancer, target, report, now_ns);
}

static const struct account_conf *account_of(const struct entry *e,
					     const struct service_conf *s)
{
	for (uint32_t i = 0; e->config && i < e->config->n_accounts; i++) {
		const struct account_conf *a = &e->config->accounts[i];

		if (s >= a->services && s < a->services + a->n_services)
			return a;
	}
	return NULL;
}

/**
 * entry_explain() - how this entry would route a flow
 * @e: entry
 * @key: flow
 *
 * Return: the route and what it is based on.
 */
struct entry_explanation entry_explain(const struct entry *e,
				       const struct flow_key *key)
{
	struct entry_explanation v = { .view = e->view };
	uint32_t slot;

	v.bucket = ring_bucket(e->ring, key);
	v.pair = ring_at(e->ring, v.bucket);
	v.service = service_find(e, key->vip);
	v.account = v.service ? account_of(e, v.service) : NULL;
	v.pinned = flow_lookup(e->pins, key, e->now_ns);
	slot = e->feed_heads[v.bucket];
	for (; slot != SLOT_NONE; slot = e->feeds[slot].next) {
		const struct feed *f = &e->feeds[slot];

		if (f->key.caller != key->caller || f->key.vip != key->vip)
			continue;
		if (!v.feeds++)
			v.feed_target = f->target;
	}
	return v;
}

struct entry_gauges entry_gauges(const struct entry *e)
{
	struct entry_gauges g = { .requests_active = e->n_active,
				  .feeds_held = e->n_feeds_held,
				  .handover_due = streams_pending(e),
				  .claims = claims_count(e->claims),
				  .pins = flow_count(e->pins) };

	return g;
}

uint32_t entry_members(const struct entry *e, const struct member **out)
{
	return member_all(e->members, out);
}

/**
 * entry_answer_stats_next() - iterate over answers by account and class
 * @e: entry
 * @cursor: 0 for the first call, advanced by each
 * @account: set to the account's name, valid until the next entry_config()
 * @class: set to the enum service_class
 * @stats: set to the counters, valid until the next entry_config()
 *
 * Return: false at the end; the outputs are unchanged then.
 */
bool entry_answer_stats_next(const struct entry *e, uint32_t *cursor,
			     const char **account, uint8_t *class,
			     const struct answer_stats **stats)
{
	return account_stats_next(e->stats, cursor, account, class, stats);
}

const struct balancer *entry_balancer(const struct entry *e)
{
	return e->balancer;
}

const struct entry_counters *entry_counters(const struct entry *e)
{
	return &e->counters;
}
