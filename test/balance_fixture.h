/* A balancer with a configuration and a fake clock, for tests. */
#ifndef CB_BALANCE_FIXTURE_H
#define CB_BALANCE_FIXTURE_H

#include "balance.h"

#define FIXTURE_VIP ADDR(0x7f010001, 5683)
#define FIXTURE_TARGETS_MAX 32
#define FIXTURE_SERVICES_MAX 4

/**
 * struct fixture - balancer, configuration and clock
 * @balancer: balancer under test
 * @now_ns: current time of the fake clock
 * @config: configuration, in force after fixture_apply_config()
 * @accounts: accounts of @config, with one service each
 * @services: services by account; they list the same targets unless a test
 *	changes them
 * @targets: targets by service
 */
struct fixture {
	struct balancer *balancer;
	uint64_t now_ns;
	struct config config;
	struct account_conf accounts[FIXTURE_SERVICES_MAX];
	struct service_conf services[FIXTURE_SERVICES_MAX];
	struct target_conf targets[FIXTURE_SERVICES_MAX][FIXTURE_TARGETS_MAX];
};

void fixture_init(struct fixture *f, uint32_t n_targets, uint16_t slots,
		  uint32_t queue_max);
void fixture_add_account(struct fixture *f, uint16_t weight);
void fixture_apply_config(struct fixture *f);
void fixture_free(struct fixture *f);
uint64_t fixture_vip(uint32_t account);
uint64_t fixture_target_addr(uint32_t i);
uint32_t fixture_target_index(uint64_t target);
struct work fixture_work(struct fixture *f, uint32_t handle,
			 uint64_t timeout_ms);
struct decision fixture_submit(struct fixture *f, uint32_t handle,
			       uint64_t timeout_ms);
void fixture_end_request(struct fixture *f, uint64_t target,
			 enum outcome outcome, uint64_t took_ms);
void fixture_drain(struct fixture *f);
struct target_stats fixture_target_stats(struct fixture *f, uint32_t target);
uint32_t fixture_ejected_count(struct fixture *f);

#endif
