#include "loads.h"

#include "outlier.h"

#define CENTI 100.0f
/* Larger numbers take more bytes than a heartbeat has room for. */
#define TOLD_MAX UINT16_MAX
/* What a peer told longer ago says nothing of now. */
#define LOADS_VALID_NS (2 * NS_PER_S)
/* Less than half a failure is what is left of one that is forgotten. */
#define FAILURES_TOLD_MIN 0.5f

static uint32_t told(float v)
{
	return v < TOLD_MAX ? (uint32_t)v : TOLD_MAX;
}

/**
 * loads_fill() - put this entry's loads into a heartbeat
 * @d: directory
 * @h: heartbeat
 *
 * Targets without load are left out; beyond HELLO_LOADS_MAX the rest is.
 */
void loads_fill(const struct directory *d, struct hello *h)
{
	uint32_t n = directory_target_count(d);

	h->has_loads = true;
	for (uint32_t i = 0; i < n && h->n_loads < HELLO_LOADS_MAX; i++) {
		const struct target *t = directory_target_at(d, i);
		struct hello_load l = {
			.cookie = t->cookie,
			.feeds = told((float)t->feeds),
			.short_centi = told(t->short_mean * CENTI),
			.running_centi = told(t->running_mean * CENTI),
		};

		if (l.feeds || l.short_centi || l.running_centi)
			h->loads[h->n_loads++] = l;
	}
}

/* Instead of the one that fails least, when there is no room for all. */
static void add_failing(struct hello *h, struct hello_failing f)
{
	uint32_t least = 0;

	if (h->n_failing < HELLO_FAILING_MAX) {
		h->failing[h->n_failing++] = f;
		return;
	}
	for (uint32_t i = 1; i < HELLO_FAILING_MAX; i++)
		if (h->failing[i].failures_centi <
		    h->failing[least].failures_centi)
			least = i;
	if (h->failing[least].failures_centi < f.failures_centi)
		h->failing[least] = f;
}

/**
 * loads_fill_failing() - put the targets that fail requests into a heartbeat
 * @d: directory
 * @h: heartbeat
 * @policy: figures to go by
 * @now_ns: time
 *
 * Without it an entry of a large data centre, which sees a request in seconds
 * at each target, finds out too late.
 */
void loads_fill_failing(const struct directory *d, struct hello *h,
			const struct policy *policy, uint64_t now_ns)
{
	uint32_t n = directory_target_count(d);

	for (uint32_t i = 0; i < n; i++) {
		const struct target *t = directory_target_at(d, i);
		float failures = outlier_failure_count(t, policy, now_ns);

		if (failures > FAILURES_TOLD_MIN)
			add_failing(h, (struct hello_failing){
					       t->cookie,
					       told(failures * CENTI) });
	}
}

static void sum_failing(struct directory *d, const struct peer_vm *p)
{
	for (uint32_t i = 0; i < p->n_failing; i++) {
		struct target *t = directory_by_cookie(d, p->failing[i].cookie);

		if (t)
			t->peers_failures +=
				(float)p->failing[i].failures_centi / CENTI;
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
	uint32_t n = directory_target_count(d);

	for (uint32_t i = 0; i < n; i++) {
		struct target *t = directory_target_at(d, i);

		t->peers_feeds = 0;
		t->peers_short = 0;
		t->peers_running = 0;
		t->peers_failures = 0;
	}
	for (uint32_t i = 0; i < peer_set_count(f); i++) {
		const struct peer_vm *p = peer_set_at(f, i);

		if (p->direct_ns + LOADS_VALID_NS < now_ns)
			continue;
		sum_failing(d, p);
		for (uint32_t j = 0; j < p->n_loads; j++) {
			const struct hello_load *l = &p->loads[j];
			struct target *t = directory_by_cookie(d, l->cookie);

			if (!t)
				continue;
			t->peers_feeds += (float)l->feeds;
			t->peers_short += (float)l->short_centi / CENTI;
			t->peers_running += (float)l->running_centi / CENTI;
		}
	}
}
