// Properties of the ring over random live sets.
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
	bool broken = false;

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
			self->broken |= entered(before, after) > 1 ||
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

	void rest(const Set &live)
	{
		while (ring_next_ns(r) != UINT64_MAX)
			update(live, kSettleNs);
	}
};

bool has(ring_pair p, uint64_t v)
{
	return v && (p.owner == v || p.second == v);
}

bool intersect(ring_pair a, ring_pair b)
{
	return has(a, b.owner) || has(a, b.second);
}

bool same(ring_pair a, ring_pair b)
{
	return a.owner == b.owner && a.second == b.second;
}

Set some_set()
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

uint32_t some_vm()
{
	return *rc::gen::inRange<uint32_t>(0, kVms);
}

} // namespace

int main()
{
	bool ok = true;

	/*
	 * Symptom: two entries with the same view send a flow to two owners.
	 * Events: they came to the view by other sequences of joins and
	 * deaths. Cause: incremental placement that depends on history.
	 */
	ok &= rc::check("rest is the same by any way", [] {
		Ring a, b;
		Set live = some_set();
		uint32_t steps = *rc::gen::inRange<uint32_t>(1, 30);

		for (uint32_t k = 0; k < steps; k++) {
			live = toggled(live, some_vm());
			a.update(live,
				 *rc::gen::inRange<uint64_t>(0, 2 * kSettleNs));
		}
		a.rest(live);
		b.update(live, 0);
		for (uint32_t i = 0; i < kBuckets; i++)
			RC_ASSERT(same(ring_current_pair(a.r, i), ring_current_pair(b.r, i)));
	});

	/*
	 * Symptom: a request runs twice. Events: many changes at once, however
	 * close. Cause: a pair that loses both members within a settle time.
	 */
	ok &= rc::check("one member a bucket a settle time", [] {
		Ring a;
		Set live = some_set();
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
				live = toggled(live, some_vm());
			a.update(live, after);
			RC_ASSERT(!a.broken);
			for (uint32_t i = 0; i < kBuckets; i++) {
				if (same(before[i], ring_current_pair(a.r, i)))
					continue;
				if (last[i])
					RC_ASSERT(a.now_ns - last[i] >=
						  kSettleNs);
				last[i] = a.now_ns;
			}
		}
	});

	/*
	 * Symptom: as above. Events: one entry has heard of a change that
	 * another has yet to hear of. Cause: pairs without a common member.
	 */
	ok &= rc::check("views one change apart share a member", [] {
		Ring a, b;
		Set live = some_set();
		uint32_t steps = *rc::gen::inRange<uint32_t>(1, 12);

		a.update(live, 0);
		b.update(live, 0);
		for (uint32_t k = 0; k < steps; k++) {
			uint64_t lag =
				*rc::gen::inRange<uint64_t>(0, kSettleNs);

			live = toggled(live, some_vm());
			a.update(live, lag);
			for (uint32_t i = 0; i < kBuckets; i++)
				RC_ASSERT(intersect(ring_current_pair(a.r, i),
						    ring_current_pair(b.r, i)));
			b.now_ns = a.now_ns;
			b.update(live, lag);
			a.now_ns = b.now_ns;
			a.rest(live);
			b.rest(live);
		}
	});

	/*
	 * Symptom: as above, when a rack dies. Events: one entry hears of all
	 * deaths at once, another of none yet. Cause: a pair that loses both
	 * members in one step.
	 */
	ok &= rc::check("deaths heard by one entry leave a member", [] {
		Ring a, b;
		Set live, heard;

		for (uint32_t i = 0; i < kVms; i++)
			live.insert(i);
		a.update(live, 0);
		b.update(live, 0);
		heard = live;
		for (uint32_t n = *rc::gen::inRange(1, 12); n--;)
			heard.erase(some_vm());
		a.update(heard, kSettleNs);
		for (uint32_t i = 0; i < kBuckets; i++)
			RC_ASSERT(intersect(ring_current_pair(a.r, i), ring_current_pair(b.r, i)));
	});

	/*
	 * As above, but each entry has heard of some of the deaths. Two pairs
	 * may then be apart; one of them still has a dead member, which can't
	 * grant a claim.
	 */
	ok &= rc::check("deaths half heard leave a member or no grant", [] {
		Ring a, b;
		Set live, heard_a, heard_b, dead;

		for (uint32_t i = 0; i < kVms; i++)
			live.insert(i);
		a.update(live, 0);
		b.update(live, 0);
		heard_a = heard_b = live;
		for (uint32_t n = *rc::gen::inRange(1, 12); n--;) {
			uint32_t i = some_vm();

			dead.insert(i);
			if (*rc::gen::arbitrary<bool>())
				heard_a.erase(i);
			if (*rc::gen::arbitrary<bool>())
				heard_b.erase(i);
		}
		a.update(heard_a, kSettleNs);
		b.update(heard_b, kSettleNs);
		for (uint32_t i = 0; i < kBuckets; i++) {
			bool stuck = false;

			for (uint32_t d : dead)
				stuck |= has(ring_current_pair(a.r, i), vm(d)) ||
					 has(ring_current_pair(b.r, i), vm(d));
			RC_ASSERT(stuck ||
				  intersect(ring_current_pair(a.r, i), ring_current_pair(b.r, i)));
		}
	});

	/*
	 * Symptom: flows move that need not. Events: one entry joins or dies.
	 * Cause: placement that shifts buckets of entries not concerned.
	 */
	ok &= rc::check("a change moves only its own buckets", [] {
		Ring a;
		Set live = some_set();
		uint32_t i = some_vm();
		std::vector<ring_pair> before;

		a.update(live, 0);
		for (uint32_t b = 0; b < kBuckets; b++)
			before.push_back(ring_current_pair(a.r, b));
		a.update(toggled(live, i), kSettleNs);
		for (uint32_t b = 0; b < kBuckets; b++)
			RC_ASSERT(same(before[b], ring_current_pair(a.r, b)) ||
				  has(before[b], vm(i)) ||
				  has(ring_current_pair(a.r, b), vm(i)));
	});

	return ok ? EXIT_SUCCESS : EXIT_FAILURE;
}
