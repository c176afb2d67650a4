#include "publication.h"

#include "settings.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#define VALUE_BYTES 32

static const char *const protocols[] = { "coap", "udp" };
static const char *const classes[] = { "feed", "report", "upload" };
static const char *const states[] = { "up", "draining" };
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

static const struct target_conf *target_find(const struct service_conf *s,
					     uint64_t addr)
{
	for (uint32_t i = 0; i < s->n_targets; i++)
		if (s->targets[i].addr == addr)
			return &s->targets[i];
	return NULL;
}

static const struct service_conf *service_find(const struct account_conf *a,
					       const char *name)
{
	for (uint32_t i = 0; i < a->n_services; i++)
		if (!strcmp(a->services[i].name, name))
			return &a->services[i];
	return NULL;
}

static void target_values(struct differ *d, const struct target_conf *old,
			  const struct target_conf *new)
{
	words(d, "state", states, old->state, new->state);
	numbers(d, "weight", old->weight, new->weight);
	numbers(d, "slots", old->slots, new->slots);
	numbers(d, "connections", old->connections, new->connections);
}

static void target_diff(struct differ *d, const struct target_conf *old,
			const struct target_conf *new)
{
	char text[VALUE_BYTES];

	d->at.target =
		addr_text(old ? old->addr : new->addr, text, sizeof(text));
	if (!old)
		tell(d, CHANGE_ADDED, "", "", "");
	else if (!new)
		tell(d, CHANGE_REMOVED, "", "", "");
	else
		target_values(d, old, new);
	d->at.target = "";
}

static void targets_diff(struct differ *d, const struct service_conf *old,
			 const struct service_conf *new)
{
	for (uint32_t i = 0; i < old->n_targets; i++)
		target_diff(d, &old->targets[i],
			    target_find(new, old->targets[i].addr));
	for (uint32_t i = 0; i < new->n_targets; i++)
		if (!target_find(old, new->targets[i].addr))
			target_diff(d, NULL, &new->targets[i]);
}

static void service_values(struct differ *d, const struct service_conf *old,
			   const struct service_conf *new)
{
	addresses(d, "vip", old->vip, new->vip);
	words(d, "protocol", protocols, old->protocol, new->protocol);
	words(d, "class", classes, old->class, new->class);
	words(d, "post_idempotent", truths, old->post_idempotent,
	      new->post_idempotent);
	words(d, "target_dedups", truths, old->target_dedups,
	      new->target_dedups);
	numbers(d, "request_timeout_ms", old->request_timeout_ns / NS_PER_MS,
		new->request_timeout_ns / NS_PER_MS);
	numbers(d, "queue_max", old->queue_max, new->queue_max);
	targets_diff(d, old, new);
}

static void service_diff(struct differ *d, const struct service_conf *old,
			 const struct service_conf *new)
{
	d->at.service = old ? old->name : new->name;
	if (!old)
		tell(d, CHANGE_ADDED, "", "", "");
	else if (!new)
		tell(d, CHANGE_REMOVED, "", "", "");
	else
		service_values(d, old, new);
	d->at.service = "";
}

static void account_values(struct differ *d, const struct account_conf *old,
			   const struct account_conf *new)
{
	numbers(d, "generation", old->generation, new->generation);
	numbers(d, "weight", old->weight, new->weight);
	for (uint32_t i = 0; i < old->n_services; i++)
		service_diff(d, &old->services[i],
			     service_find(new, old->services[i].name));
	for (uint32_t i = 0; i < new->n_services; i++)
		if (!service_find(old, new->services[i].name))
			service_diff(d, NULL, &new->services[i]);
}

uint32_t publication_diff(const struct account_conf *old,
			  const struct account_conf *new,
			  struct change_watch watch)
{
	struct differ d = { .watch = watch };

	if (!old && !new)
		return 0;
	d.at = (struct change){ .account = old ? old->name : new->name,
				.service = "",
				.target = "" };
	if (!old)
		tell(&d, CHANGE_ADDED, "", "", "");
	else if (!new)
		tell(&d, CHANGE_REMOVED, "", "", "");
	else
		account_values(&d, old, new);
	return d.n;
}
