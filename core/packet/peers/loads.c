#include "loads.h"

#include "outlier.h"

#define CENTI 100.0f
/* Larger numbers need more bytes than the size of a heartbeat allows for. */
#define ADVERTISED_MAX UINT16_MAX
/* Loads that a peer advertised longer ago are ignored. */
#define LOADS_VALID_NS (2 * NS_PER_S)
/* Counts of failures decay; a lower one is the rest of old failures. */
#define FAILURES_ADVERTISED_MIN 0.5f

static uint32_t to_advertised(float v)
{
	return v < ADVERTISED_MAX ? (uint32_t)v : ADVERTISED_MAX;
}

/**
 * loads_fill_hello() - put the load of this entry's flows into a heartbeat
 * @directory: targets
 * @hello: heartbeat
 *
 * Targets without load are left out, and so are those beyond HELLO_LOADS_MAX.
 */
void loads_fill_hello(const struct directory *directory, struct hello *hello)
{
	uint32_t n = directory_target_count(directory);

	hello->has_loads = true;
	for (uint32_t i = 0; i < n && hello->n_loads < HELLO_LOADS_MAX; i++) {
		const struct target *t = directory_target_at(directory, i);
		struct hello_load l = {
			.cookie = t->cookie,
			.feeds = to_advertised((float)t->feeds),
			.short_centi = to_advertised(t->short_mean * CENTI),
			.running_centi = to_advertised(t->running_mean * CENTI),
		};

		if (l.feeds || l.short_centi || l.running_centi)
			hello->loads[hello->n_loads++] = l;
	}
}

/* When the heartbeat is full, replaces the target with the fewest failures. */
static void add_failing(struct hello *hello, struct hello_failing f)
{
	uint32_t least = 0;

	if (hello->n_failing < HELLO_FAILING_MAX) {
		hello->failing[hello->n_failing++] = f;
		return;
	}
	for (uint32_t i = 1; i < HELLO_FAILING_MAX; i++)
		if (hello->failing[i].failures_centi <
		    hello->failing[least].failures_centi)
			least = i;
	if (hello->failing[least].failures_centi < f.failures_centi)
		hello->failing[least] = f;
}

/**
 * loads_fill_hello_failing() - put the targets that fail requests into a
 *	heartbeat
 * @directory: targets
 * @hello: heartbeat
 * @policy: limits and switches
 * @now_ns: current time
 *
 * In a large data centre, an entry sends a target one request in several
 * seconds. From its own failures alone it would detect a failing target too
 * late.
 */
void loads_fill_hello_failing(const struct directory *directory,
			      struct hello *hello, const struct policy *policy,
			      uint64_t now_ns)
{
	uint32_t n = directory_target_count(directory);

	for (uint32_t i = 0; i < n; i++) {
		const struct target *t = directory_target_at(directory, i);
		float failures = outlier_failure_count(t, policy, now_ns);

		if (failures > FAILURES_ADVERTISED_MIN)
			add_failing(hello,
				    (struct hello_failing){
					    t->cookie,
					    to_advertised(failures * CENTI) });
	}
}

static void add_peer_failing(struct directory *directory,
			     const struct peer_vm *p)
{
	for (uint32_t i = 0; i < p->n_failing; i++) {
		struct target *t =
			directory_by_cookie(directory, p->failing[i].cookie);

		if (t)
			t->peers_failures +=
				(float)p->failing[i].failures_centi / CENTI;
	}
}

/**
 * loads_sum_peers() - set the peers_* members of all targets from the
 *	heartbeats
 * @directory: targets
 * @peers: peers with the loads and failures that they advertised
 * @now_ns: current time
 */
void loads_sum_peers(struct directory *directory, const struct peer_set *peers,
		     uint64_t now_ns)
{
	uint32_t n = directory_target_count(directory);

	for (uint32_t i = 0; i < n; i++) {
		struct target *t = directory_target_at(directory, i);

		t->peers_feeds = 0;
		t->peers_short = 0;
		t->peers_running = 0;
		t->peers_failures = 0;
	}
	for (uint32_t i = 0; i < peer_set_count(peers); i++) {
		const struct peer_vm *p = peer_set_at(peers, i);

		if (p->hello_ns + LOADS_VALID_NS < now_ns)
			continue;
		add_peer_failing(directory, p);
		for (uint32_t j = 0; j < p->n_loads; j++) {
			const struct hello_load *l = &p->loads[j];
			struct target *t =
				directory_by_cookie(directory, l->cookie);

			if (!t)
				continue;
			t->peers_feeds += (float)l->feeds;
			t->peers_short += (float)l->short_centi / CENTI;
			t->peers_running += (float)l->running_centi / CENTI;
		}
	}
}

/**
 * loads_peers_of_zone() - age of the loads that the peers of a data centre
 *	advertised
 * @peers: peers
 * @zone: hash of the name of the data centre
 * @now_ns: current time
 *
 * In a large data centre, each heartbeat goes to some of the peers only. Loads
 * that loads_sum_peers() ignores count as LOADS_VALID_NS old.
 */
struct long_flow_peers loads_peers_of_zone(const struct peer_set *peers,
					   uint32_t zone, uint64_t now_ns)
{
	struct long_flow_peers out = { 0 };

	for (uint32_t i = 0; i < peer_set_count(peers); i++) {
		const struct peer_vm *p = peer_set_at(peers, i);
		uint64_t age_ns = now_ns - p->hello_ns;

		if (p->zone != zone || p->leaving ||
		    p->seen_ns + LOADS_VALID_NS < now_ns)
			continue;
		if (age_ns > LOADS_VALID_NS)
			age_ns = LOADS_VALID_NS;
		out.n++;
		out.ages_s += (float)age_ns / (float)NS_PER_S;
	}
	return out;
}
