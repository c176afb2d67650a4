/* Counters of the balancer, for operators. */
#include "balance_state.h"

/* stats_of() - counters of a service's account for one class. */
struct class_stats *stats_of(struct balancer *b, const struct service *s,
			     uint8_t class)
{
	return &b->t.accounts[s->account].stats[class % CLASS_COUNT];
}

/**
 * balance_stats() - walk over the counters of each account and class
 * @b: balancer
 * @cursor: 0 at first, moved on by each call
 * @account: name, good until the next balance_config()
 * @class: enum service_class
 * @stats: counters, good until the next balance_config()
 *
 * Return: false at the end.
 */
bool balance_stats(const struct balancer *b, uint32_t *cursor,
		   const char **account, uint8_t *class,
		   const struct class_stats **stats)
{
	uint32_t index = *cursor / CLASS_COUNT;

	if (index >= b->t.n_accounts)
		return false;
	*class = *cursor % CLASS_COUNT;
	*account = b->t.accounts[index].name;
	*stats = &b->t.accounts[index].stats[*class];
	(*cursor)++;
	return true;
}

/**
 * balance_targets() - walk over what is held of each target
 * @b: balancer
 * @cursor: 0 at first, moved on by each call
 * @out: the target
 *
 * Return: false at the end.
 */
bool balance_targets(const struct balancer *b, uint32_t *cursor,
		     struct target_stats *out)
{
	const struct target *t;

	if (*cursor >= b->t.n_targets)
		return false;
	t = &b->t.targets[(*cursor)++];
	*out = (struct target_stats){
		.addr = t->addr,
		.inflight = t->inflight,
		.feeds = t->feeds,
		.own = t->share.own,
		.extra = t->share.extra,
		.connections = t->share.connections,
		.ejected = t->health.ejected,
		.trust_milli = t->view.trust,
		.latency_ns = t->health.latency_ns,
		.error_milli = t->health.error_milli,
	};
	return true;
}
