#include "loads.h"

#define CENTI 100.0f
/* What a peer told longer ago says nothing of now. */
#define LOADS_VALID_NS (2 * NS_PER_S)

/**
 * loads_fill() - put this entry's loads into a heartbeat
 * @d: directory
 * @h: heartbeat
 *
 * Targets without load are left out; beyond HELLO_LOADS_MAX the rest is.
 */
void loads_fill(const struct directory *d, struct hello *h)
{
	uint32_t n = directory_slots(d);

	h->has_loads = true;
	for (uint32_t i = 0; i < n && h->n_loads < HELLO_LOADS_MAX; i++) {
		const struct target *t = directory_slot(d, i);
		uint32_t centi = (uint32_t)(t->short_mean * CENTI);

		if (!t->feeds && !centi)
			continue;
		h->loads[h->n_loads++] =
			(struct hello_load){ t->cookie, t->feeds, centi };
	}
}

/**
 * loads_sum() - sum what the peers told
 * @d: directory
 * @f: set
 * @now_ns: time
 */
void loads_sum(struct directory *d, const struct peer_set *f, uint64_t now_ns)
{
	uint32_t n = directory_slots(d);

	for (uint32_t i = 0; i < n; i++) {
		struct target *t = directory_slot(d, i);

		t->peers_feeds = 0;
		t->peers_short = 0;
	}
	for (uint32_t i = 0; i < peer_set_count(f); i++) {
		const struct peer_vm *p = peer_set_at(f, i);

		if (p->direct_ns + LOADS_VALID_NS < now_ns)
			continue;
		for (uint32_t j = 0; j < p->n_loads; j++) {
			const struct hello_load *l = &p->loads[j];
			struct target *t = directory_by_cookie(d, l->cookie);

			if (!t)
				continue;
			t->peers_feeds += (float)l->feeds;
			t->peers_short += (float)l->short_centi / CENTI;
		}
	}
}
