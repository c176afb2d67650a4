#include "config.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>

static bool copy_service(const struct service_conf *from,
			 struct service_conf *to)
{
	*to = *from;
	to->targets = NULL;
	if (!from->n_targets)
		return true;
	to->targets = calloc(from->n_targets, sizeof(*to->targets));
	if (!to->targets)
		return false;
	memcpy(to->targets, from->targets,
	       from->n_targets * sizeof(*to->targets));
	return true;
}

/**
 * account_copy() - make a deep copy of an account
 * @account: account; unchanged
 *
 * Return: the copy, to be freed with account_free(), or NULL when out of
 * memory.
 */
struct account_conf *account_copy(const struct account_conf *account)
{
	struct account_conf *copy = malloc(sizeof(*copy));

	if (!copy)
		return NULL;
	*copy = *account;
	copy->n_services = 0;
	copy->services = calloc(account->n_services ? account->n_services : 1,
				sizeof(*copy->services));
	if (!copy->services)
		goto fail;
	while (copy->n_services < account->n_services) {
		uint32_t i = copy->n_services++;

		if (!copy_service(&account->services[i], &copy->services[i]))
			goto fail;
	}
	return copy;
fail:
	account_free(copy);
	return NULL;
}

/**
 * account_clear() - free the services of an account, not the struct itself
 * @account: account; all zero afterwards
 */
void account_clear(struct account_conf *account)
{
	for (uint32_t i = 0; account->services && i < account->n_services; i++)
		free(account->services[i].targets);
	free(account->services);
	*account = (struct account_conf){ 0 };
}

/**
 * account_free() - free an account and its services
 * @account: account, or NULL
 */
void account_free(struct account_conf *account)
{
	if (!account)
		return;
	account_clear(account);
	free(account);
}

/* Index of the first account whose name doesn't sort before @name. */
static uint32_t find_position(const struct config *config, const char *name)
{
	uint32_t low = 0;
	uint32_t high = config->n_accounts;

	while (low < high) {
		uint32_t mid = low + (high - low) / 2;

		if (strcmp(config->accounts[mid].name, name) < 0)
			low = mid + 1;
		else
			high = mid;
	}
	return low;
}

static bool has_account_at(const struct config *config, uint32_t i,
			   const char *name)
{
	return i < config->n_accounts &&
	       !strcmp(config->accounts[i].name, name);
}

/**
 * config_find_account() - find an account by name
 * @config: configuration
 * @name: name of the account
 *
 * Return: the account, valid until the next config_put(), or NULL.
 */
const struct account_conf *config_find_account(const struct config *config,
					       const char *name)
{
	uint32_t i = find_position(config, name);

	return has_account_at(config, i, name) ? &config->accounts[i] : NULL;
}

static int insert(struct config *config, uint32_t i,
		  const struct account_conf *account)
{
	struct account_conf *grown;

	if (config->n_accounts >= ACCOUNTS_MAX)
		return -ENOSPC;
	grown = realloc(config->accounts,
			(config->n_accounts + 1) * sizeof(*grown));
	if (!grown)
		return -ENOMEM;
	memmove(&grown[i + 1], &grown[i],
		(config->n_accounts - i) * sizeof(*grown));
	grown[i] = *account;
	config->accounts = grown;
	config->n_accounts++;
	return 0;
}

/**
 * config_put() - add an account, or replace the one of the same name
 * @config: configuration; remains sorted by name
 * @account: account; on success @config owns it
 *
 * Return: 0; -ENOSPC when there are ACCOUNTS_MAX accounts, or -ENOMEM. On error
 * the caller still owns @account, and @config is unchanged.
 */
int config_put(struct config *config, struct account_conf *account)
{
	uint32_t i = find_position(config, account->name);
	int err = 0;

	if (has_account_at(config, i, account->name)) {
		account_clear(&config->accounts[i]);
		config->accounts[i] = *account;
	} else {
		err = insert(config, i, account);
	}
	if (!err)
		free(account);
	return err;
}

/**
 * config_free() - free all accounts
 * @config: configuration; empty afterwards
 */
void config_free(struct config *config)
{
	for (uint32_t i = 0; i < config->n_accounts; i++)
		account_clear(&config->accounts[i]);
	free(config->accounts);
	*config = (struct config){ 0 };
}
