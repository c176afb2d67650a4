/* Decides at which cold targets this entry may open flows. */
#include "node_impl.h"

#include "cold.h"

/*
 * Whether the other entries know this one, and it knows them. An entry that has
 * just started or resumed after a pause would take a permit that another entry has
 * as well.
 */
static bool is_known_to_peers(const struct node *n)
{
	uint64_t since_ns =
		n->start_ns > n->paused_ns ? n->start_ns : n->paused_ns;

	return n->now_ns >= since_ns + n->policy->young_ns &&
	       !peer_set_lone(n->peers);
}

/*
 * Treat a target as cold that answers again after it counted as ended: a new
 * process may have started that is not published yet.
 */
static void presume_cold_start(const struct node *n, struct target *t,
			       const struct service_cold *cold)
{
	uint64_t until_ns = t->returned_ns + cold->start_ms * NS_PER_MS;

	if (t->cold_presumed && n->now_ns >= t->cold_until_ns)
		t->cold_presumed = false;
	if (!t->returned_ns)
		return;
	if (until_ns > t->cold_until_ns) {
		cold_begin(t, until_ns, t->returned_ns);
		t->cold_presumed = true;
	}
	t->returned_ns = 0;
}

static void refill_credit(struct node *n, struct target *t, bool known_to_peers)
{
	struct service_cold cold =
		directory_cold(n->directory, t->news.service);
	struct cold_share share;
	bool has_permit;

	presume_cold_start(n, t, &cold);
	if (!cold_limited(t, cold.per_s, n->now_ns))
		return;
	share = cold_share(cold.per_s, &n->conf.cold);
	has_permit = known_to_peers && t->news.zone == node_zone(n) &&
		     peer_set_seat(n->peers, t->news.id) < share.seats;
	cold_refill(t, has_permit, share.per_s, n->now_ns);
}

/* Update the number of flows that this entry may open at each cold target. */
void node_cold_tick(struct node *n)
{
	uint32_t slots = directory_slots(n->directory);
	bool known_to_peers;

	if (!directory_any_cold(n->directory))
		return;
	known_to_peers = is_known_to_peers(n);
	for (uint32_t i = 0; i < slots; i++)
		refill_credit(n, directory_slot(n->directory, i),
			      known_to_peers);
}

/*
 * Treat the targets of a data centre as cold when its evacuation is over, since
 * they may not have published so yet. @zone: hash of the data centre's name.
 */
void node_cold_evacuation_over(struct node *n, uint32_t zone)
{
	uint32_t slots = directory_slots(n->directory);

	for (uint32_t i = 0; i < slots; i++) {
		struct target *t = directory_slot(n->directory, i);

		if (t->news.zone == zone)
			t->returned_ns = n->now_ns;
	}
	node_cold_tick(n);
}
