#include "publication_names.h"

#include <string.h>

const char *const service_protocol_names[] = { "coap", "udp", NULL };
const char *const service_class_names[] = { "feed", "report", "upload", NULL };
const char *const target_state_names[] = { "up", "draining", NULL };

/**
 * account_find_service() - find a service by name
 * @account: account
 * @name: name of the service
 *
 * Return: the service, or NULL.
 */
const struct service_conf *
account_find_service(const struct account_conf *account, const char *name)
{
	for (uint32_t i = 0; i < account->n_services; i++)
		if (!strcmp(account->services[i].name, name))
			return &account->services[i];
	return NULL;
}

/**
 * service_find_target() - find a target by address
 * @service: service
 * @addr: endpoint of the target
 *
 * Return: the target, or NULL.
 */
const struct target_conf *
service_find_target(const struct service_conf *service, uint64_t addr)
{
	for (uint32_t i = 0; i < service->n_targets; i++)
		if (service->targets[i].addr == addr)
			return &service->targets[i];
	return NULL;
}
