/*
 * Measures for how long the change of one account blocks the data path of an
 * entry that has all accounts of a data centre in force: the entry rebuilds its
 * tables. Each line gives the accounts, services, targets and milliseconds, the
 * shortest of REPEATS runs.
 */
#include "entry.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#define REPEATS 5
#define SERVICES_PER_ACCOUNT 23
#define TARGETS_PER_SERVICE 2
#define FIRST_VIP_IP 0x0a000001
#define FIRST_TARGET_IP 0x0b000001

static struct actions actions;

static uint64_t now_ns(void)
{
	struct timespec t;

	clock_gettime(CLOCK_MONOTONIC, &t);
	return (uint64_t)t.tv_sec * NS_PER_S + (uint64_t)t.tv_nsec;
}

static void fill_service(struct service_conf *s, uint32_t number,
			 uint32_t n_targets)
{
	snprintf(s->name, sizeof(s->name), "service-%u", number);
	s->vip = ADDR(FIRST_VIP_IP + number, 5683);
	s->class = CLASS_REPORT;
	s->request_timeout_ns = 5 * NS_PER_S;
	s->queue_max = 200;
	s->n_targets = TARGETS_PER_SERVICE;
	s->targets = calloc(TARGETS_PER_SERVICE, sizeof(*s->targets));
	for (uint32_t i = 0; s->targets && i < TARGETS_PER_SERVICE; i++) {
		uint32_t t = (number * TARGETS_PER_SERVICE + i) % n_targets;

		s->targets[i] = (struct target_conf){
			.addr = ADDR(FIRST_TARGET_IP + t, 5683),
			.weight = 100,
			.slots = 2,
			.connections = 2000,
		};
	}
}

static struct account_conf *account(uint32_t number, uint32_t n_targets)
{
	struct account_conf *a = calloc(1, sizeof(*a));

	if (!a)
		return NULL;
	snprintf(a->name, sizeof(a->name), "account-%06u", number);
	a->generation = 1;
	a->weight = 10;
	a->n_services = SERVICES_PER_ACCOUNT;
	a->services = calloc(SERVICES_PER_ACCOUNT, sizeof(*a->services));
	for (uint32_t i = 0; a->services && i < SERVICES_PER_ACCOUNT; i++)
		fill_service(&a->services[i], number * SERVICES_PER_ACCOUNT + i,
			     n_targets);
	return a;
}

static struct entry *new_entry(void)
{
	const struct entry_conf conf = {
		.member = { .self = ADDR(0x7f460001, 7000),
			    .incarnation = 1,
			    .probe_period_ns = NS_PER_S,
			    .probe_timeout_ns = NS_PER_S,
			    .suspect_timeout_ns = NS_PER_S,
			    .lease_ns = NS_PER_S,
			    .probes_per_period = 3,
			    .indirect_probes = 3 },
		.requests_max = 1024,
		.feeds_max = 1024,
		.claims_max = 1024,
		.flows_max = 1024,
		.settle_ns = NS_PER_S,
		.cover_ns = NS_PER_S,
		.claim_timeout_ns = NS_PER_S,
		.probe_idle_ns = NS_PER_S,
		.drain_ns = NS_PER_S,
		.n_buckets = RING_BUCKETS,
		.seed = 1,
	};

	return entry_new(&conf, NS_PER_S);
}

static double time_account_change_ms(struct entry *e, struct config *c,
				     uint32_t n_targets)
{
	uint64_t start_ns = now_ns();

	if (config_put(c, account(0, n_targets)))
		exit(EXIT_FAILURE);
	entry_config(e, c, start_ns, &actions);
	return (double)(now_ns() - start_ns) / NS_PER_MS;
}

static void measure(uint32_t n_accounts, uint32_t n_targets)
{
	struct entry *e = new_entry();
	struct config c = { 0 };
	double best_ms = 1e9;

	for (uint32_t i = 0; i < n_accounts; i++) {
		if (config_put(&c, account(i, n_targets)))
			exit(EXIT_FAILURE);
	}
	entry_config(e, &c, NS_PER_S, &actions);
	for (uint32_t i = 0; i < REPEATS; i++) {
		double ms = time_account_change_ms(e, &c, n_targets);

		best_ms = ms < best_ms ? ms : best_ms;
	}
	printf("accounts %u services %u targets %u change %.2f ms\n",
	       n_accounts, n_accounts * SERVICES_PER_ACCOUNT, n_targets,
	       best_ms);
	entry_free(e);
	config_free(&c);
}

int main(void)
{
	measure(10, 54);
	measure(100, 540);
	measure(1000, 5400);
	return EXIT_SUCCESS;
}
