// Membership and ring together: which entries may claim a bucket.
#include "fleet.h"
extern "C" {
#include "ring.h"
}

#include <rapidcheck.h>

#include <cstdlib>
#include <vector>

namespace
{

constexpr uint32_t kBuckets = 128;
constexpr uint64_t kSettleNs = 500 * NS_PER_MS;
constexpr uint64_t kCoverNs = 93 * NS_PER_S;
constexpr uint64_t kStepNs = 2 * NS_PER_MS;

/* Entries that update their rings from the membership, as the data path does. */
struct Entries {
	struct fleet *f;
	std::vector<struct ring *> ring;
	std::vector<uint64_t> join_ns;
	std::vector<bool> joined;
	std::vector<bool> leaving;

	Entries(uint32_t n, uint64_t seed)
	    : f(fleet_new(n, seed)), ring(n), join_ns(n), joined(n), leaving(n)
	{
		f->conf.joining = true;
		for (uint32_t i = 0; i < n; i++)
			start(i);
	}
	Entries(const Entries &) = delete;
	~Entries()
	{
		for (struct ring *r : ring)
			ring_free(r);
		fleet_free(f);
	}

	void start(uint32_t i)
	{
		ring_observer none = { nullptr, nullptr };

		if (f->node[i].m)
			return;
		ring_free(ring[i]);
		ring[i] = ring_new(kBuckets, fleet_vm(i), kSettleNs, kCoverNs,
				   none);
		joined[i] = leaving[i] = false;
		join_ns[i] = UINT64_MAX;
		fleet_start(f, i);
		fleet_roster(f, i, 0, f->n);
	}

	void leave(uint32_t i)
	{
		if (!f->node[i].m || leaving[i])
			return;
		leaving[i] = true;
		member_leave(f->node[i].m, f->now_ns);
	}

	void kill(uint32_t i)
	{
		if (f->node[i].m)
			fleet_kill(f, i);
	}

	bool runs(uint32_t i) const
	{
		return f->node[i].m &&
		       f->now_ns >= f->node[i].paused_deadline_ns;
	}

	bool has_valid_lease(uint32_t i) const
	{
		return member_has_majority(f->node[i].m) &&
		       member_lease_valid(f->node[i].m, f->now_ns);
	}

	void join(uint32_t i)
	{
		if (!has_valid_lease(i))
			join_ns[i] = UINT64_MAX;
		else if (join_ns[i] == UINT64_MAX)
			join_ns[i] = f->now_ns + kSettleNs;
		if (f->now_ns < join_ns[i])
			return;
		joined[i] = true;
		member_join(f->node[i].m, f->now_ns);
	}

	void update_ring(uint32_t i)
	{
		const struct member *all;
		std::vector<uint64_t> live;
		uint32_t n;

		if (!runs(i))
			return;
		if (!joined[i] && !leaving[i])
			join(i);
		if (!joined[i])
			return;
		n = member_all(f->node[i].m, &all);
		for (uint32_t k = 0; k < n; k++)
			if (all[k].state <= MEMBER_SUSPECT)
				live.push_back(all[k].vm);
		ring_update(ring[i], live.data(), live.size(), f->now_ns);
	}

	bool may_claim(uint32_t i, uint32_t bucket) const
	{
		return runs(i) && joined[i] && !leaving[i] &&
		       ring_current_pair(ring[i], bucket).owner ==
			       fleet_vm(i) &&
		       has_valid_lease(i) &&
		       ring_is_settled(ring[i], bucket, f->now_ns);
	}

	void check_claims(uint32_t bucket) const
	{
		ring_pair first = { ADDR_NONE, ADDR_NONE };

		for (uint32_t i = 0; i < f->n; i++) {
			ring_pair p = ring_current_pair(ring[i], bucket);

			if (!may_claim(i, bucket))
				continue;
			if (first.owner != ADDR_NONE)
				RC_ASSERT(p.owner == first.second ||
					  p.second == first.owner ||
					  (p.second != ADDR_NONE &&
					   p.second == first.second));
			first = p;
		}
	}

	void run(uint64_t for_ns)
	{
		for (uint64_t t = 0; t < for_ns; t += kStepNs) {
			fleet_run(f, kStepNs);
			for (uint32_t i = 0; i < f->n; i++)
				update_ring(i);
			for (uint32_t b = 0; b < kBuckets; b++)
				check_claims(b);
		}
	}

	void inject_fault()
	{
		uint32_t i = *rc::gen::inRange<uint32_t>(0, f->n);

		switch (*rc::gen::inRange(0, 6)) {
		case 0:
			return kill(i);
		case 1:
			return start(i);
		case 2:
			return leave(i);
		case 3:
			return fleet_pause(f, i,
					   *rc::gen::inRange<uint64_t>(500,
								       10000) *
						   NS_PER_MS);
		case 4:
			for (uint32_t k = 0; k < f->n; k++)
				f->node[k].side = k < i;
			return;
		default:
			for (uint32_t k = 0; k < f->n; k++)
				f->node[k].side = 0;
		}
	}
};

} // namespace

int main()
{
	/*
	 * Guards against a non-idempotent request (a valve command) that runs
	 * twice: entries start together, die, join, leave, stall or are
	 * partitioned, and two of them own a bucket, each by its own view. It
	 * ran twice when both could claim while their pairs of the bucket had
	 * no common member.
	 */
	bool ok =
		rc::check("entries that may claim a bucket share a member", [] {
			Entries e(*rc::gen::inRange<uint32_t>(2, 9),
				  *rc::gen::inRange<uint64_t>(1, 1000000));

			e.run(4 * NS_PER_S);
			for (int n = *rc::gen::inRange(1, 8); n--;) {
				e.inject_fault();
				e.run(*rc::gen::inRange<uint64_t>(0, 1500) *
				      NS_PER_MS);
			}
			e.run(4 * NS_PER_S);
		});

	return ok ? EXIT_SUCCESS : EXIT_FAILURE;
}
