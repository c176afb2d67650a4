/*
 * What operators publish, as the decisions read it: one struct account a
 * client account, only the targets of this data centre.
 */
#ifndef CB_CONFIG_H
#define CB_CONFIG_H

#include "types.h"

#define ACCOUNTS_MAX 4096
#define SERVICES_PER_ACCOUNT_MAX 1024
#define TARGETS_PER_SERVICE_MAX 1024

enum service_protocol { SERVICE_COAP, SERVICE_UDP };

/**
 * enum service_class - what the deployments weigh differently
 * @CLASS_FEED: long flows that a caller watches
 * @CLASS_REPORT: short requests with an answer (gust reports, valve commands)
 * @CLASS_UPLOAD: bulk transfers
 */
enum service_class { CLASS_FEED, CLASS_REPORT, CLASS_UPLOAD, CLASS_COUNT };

enum target_state { TARGET_UP, TARGET_DRAINING };

/**
 * struct target_conf - one target of a service in this data centre
 * @addr: endpoint
 * @state: up or draining; draining targets keep flows, get no new work
 * @weight: relative share, 1 to 1000
 * @slots: requests it runs at once
 * @connections: open feeds it holds at once
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
 * @vip: address callers send to, unique in the fleet
 * @protocol: enum service_protocol
 * @class: enum service_class of its plain requests
 * @post_idempotent: operator's word that POST may run twice
 * @target_dedups: operator's word that targets drop a repeated message ID
 * @request_timeout_ns: longest time a request may take, from arrival
 * @queue_max: requests that may wait at one entry
 * @targets: targets in this data centre
 * @n_targets: how many
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
 * @name: account's name
 * @generation: grows with every publication, never falls
 * @weight: share of contended targets and queues, 1 to 1000
 * @services: services
 * @n_services: how many
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
 * @accounts: sorted by name
 * @n_accounts: how many
 */
struct config {
	struct account_conf *accounts;
	uint32_t n_accounts;
};

struct account_conf *account_copy(const struct account_conf *a);
void account_clear(struct account_conf *a);
void account_free(struct account_conf *a);
const struct account_conf *config_account(const struct config *c,
					  const char *name);
int config_put(struct config *c, struct account_conf *take);
void config_free(struct config *c);

#endif
