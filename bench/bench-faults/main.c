/*
 * Compares what callers lose by each fault under cactusbeam and under two
 * baselines, on the simulated test bed with the same seeds. Prints a table and
 * one line of JSON.
 */
#include "baseline.h"

#include "../../test/testbed_faults.h"

#include <argtable2.h>
#include <stdio.h>
#include <stdlib.h>

#define FAULT_NS (23 * NS_PER_S)
#define RUN_NS (39 * NS_PER_S)
#define FINISH_NS (14 * NS_PER_S)
#define LIST_LAG_MS 2000 /* delay from a change to the platform's list of VMs */
#define ARRAY_LEN(a) (sizeof(a) / sizeof((a)[0]))

enum { PRODUCT, MODULO, CONSISTENT, SYSTEMS };

static const struct {
	const char *name;
	const struct testbed_system *system;
} systems[SYSTEMS] = {
	[PRODUCT] = { "cactusbeam", &testbed_product },
	[MODULO] = { "modulo", &baseline_modulo },
	[CONSISTENT] = { "consistent", &baseline_consistent },
};

/*
 * Weights of a broken flow by class, and of broken flows relative to imbalance.
 * Ventolario counts reports double and gives imbalance more weight; Tshwane
 * gives broken flows more weight. "More" stands for a factor of two.
 */
static const struct {
	const char *name;
	double by_class[OP_CLASSES];
	double broken;
	double imbalance;
} deployments[] = {
	{ "tshwane", { 1, 1, 1, 1 }, 2, 1 },
	{ "ventolario", { 1, 1, 2, 1 }, 1, 2 },
};

/**
 * struct tally - sums over the runs of one system
 * @v: sums of the counters of the runs' verdicts
 * @broken: broken flows by enum op_class
 * @unknown: flows by class that ended with "outcome unknown"; part of @broken
 * @imbalance: sum over the runs of the busiest target's work over the mean
 * @runs: number of runs
 */
struct tally {
	struct testbed_verdict v;
	uint32_t broken[OP_CLASSES];
	uint32_t unknown[OP_CLASSES];
	double imbalance;
	uint32_t runs;
};

/*
 * "Outcome unknown" counts as broken, as it leaves the caller without an
 * answer.
 */
static bool is_broken(const struct op *op)
{
	bool idempotent = op->class_ == OP_FEED || op->class_ == OP_GET;

	return op->broken || op->mismatched || op->wrong_service ||
	       op->result == OP_LOST || op->result == OP_CUT ||
	       op->result == OP_UNKNOWN || op->result == OP_PENDING ||
	       (op->result == OP_REFUSED && op->runs > 0) ||
	       (!idempotent && op->runs > 1);
}

/*
 * Work of the busiest target over the mean, of the worse of the two services.
 */
static double imbalance(const struct testbed_verdict *v,
			const uint32_t *targets)
{
	double worst = 1;
	uint32_t at = 0;

	for (uint32_t s = 0; s < TESTBED_SERVICES; s++) {
		double sum = 0;
		double most = 0;

		for (uint32_t i = 0; i < targets[s]; i++, at++) {
			sum += v->target_runs[at];
			most = v->target_runs[at] > most ? v->target_runs[at]
							 : most;
		}
		if (sum > 0 && most * targets[s] / sum > worst)
			worst = most * targets[s] / sum;
	}
	return worst;
}

static void tally_add(struct tally *t, struct testbed *f,
		      const struct testbed_verdict *v, const uint32_t *targets)
{
	for (uint32_t i = 0; i < testbed_op_count(f); i++) {
		const struct op *op = testbed_op(f, i);

		t->broken[op->class_] += is_broken(op);
		t->unknown[op->class_] += op->result == OP_UNKNOWN;
	}
	t->v.ops += v->ops;
	t->v.broken += v->broken;
	t->v.lost += v->lost;
	t->v.cut += v->cut;
	t->v.doubled += v->doubled;
	t->v.misrouted += v->misrouted;
	t->v.false_not_run += v->false_not_run;
	t->v.unknown += v->unknown;
	t->v.refused += v->refused;
	t->v.caller_dgrams += v->caller_dgrams;
	t->v.forwards += v->forwards;
	t->v.peer_bytes += v->peer_bytes;
	t->imbalance += imbalance(v, targets);
	t->runs++;
}

static void run(struct tally *row, struct tally *total,
		const struct testbed_system *system, const struct fault *fault,
		uint64_t seed)
{
	struct testbed_plan plan = { .seed = seed,
				     .nodes = FAULT_NODES,
				     .targets = { 6, 3 },
				     .callers = { 40, 20, 24, 12 },
				     .system = system };
	struct testbed *f = testbed_new(&plan);
	struct testbed_verdict v;
	struct fault_nodes scene;

	testbed_set_list_lag(f, LIST_LAG_MS, 0);
	testbed_run(f, FAULT_NS);
	scene.owner = testbed_node_index(f, testbed_ring_pair(f, 0).owner);
	scene.second = testbed_node_index(f, testbed_ring_pair(f, 0).second);
	scene.target = testbed_op(f, 0)->target;
	fault->apply(f, &scene);
	testbed_run(f, RUN_NS);
	v = testbed_finish(f);
	tally_add(row, f, &v, plan.targets);
	tally_add(total, f, &v, plan.targets);
	testbed_free(f);
}

static double bytes_per_s(const struct tally *t)
{
	double s = (double)(RUN_NS + FINISH_NS) / NS_PER_S;

	return t->v.peer_bytes / s / FAULT_NODES / t->runs;
}

static void print_row(const char *fault, const char *system,
		      const struct tally *t)
{
	const struct testbed_verdict *v = &t->v;

	printf("%-24s %-11s %6u %6u %5u %5u %7u %5u %5u %7u %7u %5.2f %6.0f\n",
	       fault, system, v->ops, v->broken, v->lost, v->cut, v->doubled,
	       v->misrouted, v->false_not_run, v->unknown, v->refused,
	       v->caller_dgrams ? (double)v->forwards / v->caller_dgrams : 0,
	       bytes_per_s(t));
}

static double weighted_per_1000(const struct tally *t, const uint32_t *count,
				size_t d)
{
	double sum = 0;

	for (int c = 0; c < OP_CLASSES; c++)
		sum += deployments[d].by_class[c] * count[c];
	return 1000 * sum / t->v.ops;
}

static double weighted_broken(const struct tally *t, size_t d)
{
	return weighted_per_1000(t, t->broken, d);
}

/* Weighted cost relative to a baseline; below 1, cactusbeam is better. */
static double ratio(const struct tally *t, const struct tally *base, size_t d)
{
	double wb = deployments[d].broken;
	double wi = deployments[d].imbalance;
	double broken = weighted_broken(base, d);
	double over = base->imbalance / base->runs - 1;
	double sum = 0;

	if (broken > 0)
		sum += wb * weighted_broken(t, d) / broken;
	if (over > 0)
		sum += wi * (t->imbalance / t->runs - 1) / over;
	return sum / (wb + wi);
}

static void print_summary(const struct tally total[SYSTEMS])
{
	for (int s = 0; s < SYSTEMS; s++)
		print_row("all faults", systems[s].name, &total[s]);
	printf("\n%-12s %-11s %22s %8s %11s %8s %8s\n", "deployment", "system",
	       "broken flows per 1000", "unknown", "imbalance", "/modulo",
	       "/consist");
	for (size_t d = 0; d < ARRAY_LEN(deployments); d++) {
		for (int s = 0; s < SYSTEMS; s++)
			printf("%-12s %-11s %22.3f %8.3f %11.3f %8.3f %8.3f\n",
			       deployments[d].name, systems[s].name,
			       weighted_broken(&total[s], d),
			       weighted_per_1000(&total[s], total[s].unknown,
						 d),
			       total[s].imbalance / total[s].runs,
			       ratio(&total[s], &total[MODULO], d),
			       ratio(&total[s], &total[CONSISTENT], d));
	}
}

static void print_json(const struct tally total[SYSTEMS], int seeds)
{
	printf("{\"bench\":\"faults\",\"seeds\":%d", seeds);
	for (int s = 0; s < SYSTEMS; s++) {
		const struct testbed_verdict *v = &total[s].v;

		printf(",\"%s\":{\"ops\":%u,\"broken\":%u,\"lost\":%u,"
		       "\"cut\":%u,\"doubled\":%u,\"misrouted\":%u,"
		       "\"false_not_run\":%u,\"unknown\":%u,\"refused\":%u,"
		       "\"extra_hops\":%.3f,\"peer_bytes_per_s\":%.0f}",
		       systems[s].name, v->ops, v->broken, v->lost, v->cut,
		       v->doubled, v->misrouted, v->false_not_run, v->unknown,
		       v->refused, (double)v->forwards / v->caller_dgrams,
		       bytes_per_s(&total[s]));
	}
	printf("}\n");
}

static void run_all(int seeds)
{
	struct tally total[SYSTEMS] = { 0 };

	printf("%-24s %-11s %6s %6s %5s %5s %7s %5s %5s %7s %7s %5s %6s\n",
	       "fault", "system", "ops", "broken", "lost", "cut", "doubled",
	       "misrt", "false", "unknown", "refused", "hops", "B/s");
	for (int i = 0; i < FAULTS; i++) {
		for (int s = 0; s < SYSTEMS; s++) {
			struct tally t = { 0 };

			for (int k = 1; k <= seeds; k++)
				run(&t, &total[s], systems[s].system,
				    &faults[i], k);
			print_row(faults[i].name, systems[s].name, &t);
		}
	}
	print_summary(total);
	print_json(total, seeds);
}

int main(int argc, char **argv)
{
	struct arg_int *seeds = arg_int0(NULL, "seeds", "N", "runs a fault");
	struct arg_lit *help = arg_lit0("h", "help", "print this and exit");
	struct arg_end *end = arg_end(5);
	void *table[] = { seeds, help, end };
	int status = EXIT_SUCCESS;

	seeds->ival[0] = 3;
	if (arg_parse(argc, argv, table) > 0 || seeds->ival[0] < 1) {
		arg_print_errors(stderr, end, "bench-faults");
		status = 2;
	} else if (help->count > 0) {
		arg_print_glossary(stdout, table, "  %-20s %s\n");
	} else {
		run_all(seeds->ival[0]);
	}
	arg_freetable(table, ARRAY_LEN(table));
	return status;
}
