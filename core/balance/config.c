#include "config.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>

static bool service_copy(const struct service_conf *from,
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
 * account_copy() - deep copy
 * @a: account
 *
 * Return: the copy, to be freed with account_free(), or NULL when out of
 * memory.
 */
struct account_conf *account_copy(const struct account_conf *a)
{
	struct account_conf *copy = malloc(sizeof(*copy));

	if (!copy)
		return NULL;
	*copy = *a;
	copy->n_services = 0;
	copy->services = calloc(a->n_services ? a->n_services : 1,
				sizeof(*copy->services));
	if (!copy->services)
		goto fail;
	while (copy->n_services < a->n_services) {
		uint32_t i = copy->n_services++;

		if (!service_copy(&a->services[i], &copy->services[i]))
			goto fail;
	}
	return copy;
fail:
	account_free(copy);
	return NULL;
}

/**
 * account_clear() - free what an account holds, not the struct itself
 * @a: account; empty afterwards
 */
void account_clear(struct account_conf *a)
{
	for (uint32_t i = 0; a->services && i < a->n_services; i++)
		free(a->services[i].targets);
	free(a->services);
	*a = (struct account_conf){ 0 };
}

/**
 * account_free() - free an account
 * @a: account, or NULL
 */
void account_free(struct account_conf *a)
{
	if (!a)
		return;
	account_clear(a);
	free(a);
}

/* First account that doesn't sort before @name. */
static uint32_t place(const struct config *c, const char *name)
{
	uint32_t low = 0;
	uint32_t high = c->n_accounts;

	while (low < high) {
		uint32_t mid = low + (high - low) / 2;

		if (strcmp(c->accounts[mid].name, name) < 0)
			low = mid + 1;
		else
			high = mid;
	}
	return low;
}

static bool is_at(const struct config *c, uint32_t i, const char *name)
{
	return i < c->n_accounts && !strcmp(c->accounts[i].name, name);
}

/**
 * config_account() - find an account
 * @c: configuration
 * @name: account's name
 *
 * Return: the account, good until the next config_put(), or NULL.
 */
const struct account_conf *config_account(const struct config *c,
					  const char *name)
{
	uint32_t i = place(c, name);

	return is_at(c, i, name) ? &c->accounts[i] : NULL;
}

static int insert(struct config *c, uint32_t i, const struct account_conf *a)
{
	struct account_conf *grown;

	if (c->n_accounts >= ACCOUNTS_MAX)
		return -ENOSPC;
	grown = realloc(c->accounts, (c->n_accounts + 1) * sizeof(*grown));
	if (!grown)
		return -ENOMEM;
	memmove(&grown[i + 1], &grown[i], (c->n_accounts - i) * sizeof(*grown));
	grown[i] = *a;
	c->accounts = grown;
	c->n_accounts++;
	return 0;
}

/**
 * config_put() - put an account in, in place of one of the same name
 * @c: configuration; stays sorted by name
 * @take: account; the configuration owns it from now on
 *
 * Return: 0; -ENOSPC past ACCOUNTS_MAX, -ENOMEM, and then @take is still the
 * caller's and @c unchanged.
 */
int config_put(struct config *c, struct account_conf *take)
{
	uint32_t i = place(c, take->name);
	int err = 0;

	if (is_at(c, i, take->name)) {
		account_clear(&c->accounts[i]);
		c->accounts[i] = *take;
	} else {
		err = insert(c, i, take);
	}
	if (!err)
		free(take);
	return err;
}

/**
 * config_free() - free all accounts
 * @c: configuration; empty afterwards
 */
void config_free(struct config *c)
{
	for (uint32_t i = 0; i < c->n_accounts; i++)
		account_clear(&c->accounts[i]);
	free(c->accounts);
	*c = (struct config){ 0 };
}
