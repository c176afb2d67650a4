// Properties of membership under random kills, pauses, cuts and old lists.
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
constexpr uint64_t kMendNs = 30 * NS_PER_S;

struct Fleet {
	struct fleet *f;
	std::set<uint32_t> leaving;
	std::map<std::pair<uint32_t, uint32_t>, member> gone;

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
		if (!f->node[i].m)
			return;
		fleet_kill(f, i);
		leaving.erase(i);
		for (uint32_t k = 0; k < f->n; k++)
			gone.erase({ i, k });
	}

	void start(uint32_t i)
	{
		stop(i);
		fleet_start(f, i);
		fleet_roster(f, i, 0, f->n);
	}

	void leave(uint32_t i)
	{
		if (!f->node[i].m)
			return;
		member_leave(f->node[i].m, f->now_ns);
		leaving.insert(i);
	}

	void old_list(uint32_t i)
	{
		uint32_t first = *rc::gen::inRange<uint32_t>(0, f->n);
		uint32_t count = *rc::gen::inRange<uint32_t>(0, f->n - first);

		if (f->node[i].m)
			fleet_roster(f, i, first, count);
	}

	void fault()
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
			f->node[i].side = 1;
			return;
		case 4:
			for (uint32_t k = 0; k < f->n; k++)
				f->node[k].side = k < i;
			return;
		case 5:
			return leave(i);
		case 6:
			return old_list(i);
		default:
			f->loss_percent = *rc::gen::inRange(0, 10);
		}
	}

	/* A member that left or died comes back with a higher incarnation. */
	void check_returns()
	{
		const struct member *all;

		for (uint32_t i = 0; i < f->n; i++) {
			uint32_t n = 0;

			if (f->node[i].m)
				n = member_all(f->node[i].m, &all);
			for (uint32_t k = 0; k < n; k++)
				check_return(i, all[k]);
		}
	}

	void check_return(uint32_t i, const member &e)
	{
		uint32_t subject = ADDR_IP(e.vm) - ADDR_IP(fleet_vm(0));
		auto was = gone.find({ i, subject });

		if (e.state >= MEMBER_LEAVING) {
			gone[{ i, subject }] = e;
			return;
		}
		if (was != gone.end())
			RC_ASSERT(e.incarnation > was->second.incarnation);
		gone.erase({ i, subject });
	}

	void mend()
	{
		f->loss_percent = 0;
		for (uint32_t i = 0; i < f->n; i++) {
			f->node[i].side = 0;
			f->node[i].paused_deadline_ns = 0;
			if (!f->node[i].m || leaving.count(i))
				start(i);
			fleet_roster(f, i, 0, f->n);
		}
		fleet_run(f, kMendNs);
	}
};

} // namespace

int main()
{
	bool ok = true;

	/*
	 * Symptom: entries that work stay out of the fleet until restarted,
	 * or keep their lease from acting for ever. Events: any kills, pauses
	 * of 10 s, cuts, leaves, losses and old lists, then all of it ends.
	 * Cause: a belief that nothing can change any more.
	 */
	ok &= rc::check("a mended fleet agrees", [] {
		Fleet fleet(*rc::gen::inRange<uint32_t>(2, 13),
			    *rc::gen::inRange<uint64_t>(1, 1000000));
		struct fleet *f = fleet.f;

		for (int n = *rc::gen::inRange(1, 12); n--;) {
			fleet.fault();
			fleet_run(f, *rc::gen::inRange<uint64_t>(0, 3000) *
					     NS_PER_MS);
			fleet.check_returns();
		}
		fleet.mend();
		RC_ASSERT(fleet_converged(f));
		for (uint32_t i = 0; i < f->n; i++) {
			RC_ASSERT(member_view_hash(f->node[i].m) ==
				  member_view_hash(f->node[0].m));
			RC_ASSERT(member_has_majority(f->node[i].m));
			RC_ASSERT(member_lease_valid(f->node[i].m, f->now_ns));
		}
	});

	/*
	 * Symptom: a live entry that can be reached loses its flows. Events:
	 * others die or are paused, messages get lost. Cause: suspicion that
	 * isn't refuted in time.
	 */
	ok &= rc::check("a member that runs is not declared dead", [] {
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
			RC_ASSERT(!fleet_holders(f, 0, MEMBER_DEAD));
		}
	});

	/*
	 * Symptom: two sides of a cut both act. Events: a cut anywhere. Cause: a
	 * majority counted over members that the other side counts as well.
	 */
	ok &= rc::check("at most one side of a cut has a majority", [] {
		uint32_t n = *rc::gen::inRange<uint32_t>(2, 13);
		uint32_t at = *rc::gen::inRange<uint32_t>(0, n + 1);
		Fleet fleet(n, *rc::gen::inRange<uint64_t>(1, 1000000));
		struct fleet *f = fleet.f;
		bool low = false, high = false;

		for (uint32_t i = 0; i < n; i++)
			f->node[i].side = i >= at;
		fleet_run(f, 8 * NS_PER_S);
		for (uint32_t i = 0; i < n; i++)
			(i < at ? low : high) |=
				member_has_majority(f->node[i].m) &&
				member_lease_valid(f->node[i].m, f->now_ns);
		RC_ASSERT(low != high);
	});

	/*
	 * Symptom: an entry that was stopped acts on its old view. Events: a
	 * pause of a lease or more, then its clock is read before any message
	 * or timer. Cause: a lease that is renewed by the tick itself.
	 */
	ok &= rc::check("no lease at the moment of waking", [] {
		uint32_t n = *rc::gen::inRange<uint32_t>(2, 13);
		Fleet fleet(n, *rc::gen::inRange<uint64_t>(1, 1000000));
		struct fleet *f = fleet.f;
		uint64_t pause_ms = *rc::gen::inRange<uint64_t>(1000, 20000);

		fleet_pause(f, 0, pause_ms * NS_PER_MS);
		fleet_run(f, pause_ms * NS_PER_MS - 1);
		RC_ASSERT(!member_lease_valid(f->node[0].m, f->now_ns));
		member_tick(f->node[0].m, f->now_ns);
		RC_ASSERT(!member_lease_valid(f->node[0].m, f->now_ns));
		f->node[0].paused_deadline_ns = 0;
		fleet_run(f, 3 * NS_PER_S);
		RC_ASSERT(member_lease_valid(f->node[0].m, f->now_ns));
	});

	return ok ? EXIT_SUCCESS : EXIT_FAILURE;
}
