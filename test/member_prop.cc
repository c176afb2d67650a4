// Properties of membership under random kills, pauses, partitions and stale
// rosters.
#include "fleet.h"

#include <rapidcheck.h>

#include <algorithm>
#include <cstdlib>
#include <map>
#include <set>
#include <utility>

namespace
{

constexpr uint64_t kPauseNs = 10 * NS_PER_S;
constexpr uint64_t kRecoveryNs = 30 * NS_PER_S;

struct Fleet {
	struct fleet *f;
	std::set<uint32_t> leaving;
	std::map<std::pair<uint32_t, uint32_t>, member> left_or_dead;

	Fleet(uint32_t n, uint64_t seed) : f(fleet_new(n, seed))
	{
		fleet_start_all(f);
		fleet_run(f, 3 * NS_PER_S);
	}
	Fleet(const Fleet &) = delete;
	~Fleet()
	{
		fleet_free(f);
	}

	void stop(uint32_t i)
	{
		if (!f->node[i].membership)
			return;
		fleet_kill(f, i);
		leaving.erase(i);
		for (uint32_t k = 0; k < f->n; k++)
			left_or_dead.erase({ i, k });
	}

	void start(uint32_t i)
	{
		stop(i);
		fleet_start(f, i);
		fleet_set_roster(f, i, 0, f->n);
	}

	void leave(uint32_t i)
	{
		if (!f->node[i].membership)
			return;
		member_leave(f->node[i].membership, f->now_ns);
		leaving.insert(i);
	}

	void set_stale_roster(uint32_t i)
	{
		uint32_t first = *rc::gen::inRange<uint32_t>(0, f->n);
		uint32_t count = *rc::gen::inRange<uint32_t>(0, f->n - first);

		if (f->node[i].membership)
			fleet_set_roster(f, i, first, count);
	}

	void inject_fault()
	{
		uint32_t i = *rc::gen::inRange<uint32_t>(0, f->n);

		switch (*rc::gen::inRange(0, 8)) {
		case 0:
			return stop(i);
		case 1:
			return start(i);
		case 2:
			return fleet_pause(f, i, kPauseNs);
		case 3:
			f->node[i].partition = 1;
			return;
		case 4:
			for (uint32_t k = 0; k < f->n; k++)
				f->node[k].partition = k < i;
			return;
		case 5:
			return leave(i);
		case 6:
			return set_stale_roster(i);
		default:
			f->loss_percent = *rc::gen::inRange(0, 10);
		}
	}

	/* A member that left or died returns only with a higher incarnation. */
	void check_returns()
	{
		const struct member *all;

		for (uint32_t i = 0; i < f->n; i++) {
			uint32_t n = 0;

			if (f->node[i].membership)
				n = member_all(f->node[i].membership, &all);
			for (uint32_t k = 0; k < n; k++)
				check_return(i, all[k]);
		}
	}

	void check_return(uint32_t i, const member &e)
	{
		uint32_t subject = ADDR_IP(e.vm) - ADDR_IP(fleet_vm(0));
		auto previous = left_or_dead.find({ i, subject });

		if (e.state >= MEMBER_LEAVING) {
			left_or_dead[{ i, subject }] = e;
			return;
		}
		if (previous != left_or_dead.end())
			RC_ASSERT(e.incarnation > previous->second.incarnation);
		left_or_dead.erase({ i, subject });
	}

	void end_faults()
	{
		f->loss_percent = 0;
		for (uint32_t i = 0; i < f->n; i++) {
			f->node[i].partition = 0;
			f->node[i].paused_deadline_ns = 0;
			if (!f->node[i].membership || leaving.count(i))
				start(i);
			fleet_set_roster(f, i, 0, f->n);
		}
		fleet_run(f, kRecoveryNs);
	}
};

} // namespace

int main()
{
	bool ok = true;

	/*
	 * Guards against running entries that stay out of the membership, or
	 * without a lease, until they are restarted: after any kills, pauses of
	 * 10 s, partitions, leaves, losses and stale rosters have ended, a
	 * state must not remain that nothing can change.
	 */
	ok &= rc::check("all entries converge after faults", [] {
		Fleet fleet(*rc::gen::inRange<uint32_t>(2, 13),
			    *rc::gen::inRange<uint64_t>(1, 1000000));
		struct fleet *f = fleet.f;

		for (int n = *rc::gen::inRange(1, 12); n--;) {
			fleet.inject_fault();
			fleet_run(f, *rc::gen::inRange<uint64_t>(0, 3000) *
					     NS_PER_MS);
			fleet.check_returns();
		}
		fleet.end_faults();
		RC_ASSERT(fleet_converged(f));
		for (uint32_t i = 0; i < f->n; i++) {
			RC_ASSERT(member_view_hash(f->node[i].membership) ==
				  member_view_hash(f->node[0].membership));
			RC_ASSERT(member_has_majority(f->node[i].membership));
			RC_ASSERT(member_lease_valid(f->node[i].membership,
						     f->now_ns));
		}
	});

	/*
	 * Guards against a live and reachable entry that loses its flows while
	 * others die or are paused and messages get lost, because a suspicion
	 * of it is not refuted in time.
	 */
	ok &= rc::check("a running member is not declared dead", [] {
		uint32_t n = *rc::gen::inRange<uint32_t>(4, 13);
		Fleet fleet(n, *rc::gen::inRange<uint64_t>(1, 1000000));
		struct fleet *f = fleet.f;

		f->loss_percent = *rc::gen::inRange(0, 3);
		for (uint32_t i = 1; i < n / 2; i++) {
			if (*rc::gen::arbitrary<bool>())
				fleet.stop(i);
			else
				fleet_pause(f, i, kPauseNs);
		}
		for (uint32_t k = 0; k < 40; k++) {
			fleet_run(f, 100 * NS_PER_MS);
			RC_ASSERT(!fleet_count_seeing(f, 0, MEMBER_DEAD));
		}
	});

	/*
	 * Guards against two sides of a partition that both act, because a
	 * majority counts members that the other side counts as well.
	 */
	ok &= rc::check("exactly one side of a partition has a majority", [] {
		uint32_t n = *rc::gen::inRange<uint32_t>(2, 13);
		uint32_t at = *rc::gen::inRange<uint32_t>(0, n + 1);
		Fleet fleet(n, *rc::gen::inRange<uint64_t>(1, 1000000));
		struct fleet *f = fleet.f;
		bool low = false, high = false;

		for (uint32_t i = 0; i < n; i++)
			f->node[i].partition = i >= at;
		fleet_run(f, 8 * NS_PER_S);
		for (uint32_t i = 0; i < n; i++)
			(i < at ? low : high) |=
				member_has_majority(f->node[i].membership) &&
				member_lease_valid(f->node[i].membership,
						   f->now_ns);
		RC_ASSERT(low != high);
	});

	/*
	 * Guards against an entry that acts on an outdated view after a pause
	 * of a lease or more, when the clock is read before any message or
	 * timer, or the tick itself renews the lease.
	 */
	ok &= rc::check("no lease right after a pause", [] {
		uint32_t n = *rc::gen::inRange<uint32_t>(2, 13);
		Fleet fleet(n, *rc::gen::inRange<uint64_t>(1, 1000000));
		struct fleet *f = fleet.f;
		uint64_t pause_ms = *rc::gen::inRange<uint64_t>(1000, 20000);

		fleet_pause(f, 0, pause_ms * NS_PER_MS);
		fleet_run(f, pause_ms * NS_PER_MS - 1);
		RC_ASSERT(
			!member_lease_valid(f->node[0].membership, f->now_ns));
		member_tick(f->node[0].membership, f->now_ns);
		RC_ASSERT(
			!member_lease_valid(f->node[0].membership, f->now_ns));
		f->node[0].paused_deadline_ns = 0;
		fleet_run(f, 3 * NS_PER_S);
		RC_ASSERT(member_lease_valid(f->node[0].membership, f->now_ns));
	});

	return ok ? EXIT_SUCCESS : EXIT_FAILURE;
}
