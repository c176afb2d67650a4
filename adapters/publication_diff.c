#include "publication.h"

#include "publication_names.h"
#include "settings.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#define VALUE_BYTES 32

static const char *const bool_names[] = { "false", "true" };

/**
 * struct differ - state of publication_diff()
 * @handler: receives the differences
 * @at: account, service and target that are being compared
 * @n: number of differences so far
 */
struct differ {
	struct change_handler handler;
	struct change at;
	uint32_t n;
};

static void report(struct differ *d, enum change_kind kind, const char *key,
		   const char *before, const char *after)
{
	struct change c = d->at;

	c.kind = (uint8_t)kind;
	c.key = key;
	c.before = before;
	c.after = after;
	d->n++;
	d->handler.change(d->handler.ctx, &c);
}

static void diff_numbers(struct differ *d, const char *key, uint64_t before,
			 uint64_t after)
{
	char before_text[VALUE_BYTES];
	char after_text[VALUE_BYTES];

	if (before == after)
		return;
	snprintf(before_text, sizeof(before_text), "%" PRIu64, before);
	snprintf(after_text, sizeof(after_text), "%" PRIu64, after);
	report(d, CHANGE_VALUE, key, before_text, after_text);
}

static void diff_names(struct differ *d, const char *key,
		       const char *const *names, uint32_t before,
		       uint32_t after)
{
	if (before != after)
		report(d, CHANGE_VALUE, key, names[before], names[after]);
}

static void diff_addresses(struct differ *d, const char *key, uint64_t before,
			   uint64_t after)
{
	char before_text[VALUE_BYTES];
	char after_text[VALUE_BYTES];

	if (before != after)
		report(d, CHANGE_VALUE, key,
		       addr_text(before, before_text, sizeof(before_text)),
		       addr_text(after, after_text, sizeof(after_text)));
}

static void diff_target_values(struct differ *d,
			       const struct target_conf *current,
			       const struct target_conf *next)
{
	diff_names(d, "state", target_state_names, current->state, next->state);
	diff_numbers(d, "weight", current->weight, next->weight);
	diff_numbers(d, "slots", current->slots, next->slots);
	diff_numbers(d, "connections", current->connections, next->connections);
}

static void diff_target(struct differ *d, uint64_t addr,
			const struct target_conf *current,
			const struct target_conf *next)
{
	char text[VALUE_BYTES];

	d->at.target = addr_text(addr, text, sizeof(text));
	if (!current)
		report(d, CHANGE_ADDED, "", "", "");
	else if (next)
		diff_target_values(d, current, next);
	else
		report(d, CHANGE_REMOVED, "", "", "");
	d->at.target = "";
}

static void diff_targets(struct differ *d, const struct service_conf *current,
			 const struct service_conf *next)
{
	for (uint32_t i = 0; i < current->n_targets; i++)
		diff_target(d, current->targets[i].addr, &current->targets[i],
			    service_find_target(next,
						current->targets[i].addr));
	for (uint32_t i = 0; i < next->n_targets; i++)
		if (!service_find_target(current, next->targets[i].addr))
			diff_target(d, next->targets[i].addr, NULL,
				    &next->targets[i]);
}

static void diff_service_values(struct differ *d,
				const struct service_conf *current,
				const struct service_conf *next)
{
	diff_addresses(d, "vip", current->vip, next->vip);
	diff_names(d, "protocol", service_protocol_names, current->protocol,
		   next->protocol);
	diff_names(d, "class", service_class_names, current->class,
		   next->class);
	diff_names(d, "post_idempotent", bool_names, current->post_idempotent,
		   next->post_idempotent);
	diff_names(d, "target_dedups", bool_names, current->target_dedups,
		   next->target_dedups);
	diff_numbers(d, "request_timeout_ms",
		     current->request_timeout_ns / NS_PER_MS,
		     next->request_timeout_ns / NS_PER_MS);
	diff_numbers(d, "queue_max", current->queue_max, next->queue_max);
	diff_targets(d, current, next);
}

static void diff_service(struct differ *d, const char *name,
			 const struct service_conf *current,
			 const struct service_conf *next)
{
	d->at.service = name;
	if (!current)
		report(d, CHANGE_ADDED, "", "", "");
	else if (next)
		diff_service_values(d, current, next);
	else
		report(d, CHANGE_REMOVED, "", "", "");
	d->at.service = "";
}

static void diff_account_values(struct differ *d,
				const struct account_conf *current,
				const struct account_conf *next)
{
	diff_numbers(d, "generation", current->generation, next->generation);
	diff_numbers(d, "weight", current->weight, next->weight);
	for (uint32_t i = 0; i < current->n_services; i++)
		diff_service(
			d, current->services[i].name, &current->services[i],
			account_find_service(next, current->services[i].name));
	for (uint32_t i = 0; i < next->n_services; i++)
		if (!account_find_service(current, next->services[i].name))
			diff_service(d, next->services[i].name, NULL,
				     &next->services[i]);
}

uint32_t publication_diff(const struct account_conf *current,
			  const struct account_conf *next,
			  struct change_handler handler)
{
	const struct account_conf *either = current ? current : next;
	struct differ d = { .handler = handler };

	if (!either)
		return 0;
	d.at = (struct change){ .account = either->name,
				.service = "",
				.target = "" };
	if (!current)
		report(&d, CHANGE_ADDED, "", "", "");
	else if (!next)
		report(&d, CHANGE_REMOVED, "", "", "");
	else
		diff_account_values(&d, current, next);
	return d.n;
}
