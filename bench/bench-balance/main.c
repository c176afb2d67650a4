/*
 * bench-balance: compares cactusbeam's selection of targets with round robin,
 * plain hashing, local least-loaded and power of two random choices, over the
 * same callers. An argument selects a deployment, a scenario, "feeds" or
 * "change".
 */
#include "changes.h"
#include "feeds.h"
#include "model.h"

#include <stdio.h>
#include <string.h>

#define S NS_PER_S
#define MS NS_PER_MS

static const struct policy *const POLICIES[] = {
	&policy_balancer, &policy_round, &policy_hash,
	&policy_least,	  &policy_two,
};
#define N_POLICIES (sizeof(POLICIES) / sizeof(POLICIES[0]))

/* Services of the deployments, without load and incidents. */
static const struct scenario SERVICES[] = {
	{ .deployment = "ventolario-forecast",
	  .n_entries = 8,
	  .n_targets = 15,
	  .slots = 4,
	  .delay_ns = MS / 2,
	  .service_ns = 50 * MS },
	{ .deployment = "ventolario-ingest",
	  .n_entries = 8,
	  .n_targets = 4,
	  .slots = 4,
	  .delay_ns = MS / 2,
	  .service_ns = 50 * MS },
	{ .deployment = "tshwane-control",
	  .n_entries = 7,
	  .n_targets = 15,
	  .slots = 2,
	  .delay_ns = 3 * MS / 2,
	  .service_ns = 50 * MS },
	{ .deployment = "tshwane-records",
	  .n_entries = 7,
	  .n_targets = 4,
	  .slots = 2,
	  .delay_ns = 3 * MS / 2,
	  .service_ns = 50 * MS },
};
#define N_SERVICES (sizeof(SERVICES) / sizeof(SERVICES[0]))

/* Load and incidents, combined with each service. */
static const struct scenario SCENARIOS[] = {
	{ .name = "quiet",
	  .load_milli = 300,
	  .warmup_ns = 2 * S,
	  .end_ns = 42 * S },
	{ .name = "busy",
	  .load_milli = 700,
	  .warmup_ns = 2 * S,
	  .end_ns = 42 * S },
	{ .name = "wake",
	  .load_milli = 200,
	  .peak_milli = 2000,
	  .peak_ns = 10 * S,
	  .peak_end_ns = 15 * S,
	  .warmup_ns = 10 * S,
	  .end_ns = 40 * S },
	{ .name = "burst",
	  .load_milli = 200,
	  .peak_milli = 8000,
	  .peak_ns = 10 * S,
	  .peak_end_ns = 10 * S + 250 * MS,
	  .warmup_ns = 10 * S,
	  .end_ns = 40 * S },
	{ .name = "join",
	  .load_milli = 700,
	  .join_ns = 10 * S,
	  .warmup_ns = 10 * S,
	  .end_ns = 40 * S },
	{ .name = "crawl",
	  .load_milli = 600,
	  .slow_from_ns = 5 * S,
	  .warmup_ns = 5 * S,
	  .end_ns = 45 * S },
	{ .name = "lie",
	  .load_milli = 700,
	  .reports_idle = true,
	  .warmup_ns = 2 * S,
	  .end_ns = 42 * S },
	{ .name = "skew",
	  .load_milli = 600,
	  .is_skewed = true,
	  .warmup_ns = 2 * S,
	  .end_ns = 42 * S },
};
#define N_SCENARIOS (sizeof(SCENARIOS) / sizeof(SCENARIOS[0]))

static const struct scenario LARGE_SCENARIOS[] = {
	{ .deployment = "growth-8",
	  .name = "busy",
	  .n_entries = 8,
	  .n_targets = 5400,
	  .slots = 2,
	  .delay_ns = MS / 2,
	  .service_ns = 50 * MS,
	  .load_milli = 700,
	  .warmup_ns = 2 * S,
	  .end_ns = 5 * S },
	{ .deployment = "growth-458",
	  .name = "busy",
	  .n_entries = 458,
	  .n_targets = 5400,
	  .slots = 2,
	  .delay_ns = MS / 2,
	  .service_ns = 50 * MS,
	  .load_milli = 700,
	  .warmup_ns = 2 * S,
	  .end_ns = 5 * S },
	{ .deployment = "growth-small",
	  .name = "busy",
	  .n_entries = 458,
	  .n_targets = 6,
	  .slots = 2,
	  .delay_ns = MS / 2,
	  .service_ns = 50 * MS,
	  .load_milli = 700,
	  .warmup_ns = 10 * S,
	  .end_ns = 50 * S },
};
#define N_LARGE_SCENARIOS (sizeof(LARGE_SCENARIOS) / sizeof(LARGE_SCENARIOS[0]))

static void print_run(const struct scenario *s, const struct policy *p,
		      const struct results *f)
{
	printf("balance %s %s %s imbalance %.3f held %.3f wait_p50_ms %.1f "
	       "wait_p99_ms "
	       "%.1f refused %.4f late %.4f goodput %.1f excess %.0f even_s "
	       "%.0f decide_ns %.0f\n",
	       s->deployment, s->name, p->name, f->imbalance,
	       f->occupancy_imbalance, f->wait_p50_ms, f->wait_p99_ms,
	       f->refused, f->late, f->goodput, f->excess, f->balanced_after_s,
	       f->decision_ns);
}

static double ratio(double ours, double other)
{
	return other > 0 ? ours / other : 0;
}

static void run(const struct scenario *s)
{
	struct results f[N_POLICIES];

	for (uint32_t i = 0; i < N_POLICIES; i++) {
		memset(&f[i], 0, sizeof(f[i]));
		model_run(s, POLICIES[i], &f[i]);
		print_run(s, POLICIES[i], &f[i]);
	}
	for (uint32_t i = 1; i < N_POLICIES; i++)
		printf("ratio balance %s %s ours/%s imbalance %.3f held %.3f "
		       "wait_p99 "
		       "%.3f goodput %.3f\n",
		       s->deployment, s->name, POLICIES[i]->name,
		       ratio(f[0].imbalance, f[i].imbalance),
		       ratio(f[0].occupancy_imbalance,
			     f[i].occupancy_imbalance),
		       ratio(f[0].wait_p99_ms, f[i].wait_p99_ms),
		       ratio(f[0].goodput, f[i].goodput));
	fflush(stdout);
}

static struct scenario combine(const struct scenario *service,
			       const struct scenario *scenario)
{
	struct scenario s = *scenario;

	s.deployment = service->deployment;
	s.n_entries = service->n_entries;
	s.n_targets = service->n_targets;
	s.slots = service->slots;
	s.delay_ns = service->delay_ns;
	s.service_ns = service->service_ns;
	return s;
}

int main(int argc, char **argv)
{
	const char *only = argc > 1 ? argv[1] : "";

	for (uint32_t i = 0; i < N_SERVICES; i++) {
		for (uint32_t j = 0; j < N_SCENARIOS; j++) {
			struct scenario s =
				combine(&SERVICES[i], &SCENARIOS[j]);

			if (!*only || !strcmp(only, s.deployment) ||
			    !strcmp(only, s.name))
				run(&s);
		}
	}
	for (uint32_t i = 0; i < N_SERVICES; i++)
		if (!*only || !strcmp(only, "feeds"))
			feeds_run(SERVICES[i].deployment, SERVICES[i].n_entries,
				  SERVICES[i].n_targets, SERVICES[i].slots);
	if (!*only || !strcmp(only, "change")) {
		changes_run(96, 6);
		changes_run(960, 6);
		changes_run(3840, 6);
	}
	for (uint32_t i = 0; i < N_LARGE_SCENARIOS; i++)
		if (!*only || !strcmp(only, LARGE_SCENARIOS[i].deployment))
			run(&LARGE_SCENARIOS[i]);
	return 0;
}
