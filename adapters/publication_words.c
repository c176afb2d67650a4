#include "publication_words.h"

#include <string.h>

const char *const protocol_words[] = { "coap", "udp", NULL };
const char *const class_words[] = { "feed", "report", "upload", NULL };
const char *const state_words[] = { "up", "draining", NULL };

/**
 * account_service() - find a service
 * @a: account
 * @name: service's name
 *
 * Return: the service, or NULL.
 */
const struct service_conf *account_service(const struct account_conf *a,
					   const char *name)
{
	for (uint32_t i = 0; i < a->n_services; i++)
		if (!strcmp(a->services[i].name, name))
			return &a->services[i];
	return NULL;
}

/**
 * service_target() - find a target
 * @s: service
 * @addr: target's endpoint
 *
 * Return: the target, or NULL.
 */
const struct target_conf *service_target(const struct service_conf *s,
					 uint64_t addr)
{
	for (uint32_t i = 0; i < s->n_targets; i++)
		if (s->targets[i].addr == addr)
			return &s->targets[i];
	return NULL;
}
