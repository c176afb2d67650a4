// Properties of the ring with random sets of live VMs.
extern "C" {
#include "ring.h"
}

#include <rapidcheck.h>

#include <cstdlib>
#include <set>
#include <vector>

namespace
{

constexpr uint32_t kBuckets = 256;
constexpr uint32_t kVms = 24;
constexpr uint64_t kSettleNs = 500 * NS_PER_MS;
constexpr uint64_t kCoverNs = 93 * NS_PER_S;

using Set = std::set<uint32_t>;

uint64_t vm(uint32_t i)
{
	return ADDR(0x7f320000U + i + 1, 7000);
}

struct Ring {
	struct ring *r;
	uint64_t now_ns = NS_PER_S;
	uint32_t changes = 0;
	bool changed_two_members = false;

	static uint32_t entered(ring_pair a, ring_pair b)
	{
		uint32_t n = 0;

		n += b.owner && b.owner != a.owner && b.owner != a.second;
		n += b.second && b.second != a.owner && b.second != a.second;
		return n;
	}

	static void changed(void *ctx, uint32_t, ring_pair before,
			    ring_pair after)
	{
		Ring *self = static_cast<Ring *>(ctx);

		self->changes++;
		if (before.owner)
			self->changed_two_members |=
				entered(before, after) > 1 ||
				entered(after, before) > 1;
	}

	Ring()
	{
		ring_observer watch = { this, changed };

		r = ring_new(kBuckets, vm(0), kSettleNs, kCoverNs, watch);
	}
	Ring(const Ring &) = delete;
	~Ring()
	{
		ring_free(r);
	}

	void update(const Set &live, uint64_t after_ns)
	{
		std::vector<uint64_t> vms;

		for (uint32_t i : live)
			vms.push_back(vm(i));
		now_ns += after_ns;
		ring_update(r, vms.data(), vms.size(), now_ns);
	}

	void settle(const Set &live)
	{
		while (ring_next_ns(r) != UINT64_MAX)
			update(live, kSettleNs);
	}
};

bool pair_contains(ring_pair p, uint64_t v)
{
	return v && (p.owner == v || p.second == v);
}

bool pairs_intersect(ring_pair a, ring_pair b)
{
	return pair_contains(a, b.owner) || pair_contains(a, b.second);
}

bool pairs_equal(ring_pair a, ring_pair b)
{
	return a.owner == b.owner && a.second == b.second;
}

Set any_set()
{
	auto members = *rc::gen::container<std::vector<uint32_t>>(
		rc::gen::inRange<uint32_t>(0, kVms));

	members.push_back(*rc::gen::inRange<uint32_t>(0, kVms));
	return Set(members.begin(), members.end());
}

Set toggled(Set live, uint32_t i)
{
	if (!live.erase(i))
		live.insert(i);
	if (live.empty())
		live.insert(i);
	return live;
}

uint32_t any_vm()
{
	return *rc::gen::inRange<uint32_t>(0, kVms);
}

} // namespace

int main()
{
	bool ok = true;

	/*
	 * Guards against entries with the same view that forward a flow to
	 * different owners, because pairs depend on the order of joins and
	 * deaths.
	 */
	ok &= rc::check("settled pairs ignore the order of changes", [] {
		Ring a, b;
		Set live = any_set();
		uint32_t steps = *rc::gen::inRange<uint32_t>(1, 30);

		for (uint32_t k = 0; k < steps; k++) {
			live = toggled(live, any_vm());
			a.update(live,
				 *rc::gen::inRange<uint64_t>(0, 2 * kSettleNs));
		}
		a.settle(live);
		b.update(live, 0);
		for (uint32_t i = 0; i < kBuckets; i++)
			RC_ASSERT(pairs_equal(ring_current_pair(a.r, i),
					      ring_current_pair(b.r, i)));
	});

	/*
	 * Guards against a request that runs twice because many changes at once
	 * replace both members of a pair within a settle time.
	 */
	ok &= rc::check("a pair changes by one member per settle time", [] {
		Ring a;
		Set live = any_set();
		std::vector<uint64_t> last(kBuckets, 0);
		uint32_t steps = *rc::gen::inRange<uint32_t>(1, 20);

		a.update(live, 0);
		for (uint32_t k = 0; k < steps; k++) {
			std::vector<ring_pair> before;
			uint64_t after =
				*rc::gen::inRange<uint64_t>(0, kSettleNs);

			for (uint32_t i = 0; i < kBuckets; i++)
				before.push_back(ring_current_pair(a.r, i));
			for (uint32_t n = *rc::gen::inRange(1, 6); n--;)
				live = toggled(live, any_vm());
			a.update(live, after);
			RC_ASSERT(!a.changed_two_members);
			for (uint32_t i = 0; i < kBuckets; i++) {
				if (pairs_equal(before[i],
						ring_current_pair(a.r, i)))
					continue;
				if (last[i])
					RC_ASSERT(a.now_ns - last[i] >=
						  kSettleNs);
				last[i] = a.now_ns;
			}
		}
	});

	/*
	 * Guards against the same when one entry has received a change that
	 * another has not: their pairs need a common member.
	 */
	ok &= rc::check("views that differ by one change share a member", [] {
		Ring a, b;
		Set live = any_set();
		uint32_t steps = *rc::gen::inRange<uint32_t>(1, 12);

		a.update(live, 0);
		b.update(live, 0);
		for (uint32_t k = 0; k < steps; k++) {
			uint64_t lag =
				*rc::gen::inRange<uint64_t>(0, kSettleNs);

			live = toggled(live, any_vm());
			a.update(live, lag);
			for (uint32_t i = 0; i < kBuckets; i++)
				RC_ASSERT(pairs_intersect(
					ring_current_pair(a.r, i),
					ring_current_pair(b.r, i)));
			b.now_ns = a.now_ns;
			b.update(live, lag);
			a.now_ns = b.now_ns;
			a.settle(live);
			b.settle(live);
		}
	});

	/*
	 * Guards against the same when a rack dies and one entry has received
	 * all deaths, another none: a pair must not lose both members in one
	 * step.
	 */
	ok &= rc::check("deaths known to one entry leave a common member", [] {
		Ring a, b;
		Set live, view;

		for (uint32_t i = 0; i < kVms; i++)
			live.insert(i);
		a.update(live, 0);
		b.update(live, 0);
		view = live;
		for (uint32_t n = *rc::gen::inRange(1, 12); n--;)
			view.erase(any_vm());
		a.update(view, kSettleNs);
		for (uint32_t i = 0; i < kBuckets; i++)
			RC_ASSERT(pairs_intersect(ring_current_pair(a.r, i),
						  ring_current_pair(b.r, i)));
	});

	/*
	 * As above, but each entry has received some of the deaths. Two pairs
	 * without a common member are possible then; one of them still contains
	 * a dead member, so its claims are not granted.
	 */
	ok &= rc::check("deaths known in part leave a member or no grant", [] {
		Ring a, b;
		Set live, view_a, view_b, dead;

		for (uint32_t i = 0; i < kVms; i++)
			live.insert(i);
		a.update(live, 0);
		b.update(live, 0);
		view_a = view_b = live;
		for (uint32_t n = *rc::gen::inRange(1, 12); n--;) {
			uint32_t i = any_vm();

			dead.insert(i);
			if (*rc::gen::arbitrary<bool>())
				view_a.erase(i);
			if (*rc::gen::arbitrary<bool>())
				view_b.erase(i);
		}
		a.update(view_a, kSettleNs);
		b.update(view_b, kSettleNs);
		for (uint32_t i = 0; i < kBuckets; i++) {
			bool has_dead_member = false;

			for (uint32_t d : dead)
				has_dead_member |=
					pair_contains(ring_current_pair(a.r, i),
						      vm(d)) ||
					pair_contains(ring_current_pair(b.r, i),
						      vm(d));
			RC_ASSERT(has_dead_member ||
				  pairs_intersect(ring_current_pair(a.r, i),
						  ring_current_pair(b.r, i)));
		}
	});

	/*
	 * Guards against flows that move without need when one entry joins or
	 * dies, because buckets of other entries are assigned again too.
	 */
	ok &= rc::check("a join or a death moves only buckets of that VM", [] {
		Ring a;
		Set live = any_set();
		uint32_t i = any_vm();
		std::vector<ring_pair> before;

		a.update(live, 0);
		for (uint32_t b = 0; b < kBuckets; b++)
			before.push_back(ring_current_pair(a.r, b));
		a.update(toggled(live, i), kSettleNs);
		for (uint32_t b = 0; b < kBuckets; b++)
			RC_ASSERT(pairs_equal(before[b],
					      ring_current_pair(a.r, b)) ||
				  pair_contains(before[b], vm(i)) ||
				  pair_contains(ring_current_pair(a.r, b),
						vm(i)));
	});

	return ok ? EXIT_SUCCESS : EXIT_FAILURE;
}
