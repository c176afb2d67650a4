/*
 * Measures the time of changes of configuration and of the number of entries.
 */
#include "changes.h"

#include "balance.h"

#include <stdio.h>
#include <stdlib.h>
#include <time.h>

#define SLOTS 2
#define CONNECTIONS 2000
#define REPEATS 20
#define N_ENTRIES 458

struct account_set {
	struct config c;
	struct service_conf *services;
	struct target_conf *targets;
};

static void account_set_init(struct account_set *s, uint32_t n_accounts,
			     uint32_t n_targets)
{
	s->c.accounts = calloc(n_accounts, sizeof(*s->c.accounts));
	s->c.n_accounts = n_accounts;
	s->services = calloc(n_accounts, sizeof(*s->services));
	s->targets =
		calloc((size_t)n_accounts * n_targets, sizeof(*s->targets));
	for (uint32_t i = 0; i < n_accounts * n_targets; i++)
		s->targets[i] = (struct target_conf){
			.addr = ADDR(0x7f020001 + i, 5683),
			.weight = 100,
			.slots = SLOTS,
			.connections = CONNECTIONS,
		};
	for (uint32_t i = 0; i < n_accounts; i++) {
		struct account_conf *a = &s->c.accounts[i];

		snprintf(a->name, sizeof(a->name), "account%06u", i);
		a->weight = 1;
		a->services = &s->services[i];
		a->n_services = 1;
		a->services->vip = ADDR(0x7f100001 + i, 5683);
		a->services->targets = &s->targets[(size_t)i * n_targets];
		a->services->n_targets = n_targets;
	}
}

static uint64_t wall_ns(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_MONOTONIC, &ts);
	return ts.tv_sec * NS_PER_S + ts.tv_nsec;
}

/**
 * changes_run() - measure and print the times at one size
 * @n_accounts: client accounts, each with one service
 * @n_targets: targets of each service
 */
void changes_run(uint32_t n_accounts, uint32_t n_targets)
{
	struct balancer *b = balance_new(1024, (struct rng){ 1 });
	struct account_set s = { 0 };
	uint64_t config_ns;
	uint64_t entries_ns;

	account_set_init(&s, n_accounts, n_targets);
	balance_set_config(b, &s.c, 0);
	config_ns = wall_ns();
	for (uint32_t i = 0; i < REPEATS; i++)
		balance_set_config(b, &s.c, i);
	config_ns = wall_ns() - config_ns;
	entries_ns = wall_ns();
	for (uint32_t i = 0; i < REPEATS; i++)
		balance_set_entries(b, N_ENTRIES - i % 2, 100);
	entries_ns = wall_ns() - entries_ns;
	printf("change accounts %u targets %u config_ms %.3f entries_ms %.3f\n",
	       n_accounts, n_accounts * n_targets,
	       (double)config_ns / REPEATS / NS_PER_MS,
	       (double)entries_ns / REPEATS / NS_PER_MS);
	balance_free(b);
	free(s.c.accounts);
	free(s.services);
	free(s.targets);
}
