#include "publication.h"

#include "publication_words.h"
#include "settings.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#define VALUE_BYTES 32

static const char *const truths[] = { "false", "true" };

struct differ {
	struct change_watch watch;
	struct change at;
	uint32_t n;
};

static void tell(struct differ *d, enum change_kind kind, const char *key,
		 const char *before, const char *after)
{
	struct change c = d->at;

	c.kind = (uint8_t)kind;
	c.key = key;
	c.before = before;
	c.after = after;
	d->n++;
	d->watch.change(d->watch.ctx, &c);
}

static void numbers(struct differ *d, const char *key, uint64_t before,
		    uint64_t after)
{
	char b[VALUE_BYTES];
	char a[VALUE_BYTES];

	if (before == after)
		return;
	snprintf(b, sizeof(b), "%" PRIu64, before);
	snprintf(a, sizeof(a), "%" PRIu64, after);
	tell(d, CHANGE_VALUE, key, b, a);
}

static void words(struct differ *d, const char *key, const char *const *list,
		  uint32_t before, uint32_t after)
{
	if (before != after)
		tell(d, CHANGE_VALUE, key, list[before], list[after]);
}

static void addresses(struct differ *d, const char *key, uint64_t before,
		      uint64_t after)
{
	char b[VALUE_BYTES];
	char a[VALUE_BYTES];

	if (before != after)
		tell(d, CHANGE_VALUE, key, addr_text(before, b, sizeof(b)),
		     addr_text(after, a, sizeof(a)));
}

static void target_values(struct differ *d, const struct target_conf *standing,
			  const struct target_conf *next)
{
	words(d, "state", state_words, standing->state, next->state);
	numbers(d, "weight", standing->weight, next->weight);
	numbers(d, "slots", standing->slots, next->slots);
	numbers(d, "connections", standing->connections, next->connections);
}

static void target_diff(struct differ *d, uint64_t addr,
			const struct target_conf *standing,
			const struct target_conf *next)
{
	char text[VALUE_BYTES];

	d->at.target = addr_text(addr, text, sizeof(text));
	if (!standing)
		tell(d, CHANGE_ADDED, "", "", "");
	else if (next)
		target_values(d, standing, next);
	else
		tell(d, CHANGE_REMOVED, "", "", "");
	d->at.target = "";
}

static void targets_diff(struct differ *d, const struct service_conf *standing,
			 const struct service_conf *next)
{
	for (uint32_t i = 0; i < standing->n_targets; i++)
		target_diff(d, standing->targets[i].addr, &standing->targets[i],
			    service_target(next, standing->targets[i].addr));
	for (uint32_t i = 0; i < next->n_targets; i++)
		if (!service_target(standing, next->targets[i].addr))
			target_diff(d, next->targets[i].addr, NULL,
				    &next->targets[i]);
}

static void service_values(struct differ *d,
			   const struct service_conf *standing,
			   const struct service_conf *next)
{
	addresses(d, "vip", standing->vip, next->vip);
	words(d, "protocol", protocol_words, standing->protocol,
	      next->protocol);
	words(d, "class", class_words, standing->class, next->class);
	words(d, "post_idempotent", truths, standing->post_idempotent,
	      next->post_idempotent);
	words(d, "target_dedups", truths, standing->target_dedups,
	      next->target_dedups);
	numbers(d, "request_timeout_ms",
		standing->request_timeout_ns / NS_PER_MS,
		next->request_timeout_ns / NS_PER_MS);
	numbers(d, "queue_max", standing->queue_max, next->queue_max);
	targets_diff(d, standing, next);
}

static void service_diff(struct differ *d, const char *name,
			 const struct service_conf *standing,
			 const struct service_conf *next)
{
	d->at.service = name;
	if (!standing)
		tell(d, CHANGE_ADDED, "", "", "");
	else if (next)
		service_values(d, standing, next);
	else
		tell(d, CHANGE_REMOVED, "", "", "");
	d->at.service = "";
}

static void account_values(struct differ *d,
			   const struct account_conf *standing,
			   const struct account_conf *next)
{
	numbers(d, "generation", standing->generation, next->generation);
	numbers(d, "weight", standing->weight, next->weight);
	for (uint32_t i = 0; i < standing->n_services; i++)
		service_diff(d, standing->services[i].name,
			     &standing->services[i],
			     account_service(next, standing->services[i].name));
	for (uint32_t i = 0; i < next->n_services; i++)
		if (!account_service(standing, next->services[i].name))
			service_diff(d, next->services[i].name, NULL,
				     &next->services[i]);
}

uint32_t publication_diff(const struct account_conf *standing,
			  const struct account_conf *next,
			  struct change_watch watch)
{
	const struct account_conf *either = standing ? standing : next;
	struct differ d = { .watch = watch };

	if (!either)
		return 0;
	d.at = (struct change){ .account = either->name,
				.service = "",
				.target = "" };
	if (!standing)
		tell(&d, CHANGE_ADDED, "", "", "");
	else if (!next)
		tell(&d, CHANGE_REMOVED, "", "", "");
	else
		account_values(&d, standing, next);
	return d.n;
}
