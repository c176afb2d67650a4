/* Which cold targets this entry may open flows at. */
#include "node_impl.h"

#include "cold.h"

/*
 * Who has just started, or stood still, is not known to all others yet, nor they
 * to it: it would have a seat that another has as well.
 */
static bool settled(const struct node *n)
{
	uint64_t since_ns =
		n->start_ns > n->paused_ns ? n->start_ns : n->paused_ns;

	return n->now_ns >= since_ns + n->policy->young_ns &&
	       !peer_set_is_alone(n->peers);
}

/*
 * It answers again after it was taken for ended: another process may have
 * started that was not published yet.
 */
static void presume_start(const struct node *n, struct target *t,
			  const struct service_cold *cold)
{
	uint64_t until_ns = t->recovered_ns + cold->cold_ms * NS_PER_MS;

	if (t->cold_presumed && n->now_ns >= t->cold_until_ns)
		t->cold_presumed = false;
	if (!t->recovered_ns)
		return;
	if (until_ns > t->cold_until_ns) {
		cold_begin(t, until_ns, t->recovered_ns);
		t->cold_presumed = true;
	}
	t->recovered_ns = 0;
}

static void share_out(struct node *n, struct target *t, bool may)
{
	struct service_cold cold =
		directory_cold_limits(n->directory, t->advertised.service);
	struct cold_allocation share;
	bool seat;

	presume_start(n, t, &cold);
	if (!cold_is_limited(t, cold.flows_per_s, n->now_ns))
		return;
	share = cold_allocate(cold.flows_per_s, &n->conf.cold);
	seat = may && t->advertised.zone == node_zone(n) &&
	       peer_set_rendezvous_rank(n->peers, t->advertised.id) <
		       share.permits;
	cold_refill(t, seat, share.per_s, n->now_ns);
}

/* Bring up to date what may be opened at cold targets. */
void node_cold_tick(struct node *n)
{
	uint32_t slots = directory_target_count(n->directory);
	bool may;

	if (!directory_has_cold_limits(n->directory))
		return;
	may = settled(n);
	for (uint32_t i = 0; i < slots; i++)
		share_out(n, directory_target_at(n->directory, i), may);
}

/*
 * The targets of a data centre that is taken back are cold, and may not have
 * said so yet.
 */
void node_cold_returned(struct node *n, uint32_t zone)
{
	uint32_t slots = directory_target_count(n->directory);

	for (uint32_t i = 0; i < slots; i++) {
		struct target *t = directory_target_at(n->directory, i);

		if (t->advertised.zone == zone)
			t->recovered_ns = n->now_ns;
	}
	node_cold_tick(n);
}
