/*
 * Published configuration as an entry uses it: one struct account_conf per
 * client account, with the targets of this data centre only.
 */
#ifndef CB_CONFIG_H
#define CB_CONFIG_H

#include "types.h"

#define ACCOUNTS_MAX 4096
#define SERVICES_PER_ACCOUNT_MAX 1024
#define TARGETS_PER_SERVICE_MAX 1024

enum service_protocol { SERVICE_COAP, SERVICE_UDP };

/**
 * enum service_class - kinds of requests with different service goals
 * @CLASS_FEED: long-lived flows that a caller observes
 * @CLASS_REPORT: short requests with an answer (gust reports, valve commands)
 * @CLASS_UPLOAD: bulk transfers
 */
enum service_class { CLASS_FEED, CLASS_REPORT, CLASS_UPLOAD, CLASS_COUNT };

/**
 * enum target_state - state that operators give a target
 * @TARGET_UP: accepts new work
 * @TARGET_DRAINING: keeps its flows, gets no new work
 */
enum target_state { TARGET_UP, TARGET_DRAINING };

/**
 * struct target_conf - one target of a service in this data centre
 * @addr: endpoint
 * @state: enum target_state
 * @weight: share of the service's work relative to its other targets, 1 to
 *	1000
 * @slots: requests that it runs concurrently
 * @connections: maximum of concurrently open feeds
 */
struct target_conf {
	uint64_t addr;
	uint8_t state;
	uint16_t weight;
	uint16_t slots;
	uint32_t connections;
};

/**
 * struct service_conf - one service of a client account
 * @name: name, unique in the account
 * @vip: address that callers send to, unique among all accounts
 * @protocol: enum service_protocol
 * @class: enum service_class of requests that open no feed
 * @post_idempotent: the operator states that running a POST twice is safe
 * @target_dedups: the operator states that targets drop a repeated message ID
 * @request_timeout_ns: maximum duration of a request, from its arrival
 * @queue_max: requests that may be queued at one entry
 * @targets: targets in this data centre; owned, NULL when there are none
 * @n_targets: number of @targets
 */
struct service_conf {
	char name[NAME_MAX_BYTES];
	uint64_t vip;
	uint8_t protocol;
	uint8_t class;
	bool post_idempotent;
	bool target_dedups;
	uint64_t request_timeout_ns;
	uint32_t queue_max;
	struct target_conf *targets;
	uint32_t n_targets;
};

/**
 * struct account_conf - one client account as published
 * @name: name of the account
 * @generation: increases with every publication
 * @weight: share of contended targets and queues relative to other accounts,
 *	1 to 1000
 * @services: services; owned
 * @n_services: number of @services
 */
struct account_conf {
	char name[NAME_MAX_BYTES];
	uint64_t generation;
	uint16_t weight;
	struct service_conf *services;
	uint32_t n_services;
};

/**
 * struct config - all client accounts in force at this entry
 * @accounts: sorted by name; owned
 * @n_accounts: number of @accounts
 */
struct config {
	struct account_conf *accounts;
	uint32_t n_accounts;
};

struct account_conf *account_copy(const struct account_conf *account);
void account_clear(struct account_conf *account);
void account_free(struct account_conf *account);
const struct account_conf *config_find_account(const struct config *config,
					       const char *name);
int config_put(struct config *config, struct account_conf *account);
void config_free(struct config *config);

#endif
