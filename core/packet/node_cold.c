/* Decides at which cold targets this entry may open flows. */
#include "node_impl.h"

#include "cold.h"

/*
 * Whether enough time has passed since the start or the last pause for the other
 * entries to know this one, and for this one to know them. Before that it would
 * take a permit that another entry has as well.
 */
static bool is_known_to_peers(const struct node *node)
{
	uint64_t since_ns = node->start_ns > node->paused_ns ? node->start_ns
							     : node->paused_ns;

	return node->now_ns >= since_ns + node->policy->young_ns &&
	       !peer_set_is_alone(node->peers);
}

/*
 * Treat a target as cold that answers again after it counted as ended: a new
 * process may have started that is not published yet.
 */
static void presume_cold_start(const struct node *node, struct target *target,
			       const struct service_cold *cold)
{
	uint64_t until_ns = target->recovered_ns + cold->cold_ms * NS_PER_MS;

	if (target->cold_presumed && node->now_ns >= target->cold_until_ns)
		target->cold_presumed = false;
	if (!target->recovered_ns)
		return;
	if (until_ns > target->cold_until_ns) {
		cold_begin(target, until_ns, target->recovered_ns);
		target->cold_presumed = true;
	}
	target->recovered_ns = 0;
}

static void refill_credit(struct node *node, struct target *target,
			  bool known_to_peers)
{
	struct service_cold cold = directory_cold_limits(
		node->directory, target->advertised.service);
	struct cold_allocation share;
	bool has_permit;

	presume_cold_start(node, target, &cold);
	if (!cold_is_limited(target, cold.flows_per_s, node->now_ns))
		return;
	share = cold_allocate(cold.flows_per_s, &node->conf.cold);
	has_permit =
		known_to_peers && target->advertised.zone == node_zone(node) &&
		peer_set_rendezvous_rank(node->peers, target->advertised.id) <
			share.permits;
	cold_refill(target, has_permit, share.per_s, node->now_ns);
}

/* Update the number of flows that this entry may open at each cold target. */
void node_cold_tick(struct node *node)
{
	uint32_t slots = directory_target_count(node->directory);
	bool known_to_peers;

	if (!directory_has_cold_limits(node->directory))
		return;
	known_to_peers = is_known_to_peers(node);
	for (uint32_t i = 0; i < slots; i++)
		refill_credit(node, directory_target_at(node->directory, i),
			      known_to_peers);
}

/*
 * Treat the targets of a data centre as cold when its evacuation is over, since
 * they may not have published so yet. @zone: hash of the data centre's name.
 */
void node_cold_evacuation_over(struct node *node, uint32_t zone)
{
	uint32_t slots = directory_target_count(node->directory);

	for (uint32_t i = 0; i < slots; i++) {
		struct target *target = directory_target_at(node->directory, i);

		if (target->advertised.zone == zone)
			target->recovered_ns = node->now_ns;
	}
	node_cold_tick(node);
}
