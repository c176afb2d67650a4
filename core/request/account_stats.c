#include "account_stats.h"

#include "index.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>

/* One client account's counters. */
struct account_entry {
	char name[NAME_MAX_BYTES];
	struct answer_stats by_class[CLASS_COUNT];
};

/* A service in force, and whose it is. */
struct service_entry {
	uint64_t vip;
	uint8_t class;
	uint32_t account;
};

/**
 * struct account_stats - counters of all accounts
 * @accounts: sorted by name; one that is withdrawn stays, so
 *	that what it was refused can still be accounted for
 * @services: those in force
 * @by_vip: their numbers
 */
struct account_stats {
	struct account_entry *accounts;
	uint32_t n_accounts;
	struct service_entry *services;
	uint32_t n_services;
	struct index *by_vip;
};

/**
 * account_stats_new() - counters without accounts
 *
 * Return: counters, or NULL without memory.
 */
struct account_stats *account_stats_new(void)
{
	return calloc(1, sizeof(struct account_stats));
}

void account_stats_free(struct account_stats *a)
{
	if (!a)
		return;
	free(a->accounts);
	free(a->services);
	index_free(a->by_vip);
	free(a);
}

static int by_name(const void *name, const void *row)
{
	return strcmp(name, ((const struct account_entry *)row)->name);
}

/* Below 0: the old list's name comes next; above 0: the new one's; 0: both. */
static int compare_next(const struct account_stats *a, uint32_t old,
			const struct config *c, uint32_t new)
{
	if (old == a->n_accounts)
		return 1;
	if (new == c->n_accounts)
		return -1;
	return strcmp(a->accounts[old].name, c->accounts[new].name);
}

/* Both lists are sorted by name. */
static uint32_t merge_accounts(struct account_entry *to,
			       const struct account_stats *a,
			       const struct config *c)
{
	uint32_t n = 0;
	uint32_t old = 0;
	uint32_t new = 0;

	while (old < a->n_accounts || new < c->n_accounts) {
		int order = compare_next(a, old, c, new);

		if (order <= 0)
			to[n] = a->accounts[old++];
		else
			strcpy(to[n].name, c->accounts[new].name);
		new += order >= 0;
		n++;
	}
	return n;
}

static int add_accounts(struct account_stats *a, const struct config *c)
{
	uint32_t n_max = a->n_accounts + c->n_accounts;
	struct account_entry *grown = calloc(n_max + 1, sizeof(*grown));

	if (!grown)
		return -ENOMEM;
	a->n_accounts = merge_accounts(grown, a, c);
	free(a->accounts);
	a->accounts = grown;
	return 0;
}

static const struct service_entry *find_service(const struct account_stats *a,
						uint64_t vip)
{
	uint32_t slot;

	if (!a->by_vip)
		return NULL;
	slot = index_get(a->by_vip, hash_u64(vip, 0));
	if (slot == INDEX_NONE || a->services[slot].vip != vip)
		return NULL;
	return &a->services[slot];
}

/* Of two accounts with one VIP the first by name has it, as in entry.c. */
static void add_services(struct account_stats *a,
			 const struct account_conf *account)
{
	const struct account_entry *row =
		bsearch(account->name, a->accounts, a->n_accounts, sizeof(*row),
			by_name);

	for (uint32_t i = 0; i < account->n_services; i++) {
		const struct service_conf *s = &account->services[i];

		if (find_service(a, s->vip))
			continue;
		a->services[a->n_services] = (struct service_entry){
			.vip = s->vip,
			.class = s->class,
			.account = (uint32_t)(row - a->accounts),
		};
		index_put(a->by_vip, hash_u64(s->vip, 0), a->n_services++);
	}
}

/**
 * account_stats_config() - follow the accounts in force
 * @a: counters; those of accounts known already are kept
 * @c: configuration
 *
 * Return: 0, or -ENOMEM: nothing is counted then.
 */
int account_stats_config(struct account_stats *a, const struct config *c)
{
	uint32_t n = 0;

	for (uint32_t i = 0; i < c->n_accounts; i++)
		n += c->accounts[i].n_services;
	free(a->services);
	index_free(a->by_vip);
	a->n_services = 0;
	a->services = calloc(n + 1, sizeof(*a->services));
	a->by_vip = index_new(n + 1);
	if (!a->services || !a->by_vip || add_accounts(a, c)) {
		index_free(a->by_vip);
		a->by_vip = NULL;
		return -ENOMEM;
	}
	for (uint32_t i = 0; i < c->n_accounts; i++)
		add_services(a, &c->accounts[i]);
	return 0;
}

/**
 * request_class() - class that a request counts as
 * @flags: enum message_flags of the request
 * @service_class: enum service_class of its service
 *
 * Return: enum service_class; a plain request to a service of feeds is a report.
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
 * account_stats_find() - where to count the end of a request
 * @a: counters
 * @vip: its service
 * @flags: enum message_flags of the request
 *
 * Return: the counters, or NULL when the service isn't in force.
 */
struct answer_stats *account_stats_find(struct account_stats *a, uint64_t vip,
					uint16_t flags)
{
	const struct service_entry *s = find_service(a, vip);

	if (!s)
		return NULL;
	return &a->accounts[s->account]
			.by_class[request_class(flags, s->class)];
}

/**
 * account_stats_next() - walk over the counters of each account and class
 * @a: counters
 * @cursor: 0 at first, moved on by each call
 * @account: name, good until the next configuration
 * @class: enum service_class
 * @stats: counters, good until the next configuration
 *
 * Return: false at the end.
 */
bool account_stats_next(const struct account_stats *a, uint32_t *cursor,
			const char **account, uint8_t *class,
			const struct answer_stats **stats)
{
	uint32_t row = *cursor / CLASS_COUNT;

	if (row >= a->n_accounts)
		return false;
	*class = *cursor % CLASS_COUNT;
	*account = a->accounts[row].name;
	*stats = &a->accounts[row].by_class[*class];
	(*cursor)++;
	return true;
}
