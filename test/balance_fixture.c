#include "balance_fixture.h"

#include <stdio.h>
#include <string.h>

#define WORK_MAX 1024

uint64_t fixture_vip(uint32_t account)
{
	return FIXTURE_VIP + ((uint64_t)account << 16);
}

uint64_t fixture_target_addr(uint32_t i)
{
	return ADDR(0x7f020001 + i, 5683);
}

uint32_t fixture_target_index(uint64_t target)
{
	return ADDR_IP(target) - 0x7f020001;
}

static void add_account(struct fixture *f, uint16_t weight, uint32_t n_targets,
			uint16_t slots, uint32_t queue_max)
{
	uint32_t i = f->config.n_accounts++;
	struct account_conf *a = &f->accounts[i];
	struct service_conf *s = &f->services[i];

	*a = (struct account_conf){ .generation = 1, .weight = weight };
	snprintf(a->name, sizeof(a->name), "account%u", i);
	a->services = s;
	a->n_services = 1;
	*s = (struct service_conf){ .class = CLASS_REPORT };
	s->vip = fixture_vip(i);
	s->queue_max = queue_max;
	s->targets = f->targets[i];
	s->n_targets = n_targets;
	for (uint32_t j = 0; j < n_targets; j++)
		s->targets[j] = (struct target_conf){
			.addr = fixture_target_addr(j),
			.state = TARGET_UP,
			.weight = 100,
			.slots = slots,
			.connections = 2000,
		};
}

void fixture_init(struct fixture *f, uint32_t n_targets, uint16_t slots,
		  uint32_t queue_max)
{
	memset(f, 0, sizeof(*f));
	f->now_ns = NS_PER_S;
	f->config.accounts = f->accounts;
	f->balancer = balance_new(WORK_MAX, (struct rng){ 20261202 });
	add_account(f, 100, n_targets, slots, queue_max);
	fixture_apply_config(f);
}

void fixture_add_account(struct fixture *f, uint16_t weight)
{
	const struct service_conf *s = &f->services[0];

	add_account(f, weight, s->n_targets, s->targets[0].slots, s->queue_max);
	fixture_apply_config(f);
}

void fixture_apply_config(struct fixture *f)
{
	balance_set_config(f->balancer, &f->config, f->now_ns);
}

void fixture_free(struct fixture *f)
{
	balance_free(f->balancer);
}

struct work fixture_work(struct fixture *f, uint32_t handle,
			 uint64_t timeout_ms)
{
	return (struct work){
		.handle = handle,
		.vip = FIXTURE_VIP,
		.class = CLASS_REPORT,
		.hash = hash_u64(handle, 1),
		.deadline_ns = f->now_ns + timeout_ms * NS_PER_MS,
	};
}

struct decision fixture_submit(struct fixture *f, uint32_t handle,
			       uint64_t timeout_ms)
{
	struct work w = fixture_work(f, handle, timeout_ms);

	return balance_submit(f->balancer, &w, f->now_ns);
}

void fixture_end_request(struct fixture *f, uint64_t target,
			 enum outcome outcome, uint64_t took_ms)
{
	f->now_ns += took_ms * NS_PER_MS;
	balance_record_end(f->balancer, FIXTURE_VIP, target, outcome,
			   took_ms * NS_PER_MS, f->now_ns);
}

void fixture_drain(struct fixture *f)
{
	struct decision r;
	uint32_t handle;

	while (balance_next(f->balancer, f->now_ns, &handle, &r))
		;
}

struct target_stats fixture_target_stats(struct fixture *f, uint32_t target)
{
	struct target_stats t = { 0 };
	uint32_t cursor = 0;

	while (balance_next_target_stats(f->balancer, &cursor, &t))
		if (t.addr == fixture_target_addr(target))
			return t;
	return t;
}

uint32_t fixture_ejected_count(struct fixture *f)
{
	struct target_stats t;
	uint32_t cursor = 0;
	uint32_t n = 0;

	while (balance_next_target_stats(f->balancer, &cursor, &t))
		n += t.ejected;
	return n;
}
