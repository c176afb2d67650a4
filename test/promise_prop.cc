/*
 * One property for each guarantee to clients, under random schedules of faults
 * on the test bed. A failure prints the schedule as RapidCheck shrank it.
 */
#include <rapidcheck.h>

#include <cstdlib>
#include <ostream>
#include <vector>

/* The C headers use this C++ keyword as an identifier. */
#define class class_
#include "testbed.h"
#undef class

namespace
{

constexpr uint32_t NODES = 6;
constexpr uint32_t TARGETS = 7;
constexpr uint32_t STEPS_MAX = 5;
constexpr uint64_t BEGIN_NS = 19000 * NS_PER_MS;
constexpr uint64_t SPAN_MS = 6000;
constexpr uint64_t OBSERVE_NS = 14000 * NS_PER_MS;

enum kind {
	LEAVE,
	JOIN,
	DRAIN,
	PUBLISH,
	LIST_LAG,
	PLANNED_KINDS,
	DUPLICATE = PLANNED_KINDS,
	REORDER,
	LOSSLESS_KINDS,
	KILL = LOSSLESS_KINDS,
	FREEZE,
	CUT,
	SPLIT,
	CUT_TARGET,
	CUT_PLATFORM,
	TARGET_CRASH,
	TARGET_MODE,
	DROP,
	KINDS
};

struct step {
	uint32_t at_ms;
	uint32_t kind;
	uint32_t a;
	uint32_t b;
};

struct schedule {
	uint32_t seed;
	std::vector<step> steps;
};

std::ostream &operator<<(std::ostream &out, const step &s)
{
	static const char *const names[KINDS] = {
		"leave",	"join",	     "drain",	    "publish",
		"list lag",	"duplicate", "reorder",	    "kill",
		"freeze",	"cut",	     "split",	    "cut target",
		"cut platform", "crash",     "target mode", "drop",
	};

	return out << s.at_ms << " ms " << names[s.kind] << " " << s.a << " "
		   << s.b;
}

rc::Gen<step> step_between(uint32_t from, uint32_t to)
{
	return rc::gen::build<step>(
		rc::gen::set(&step::at_ms,
			     rc::gen::inRange<uint32_t>(0, SPAN_MS)),
		rc::gen::set(&step::kind, rc::gen::inRange(from, to)),
		rc::gen::set(&step::a, rc::gen::inRange<uint32_t>(0, 35)),
		rc::gen::set(&step::b, rc::gen::inRange<uint32_t>(0, 35)));
}

schedule draw_schedule(uint32_t from, uint32_t to)
{
	schedule s;

	s.seed = *rc::gen::inRange<uint32_t>(1, 1 << 30).as("seed");
	s.steps = *rc::gen::resize(STEPS_MAX,
				   rc::gen::container<std::vector<step>>(
					   step_between(from, to)))
			   .as("steps");
	return s;
}

void all_links(struct testbed *f, struct link_faults faults)
{
	testbed_link(f, LINK_UP, faults);
	testbed_link(f, LINK_DOWN, faults);
	testbed_link(f, LINK_PEER, faults);
}

void link_duplicates(struct testbed *f, uint32_t, uint32_t)
{
	all_links(f, { 0, 300, 0 });
}

void link_reorders(struct testbed *f, uint32_t, uint32_t)
{
	all_links(f, { 0, 0, 500 });
}

void link_drops(struct testbed *f, uint32_t, uint32_t)
{
	all_links(f, { 100, 0, 0 });
}

void join(struct testbed *f, uint32_t, uint32_t)
{
	if (testbed_nodes(f) < TESTBED_NODES_MAX)
		testbed_start(f, testbed_nodes(f), 0);
}

/* Partition the entries in two by the bits of @sides, or end that. */
void split(struct testbed *f, uint32_t sides, uint32_t on)
{
	for (uint32_t i = 0; i < TESTBED_NODES_MAX; i++) {
		for (uint32_t k = 0; k < i; k++) {
			if (((sides >> i % NODES) ^ (sides >> k % NODES)) % 2)
				(on ? testbed_cut : testbed_mend)(f, i, k);
		}
	}
}

/* Two entries and a target of each service are never affected. */
void schedule_step(struct testbed *f, const step &s)
{
	const uint32_t node = s.a % (NODES - 2);
	const uint32_t other = node + 1 + s.b % (NODES - 1 - node);
	const uint32_t target = s.a % 3 + s.b % 2 * 4;
	const struct {
		testbed_fault *begin;
		uint32_t a, b;
		testbed_fault *end;
		uint32_t end_b;
	} table[KINDS] = {
		{ testbed_leave, node, 0, nullptr, 0 },
		{ join, 0, 0, nullptr, 0 },
		{ testbed_drain, target, 50 * s.b, nullptr, 0 },
		{ testbed_publish, 50 * s.b, 0, nullptr, 0 },
		{ testbed_list_lag_ms, 1000 * s.a, 0, nullptr, 0 },
		{ link_duplicates, 0, 0, nullptr, 0 },
		{ link_reorders, 0, 0, nullptr, 0 },
		{ testbed_kill, node, 0, testbed_start, 0 },
		{ testbed_freeze, node, 300 * s.b, nullptr, 0 },
		{ testbed_cut, node, other, testbed_mend, other },
		{ split, s.a, 1, split, 0 },
		{ testbed_cut_target, node, target, testbed_mend_target,
		  target },
		{ testbed_cut_platform, node, 0, testbed_mend_platform, 0 },
		{ testbed_target_crash, target, 0, testbed_target_start, 0 },
		{ testbed_target_mode, target, s.b % 5, testbed_target_mode,
		  0 },
		{ link_drops, 0, 0, nullptr, 0 },
	};
	const auto &t = table[s.kind];
	const uint64_t at_ns = BEGIN_NS + s.at_ms * NS_PER_MS;

	testbed_at(f, at_ns, t.begin, t.a, t.b);
	if (t.end)
		testbed_at(f, at_ns + 200 * NS_PER_MS * s.b, t.end, t.a,
			   t.end_b);
}

struct testbed_verdict run_schedule(const schedule &s)
{
	struct testbed_plan plan = {};

	plan.seed = s.seed;
	plan.nodes = NODES;
	plan.targets[0] = 4;
	plan.targets[1] = TARGETS - 4;
	plan.callers[OP_FEED] = 8;
	plan.callers[OP_GET] = 4;
	plan.callers[OP_POST] = 12;
	plan.callers[OP_UPLOAD] = 4;
	struct testbed *f = testbed_new(&plan);

	for (const step &each : s.steps)
		schedule_step(f, each);
	testbed_run(f, BEGIN_NS + OBSERVE_NS);
	const struct testbed_verdict v = testbed_finish(f);

	testbed_free(f);
	RC_ASSERT(v.answered > 0u);
	return v;
}

} // namespace

int main()
{
	bool good = true;

	good &= rc::check("an open feed survives planned changes", [] {
		const auto v = run_schedule(draw_schedule(0, PLANNED_KINDS));

		RC_ASSERT(v.broken == 0u);
		RC_ASSERT(v.stalled == 0u);
	});
	good &= rc::check("a request reaches only targets of its service", [] {
		const auto v = run_schedule(draw_schedule(0, KINDS));

		RC_ASSERT(v.misrouted == 0u);
	});
	good &= rc::check(
		"delayed and mismatched answers reach their caller", [] {
			const auto v = run_schedule(
				draw_schedule(DUPLICATE, LOSSLESS_KINDS));

			RC_ASSERT(v.misrouted == 0u);
			RC_ASSERT(v.lost + v.cut + v.unknown + v.refused == 0u);
		});
	good &= rc::check("a request reported as not run did not run", [] {
		const auto v = run_schedule(draw_schedule(0, KINDS));

		RC_ASSERT(v.false_not_run == 0u);
	});
	good &= rc::check("a non-idempotent request runs at most once", [] {
		auto s = draw_schedule(0, KINDS);

		s.steps.push_back({ 0, SPLIT, s.seed % 64, 35 });
		const auto v = run_schedule(s);

		RC_ASSERT(v.doubled == 0u);
	});
	good &= rc::check("a draining target gets no new work after 3 s", [] {
		auto s = draw_schedule(0, KINDS);

		s.steps.push_back({ 0, DRAIN, 0, 20 });
		s.steps.push_back({ 0, DRAIN, 0, 21 });
		const auto v = run_schedule(s);

		RC_ASSERT(v.late_work == 0u);
	});
	good &= rc::check(
		"a planned stop interrupts no request in progress", [] {
			const auto v =
				run_schedule(draw_schedule(0, PLANNED_KINDS));

			RC_ASSERT(v.lost + v.cut + v.unknown == 0u);
		});
	return good ? EXIT_SUCCESS : EXIT_FAILURE;
}
