/* One balancer with one service, for tests. */
#ifndef CB_BALANCE_FIXTURE_H
#define CB_BALANCE_FIXTURE_H

#include "balance.h"

#define FIXTURE_VIP ADDR(0x7f010001, 5683)
#define FIXTURE_TARGETS_MAX 32
#define FIXTURE_SERVICES_MAX 4

/**
 * struct fixture - balancer, configuration and clock
 * @b: balancer
 * @now_ns: fake clock
 * @config: in force
 * @accounts: one service each
 * @services: of the accounts; all list the same targets
 * @targets: by service
 */
struct fixture {
	struct balancer *b;
	uint64_t now_ns;
	struct config config;
	struct account_conf accounts[FIXTURE_SERVICES_MAX];
	struct service_conf services[FIXTURE_SERVICES_MAX];
	struct target_conf targets[FIXTURE_SERVICES_MAX][FIXTURE_TARGETS_MAX];
};

void fixture_open(struct fixture *f, uint32_t n_targets, uint16_t slots,
		  uint32_t queue_max);
void fixture_account(struct fixture *f, uint16_t weight);
void fixture_config(struct fixture *f);
void fixture_close(struct fixture *f);
uint64_t fixture_vip(uint32_t account);
uint64_t fixture_target(uint32_t i);
uint32_t fixture_index(uint64_t target);
struct work fixture_work(struct fixture *f, uint32_t handle,
			 uint64_t timeout_ms);
struct decision fixture_submit(struct fixture *f, uint32_t handle,
			       uint64_t timeout_ms);
void fixture_done(struct fixture *f, uint64_t target, enum outcome outcome,
		  uint64_t took_ms);
void fixture_drain(struct fixture *f);
struct target_stats fixture_stats(struct fixture *f, uint32_t target);
uint32_t fixture_ejected(struct fixture *f);

#endif
