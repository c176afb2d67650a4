/*
 * Fault matrix: injects every fault at every step of a request, and every pair
 * of faults at the same time, and fails on effects that the faults don't allow.
 * A failed cell prints its seed; TESTBED_TRACE=1 prints all events of the run.
 */
#include "testbed_faults.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <setjmp.h>
#include <stdarg.h>
#include <cmocka.h>

#define MS(x) ((uint64_t)(x)*NS_PER_MS)
#define FAULT_NS MS(23000) /* callers are in steady operation by then */
#define OBSERVE_NS MS(16000) /* after the fault */
#define ARRAY_LEN(a) (sizeof(a) / sizeof((a)[0]))

/**
 * struct step - step of a request at which a fault is injected
 * @name: name of the column
 * @subject: class of the caller under test
 * @point: point at which the fault is injected
 * @part: part of the upload, at POINT_PART
 * @drops_answer: also drop the answer that is about to be sent
 * @during_handover: inject the fault 100 ms after a planned stop of the owner,
 *	at no point of the request
 */
struct step {
	const char *name;
	enum op_class subject;
	enum testbed_point point;
	uint32_t part;
	bool drops_answer;
	bool during_handover;
};

static const struct step steps[] = {
	{ "before request", OP_POST, POINT_SEND, 0, false, false },
	{ "claim is out", OP_POST, POINT_CLAIM, 0, false, false },
	{ "sent", OP_POST, POINT_RUN, 0, false, false },
	{ "answer lost", OP_POST, POINT_ANSWER, 0, true, false },
	{ "in feed", OP_FEED, POINT_OPEN, 0, false, false },
	{ "mid upload", OP_UPLOAD, POINT_PART, 2, false, false },
	{ "handover of another", OP_POST, POINT_SEND, 0, false, true },
};

/* State of the current run; at_step() injects the fault at the step. */
static struct run {
	const struct fault *fault;
	const struct fault *other;
	const struct step *step;
	uint32_t subject;
	uint32_t op;
	bool is_armed;
} run;

static struct fault_nodes nodes_under_test(struct testbed *tb)
{
	struct ring_pair pair = testbed_ring_pair(tb, run.subject);
	struct fault_nodes s = { .owner = testbed_node_index(tb, pair.owner),
				 .second =
					 testbed_node_index(tb, pair.second) };
	const struct op *op = testbed_op(tb, run.op);

	s.target = run.step && run.step->subject == OP_UPLOAD ? 6 : 0;
	if (op->runs > 0)
		s.target = op->target;
	return s;
}

static void inject(struct testbed *tb, uint32_t a, uint32_t b)
{
	struct fault_nodes s = nodes_under_test(tb);

	(void)a;
	(void)b;
	run.fault->apply(tb, &s);
	if (run.other)
		run.other->apply(tb, &s);
}

static bool at_step(void *ctx, struct testbed *tb, enum testbed_point point,
		    uint32_t op, uint32_t arg)
{
	struct ring_pair pair;

	(void)ctx;
	if (!run.is_armed || point != run.step->point)
		return false;
	if (point == POINT_SEND)
		run.op = op;
	pair = testbed_ring_pair(tb, run.subject);
	if (point == POINT_CLAIM ? arg != testbed_node_index(tb, pair.owner)
				 : op != run.op)
		return false;
	if (point == POINT_PART && arg != run.step->part)
		return false;
	run.is_armed = false;
	testbed_schedule(tb, testbed_now(tb), inject, 0, 0);
	return run.step->drops_answer;
}

static void start_request(struct testbed *tb, uint32_t a, uint32_t b)
{
	struct fault_nodes s = nodes_under_test(tb);

	(void)a;
	(void)b;
	if (run.step->during_handover)
		testbed_leave(tb, s.owner, 0);
	run.is_armed = !run.step->during_handover;
	if (run.step->during_handover)
		testbed_schedule(tb, testbed_now(tb) + MS(100), inject, 0, 0);
	run.op = testbed_op_count(tb);
	testbed_caller_start_op(tb, run.subject);
}

static struct testbed *build(uint64_t seed)
{
	struct testbed_plan plan = { .seed = seed,
				     .nodes = FAULT_NODES,
				     .targets = { 6, 3 },
				     .callers = { 24, 12, 12, 8 } };
	struct testbed_hook hook = { .at = at_step };
	struct testbed *tb = testbed_new(&plan);

	testbed_set_hook(tb, hook);
	return tb;
}

/**
 * struct effect_count - number of requests and feeds with one effect
 * @name: name of the effect, as printed
 * @count: how many
 * @allowed_by: bit of enum allowed_effect that allows it; 0: always forbidden
 */
struct effect_count {
	const char *name;
	uint32_t count;
	uint32_t allowed_by;
};

/* Prints the effects that @allow forbids; true when there are none. */
static bool effects_allowed(const struct testbed_verdict *v, uint32_t allow,
			    const char *row, const char *column, uint64_t seed)
{
	const struct effect_count list[] = {
		{ "doubled", v->doubled, 0 },
		{ "misrouted", v->misrouted, 0 },
		{ "false not-run", v->false_not_run, 0 },
		{ "late work", v->work_while_draining, 0 },
		{ "stalled", v->stalled, MAY_STALLED },
		{ "unknown", v->unknown, MAY_UNKNOWN },
		{ "refused", v->refused, MAY_REFUSED },
		{ "lost", v->lost, 100 * v->lost <= v->ops ? MAY_FEW_LOST : 0 },
		{ "cut", v->cut, MAY_CUT },
		{ "broken", v->broken, MAY_BROKEN },
	};
	bool good = v->answered > 0;

	for (size_t i = 0; i < ARRAY_LEN(list); i++) {
		if (list[i].count == 0 || (list[i].allowed_by & allow))
			continue;
		good = false;
		fprintf(stderr, "%s / %s, seed %llu: %s %u of %u\n", row,
			column, (unsigned long long)seed, list[i].name,
			list[i].count, v->ops);
	}
	return good;
}

static bool run_step(const struct fault *fault, const struct step *step,
		     uint64_t seed)
{
	struct testbed *tb = build(seed);
	struct testbed_verdict v;

	run = (struct run){ .fault = fault, .step = step };
	run.subject = testbed_first_caller(tb, step->subject);
	testbed_caller_set_manual(tb, run.subject);
	testbed_schedule(tb, FAULT_NS, start_request, 0, 0);
	testbed_run(tb, FAULT_NS + OBSERVE_NS);
	v = testbed_finish(tb);
	testbed_free(tb);
	assert_false(run.is_armed);
	return effects_allowed(&v, fault->allow, fault->name, step->name, seed);
}

/* When owner and second fail at the same time, no entry knows their feeds. */
static uint32_t effects_of_pair(const struct fault *fault,
				const struct fault *other)
{
	uint32_t allow = fault->allow | other->allow;

	if (fault != other && (fault->allow & other->allow & REMOVES_HOLDER))
		allow |= MAY_BROKEN | MAY_STALLED;
	return allow;
}

static bool run_pair(const struct fault *fault, const struct fault *other,
		     uint64_t seed)
{
	uint32_t allow = effects_of_pair(fault, other);
	struct testbed *tb = build(seed);
	struct testbed_verdict v;

	run = (struct run){ .fault = fault, .other = other };
	testbed_schedule(tb, FAULT_NS, inject, 0, 0);
	testbed_run(tb, FAULT_NS + OBSERVE_NS);
	v = testbed_finish(tb);
	testbed_free(tb);
	return effects_allowed(&v, allow, fault->name, other->name, seed);
}

/* MATRIX_ROW and MATRIX_COLUMN select a single cell, for a trace. */
static bool is_selected(const char *variable, const char *name)
{
	const char *only = getenv(variable);

	return !only || strcmp(only, name) == 0;
}

/* MATRIX_SEED is added to all seeds, to test seeds that CI does not. */
static uint64_t first_seed(void)
{
	const char *seed = getenv("MATRIX_SEED");

	return seed ? strtoull(seed, NULL, 10) : 0;
}

static void fault_at_each_step_has_only_allowed_effects(void **state)
{
	const struct fault *fault = *state;
	bool good = true;

	if (!is_selected("MATRIX_ROW", fault->name))
		skip();
	for (size_t i = 0; i < ARRAY_LEN(steps); i++) {
		if (is_selected("MATRIX_COLUMN", steps[i].name))
			good &= run_step(fault, &steps[i],
					 first_seed() + 100 + i);
	}
	assert_true(good);
}

static void fault_pairs_have_only_allowed_effects(void **state)
{
	const struct fault *fault = *state;
	bool good = true;

	if (!is_selected("MATRIX_ROW", fault->name))
		skip();
	for (size_t i = fault - faults; i < FAULTS; i++) {
		if (is_selected("MATRIX_COLUMN", faults[i].name))
			good &= run_pair(fault, &faults[i],
					 first_seed() + 200 + i);
	}
	assert_true(good);
}

int main(void)
{
	struct CMUnitTest tests[2 * FAULTS];
	size_t n = FAULTS;

	for (size_t i = 0; i < n; i++) {
		tests[i] = (struct CMUnitTest){
			faults[i].name,
			fault_at_each_step_has_only_allowed_effects, NULL, NULL,
			(void *)&faults[i]
		};
		tests[n + i] = tests[i];
		tests[n + i].test_func = fault_pairs_have_only_allowed_effects;
	}
	return cmocka_run_group_tests(tests, NULL, NULL);
}
