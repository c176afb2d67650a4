/* State of an entry for operators and metrics. */
#include "entry_state.h"

/**
 * entry_ready() - whether the entry can serve all buckets that it holds
 * @entry: state of this entry
 * @now_ns: current time
 *
 * Return: true with a configuration, a majority, and a complete claim history
 * of each bucket in whose pair it is.
 */
bool entry_ready(const struct entry *entry, uint64_t now_ns)
{
	uint64_t self = entry->conf.member.self;

	if (!entry->n_services || !member_has_majority(entry->members))
		return false;
	if (ring_current_pair(entry->ring, 0).owner == ADDR_NONE)
		return false;
	for (uint32_t i = 0; i < entry->conf.n_buckets; i++) {
		struct ring_pair p = ring_current_pair(entry->ring, i);

		if (p.owner != self && p.second != self)
			continue;
		if (!ring_history_known(entry->ring, i, now_ns))
			return false;
	}
	return true;
}

/* entry_load_report() - record a load report that was polled from a target. */
void entry_load_report(struct entry *entry, uint64_t target,
		       const struct load_report *report, uint64_t now_ns)
{
	balance_record_load(entry->balancer, target, report, now_ns);
}

static const struct account_conf *account_of(const struct entry *entry,
					     const struct service_conf *s)
{
	for (uint32_t i = 0; entry->config && i < entry->config->n_accounts;
	     i++) {
		const struct account_conf *a = &entry->config->accounts[i];

		if (s >= a->services && s < a->services + a->n_services)
			return a;
	}
	return NULL;
}

/**
 * entry_explain() - how this entry would route a flow
 * @entry: state of this entry
 * @key: flow
 *
 * Return: the route and what it is based on.
 */
struct entry_explanation entry_explain(const struct entry *entry,
				       const struct flow_key *key)
{
	struct entry_explanation v = { .view = entry->view };
	uint32_t slot;

	v.bucket = ring_bucket(entry->ring, key);
	v.pair = ring_current_pair(entry->ring, v.bucket);
	v.service = service_find(entry, key->vip);
	v.account = v.service ? account_of(entry, v.service) : NULL;
	v.pinned = flow_lookup(entry->pins, key, entry->now_ns);
	slot = entry->feed_heads[v.bucket];
	for (; slot != SLOT_NONE; slot = entry->feeds[slot].next) {
		const struct feed *feed = &entry->feeds[slot];

		if (feed->key.caller != key->caller ||
		    feed->key.vip != key->vip)
			continue;
		if (!v.feeds++)
			v.feed_target = feed->target;
	}
	return v;
}

struct entry_gauges entry_gauges(const struct entry *entry)
{
	struct entry_gauges g = { .requests_active = entry->n_active,
				  .feeds_held = entry->n_feeds_held,
				  .handover_due = streams_pending(entry),
				  .claims = claims_count(entry->claims),
				  .pins = flow_count(entry->pins) };

	return g;
}

uint32_t entry_members(const struct entry *entry, const struct member **out)
{
	return member_all(entry->members, out);
}

/**
 * entry_answer_stats_next() - iterate over answers by account and class
 * @entry: state of this entry
 * @cursor: 0 for the first call, advanced by each
 * @account: set to the account's name, valid until the next entry_config()
 * @class: set to the enum service_class
 * @stats: set to the counters, valid until the next entry_config()
 *
 * Return: false at the end; the outputs are unchanged then.
 */
bool entry_answer_stats_next(const struct entry *entry, uint32_t *cursor,
			     const char **account, uint8_t *class,
			     const struct answer_stats **stats)
{
	return account_stats_next(entry->stats, cursor, account, class, stats);
}

const struct balancer *entry_balancer(const struct entry *entry)
{
	return entry->balancer;
}

const struct entry_counters *entry_counters(const struct entry *entry)
{
	return &entry->counters;
}
