#include "account_stats.h"

#include "index.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>

struct account_counters {
	char name[NAME_MAX_BYTES];
	struct answer_stats by_class[CLASS_COUNT];
};

/* Service in force; account is an index into struct account_stats.accounts. */
struct counted_service {
	uint64_t vip;
	uint8_t class;
	uint32_t account;
};

/**
 * struct account_stats - counters of all client accounts
 * @accounts: sorted by name; a withdrawn account stays, so that the refusals of
 *	its requests can still be explained
 * @n_accounts: number of @accounts
 * @services: services in force
 * @n_services: number of @services
 * @by_vip: index of @services by VIP
 */
struct account_stats {
	struct account_counters *accounts;
	uint32_t n_accounts;
	struct counted_service *services;
	uint32_t n_services;
	struct index *by_vip;
};

/**
 * account_stats_new() - allocate counters without accounts
 *
 * Return: counters, owned by the caller, or NULL when out of memory.
 */
struct account_stats *account_stats_new(void)
{
	return calloc(1, sizeof(struct account_stats));
}

void account_stats_free(struct account_stats *counters)
{
	if (!counters)
		return;
	free(counters->accounts);
	free(counters->services);
	index_free(counters->by_vip);
	free(counters);
}

static int by_name(const void *name, const void *row)
{
	return strcmp(name, ((const struct account_counters *)row)->name);
}

/*
 * Return: below 0 if the name of @old comes first, above 0 if that of @new
 * does, 0 if both are the same account.
 */
static int compare_next(const struct account_stats *counters, uint32_t old,
			const struct config *config, uint32_t new)
{
	if (old == counters->n_accounts)
		return 1;
	if (new == config->n_accounts)
		return -1;
	return strcmp(counters->accounts[old].name, config->accounts[new].name);
}

/*
 * Merges two lists that are sorted by name. Return: number of accounts in @to.
 */
static uint32_t merge_accounts(struct account_counters *to,
			       const struct account_stats *counters,
			       const struct config *config)
{
	uint32_t n = 0;
	uint32_t old = 0;
	uint32_t new = 0;

	while (old < counters->n_accounts || new < config->n_accounts) {
		int order = compare_next(counters, old, config, new);

		if (order <= 0)
			to[n] = counters->accounts[old++];
		else
			strcpy(to[n].name, config->accounts[new].name);
		new += order >= 0;
		n++;
	}
	return n;
}

static int add_accounts(struct account_stats *counters,
			const struct config *config)
{
	uint32_t n_max = counters->n_accounts + config->n_accounts;
	struct account_counters *grown = calloc(n_max + 1, sizeof(*grown));

	if (!grown)
		return -ENOMEM;
	counters->n_accounts = merge_accounts(grown, counters, config);
	free(counters->accounts);
	counters->accounts = grown;
	return 0;
}

static const struct counted_service *
find_service(const struct account_stats *counters, uint64_t vip)
{
	uint32_t slot;

	if (!counters->by_vip)
		return NULL;
	slot = index_get(counters->by_vip, hash_u64(vip, 0));
	if (slot == INDEX_NONE || counters->services[slot].vip != vip)
		return NULL;
	return &counters->services[slot];
}

/*
 * If two accounts have the same VIP, the first by name keeps it, as in entry.c.
 */
static void add_services(struct account_stats *counters,
			 const struct account_conf *account)
{
	const struct account_counters *row =
		bsearch(account->name, counters->accounts, counters->n_accounts,
			sizeof(*row), by_name);

	for (uint32_t i = 0; i < account->n_services; i++) {
		const struct service_conf *s = &account->services[i];

		if (find_service(counters, s->vip))
			continue;
		counters->services[counters->n_services] =
			(struct counted_service){
				.vip = s->vip,
				.class = s->class,
				.account = (uint32_t)(row - counters->accounts),
			};
		index_put(counters->by_vip, hash_u64(s->vip, 0),
			  counters->n_services++);
	}
}

/**
 * account_stats_config() - adopt the accounts and services in force
 * @counters: counters; those of accounts that are known already are kept
 * @config: configuration, not kept
 *
 * Return: 0, or -ENOMEM: no answers are counted then.
 */
int account_stats_config(struct account_stats *counters,
			 const struct config *config)
{
	uint32_t n = 0;

	for (uint32_t i = 0; i < config->n_accounts; i++)
		n += config->accounts[i].n_services;
	free(counters->services);
	index_free(counters->by_vip);
	counters->n_services = 0;
	counters->services = calloc(n + 1, sizeof(*counters->services));
	counters->by_vip = index_new(n + 1);
	if (!counters->services || !counters->by_vip ||
	    add_accounts(counters, config)) {
		index_free(counters->by_vip);
		counters->by_vip = NULL;
		return -ENOMEM;
	}
	for (uint32_t i = 0; i < config->n_accounts; i++)
		add_services(counters, &config->accounts[i]);
	return 0;
}

/**
 * request_class() - class that a request is counted as
 * @flags: enum message_flags of the request
 * @service_class: enum service_class of its service
 *
 * Return: enum service_class; CLASS_REPORT for a plain request to a service of
 * feeds.
 */
uint8_t request_class(uint16_t flags, uint8_t service_class)
{
	if (flags & MESSAGE_FEED_OPEN)
		return CLASS_FEED;
	if (flags & MESSAGE_BLOCK)
		return CLASS_UPLOAD;
	return service_class == CLASS_FEED ? CLASS_REPORT : service_class;
}

/**
 * account_stats_find() - counters of a request's account and class
 * @counters: counters of all client accounts
 * @vip: VIP of its service
 * @flags: enum message_flags of the request
 *
 * Return: counters, or NULL when the service is not in force.
 */
struct answer_stats *account_stats_find(struct account_stats *counters,
					uint64_t vip, uint16_t flags)
{
	const struct counted_service *s = find_service(counters, vip);

	if (!s)
		return NULL;
	return &counters->accounts[s->account]
			.by_class[request_class(flags, s->class)];
}

/**
 * account_stats_next() - iterate over the counters of each account and class
 * @counters: counters of all client accounts
 * @cursor: 0 for the first call, advanced by each
 * @account: set to the account's name, valid until the next configuration
 * @class: set to the enum service_class
 * @stats: set to the counters, valid until the next configuration
 *
 * Return: false at the end; the outputs are unchanged then.
 */
bool account_stats_next(const struct account_stats *counters, uint32_t *cursor,
			const char **account, uint8_t *class,
			const struct answer_stats **stats)
{
	uint32_t row = *cursor / CLASS_COUNT;

	if (row >= counters->n_accounts)
		return false;
	*class = *cursor % CLASS_COUNT;
	*account = counters->accounts[row].name;
	*stats = &counters->accounts[row].by_class[*class];
	(*cursor)++;
	return true;
}
