/* Counters and target states of the balancer, for operators. */
#include "balance_state.h"

struct class_stats *class_stats_of(struct balancer *balancer,
				   const struct service *s, uint8_t class)
{
	return &balancer->tables.accounts[s->account]
			.stats[class % CLASS_COUNT];
}

/**
 * balance_next_class_stats() - iterate over counters by account and class
 * @balancer: balancer
 * @cursor: position of the iteration; 0 at first, advanced by each call
 * @account: set to the account's name, valid until the next
 *	balance_set_config()
 * @class: set to the enum service_class
 * @stats: set to the counters, valid until the next balance_set_config()
 *
 * Return: false, with nothing set, at the end.
 */
bool balance_next_class_stats(const struct balancer *balancer, uint32_t *cursor,
			      const char **account, uint8_t *class,
			      const struct class_stats **stats)
{
	uint32_t index = *cursor / CLASS_COUNT;

	if (index >= balancer->tables.n_accounts)
		return false;
	*class = *cursor % CLASS_COUNT;
	*account = balancer->tables.accounts[index].name;
	*stats = &balancer->tables.accounts[index].stats[*class];
	(*cursor)++;
	return true;
}

/**
 * balance_next_target_stats() - iterate over the state of the targets
 * @balancer: balancer
 * @cursor: position of the iteration; 0 at first, advanced by each call
 * @out: set to the state of a target
 *
 * Return: false, with @out unchanged, at the end.
 */
bool balance_next_target_stats(const struct balancer *balancer,
			       uint32_t *cursor, struct target_stats *out)
{
	const struct target *t;

	if (*cursor >= balancer->tables.n_targets)
		return false;
	t = &balancer->tables.targets[(*cursor)++];
	*out = (struct target_stats){
		.addr = t->addr,
		.inflight = t->inflight,
		.feeds = t->feeds,
		.own = t->share.own,
		.extra = t->share.extra,
		.connections = t->share.connections,
		.ejected = t->health.ejected,
		.trust_milli = t->load_view.trust_milli,
		.latency_ns = t->health.latency_ns,
		.error_milli = t->health.error_milli,
	};
	return true;
}
