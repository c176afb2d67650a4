#include "publication.h"

#include "publication_names.h"
#include "settings.h"

#include <stdio.h>
#include <string.h>

#define DOCUMENT_BYTES 128
#define KEY_TEXT_BYTES 128
#define PROBLEM_BYTES 160
/* A generation that grows by this much or more is probably a typing error. */
#define GENERATION_STEP_MAX 1000000

/**
 * struct comparison - state of publication_compare()
 * @current: account in force
 * @next: account to be published, or NULL
 * @document: key of the account's document
 * @is_changed: something besides the generation differs
 * @mistakes: list to which mistakes are added
 */
struct comparison {
	const struct account_conf *current;
	const struct account_conf *next;
	char document[DOCUMENT_BYTES];
	bool is_changed;
	struct mistakes *mistakes;
};

static void warn(struct comparison *c, const struct change *change,
		 const char *problem, const char *expected)
{
	char key[KEY_TEXT_BYTES];

	snprintf(key, sizeof(key), "%s%s%s%s%s", change->service,
		 change->target[0] ? "." : "", change->target,
		 change->service[0] && change->key[0] ? "." : "", change->key);
	mistake_add_warning(c->mistakes, c->document, 0, key, problem,
			    expected);
}

static bool was_draining(const struct comparison *c,
			 const struct change *change)
{
	const struct service_conf *s =
		account_find_service(c->current, change->service);
	const struct target_conf *t = NULL;
	uint64_t addr;

	if (s && !addr_parse(change->target, &addr))
		t = service_find_target(s, addr);
	return t && t->state == TARGET_DRAINING;
}

static void check_removed(struct comparison *c, const struct change *change)
{
	if (!change->service[0])
		warn(c, change,
		     "the account is withdrawn, its flows are orphaned",
		     "an account whose targets have drained");
	else if (!change->target[0])
		warn(c, change,
		     "the service is removed, its flows are orphaned",
		     "a service whose targets have drained");
	else if (!was_draining(c, change))
		warn(c, change,
		     "the target is removed undrained, its flows are cut",
		     "state = \"draining\" in an earlier generation");
}

static void check_value(struct comparison *c, const struct change *change)
{
	if (!strcmp(change->key, "vip"))
		warn(c, change, "callers of the old VIP are orphaned",
		     "a new service beside the old one");
	else if (!strcmp(change->key, "protocol"))
		warn(c, change, "existing flows are read by another protocol",
		     "a new service beside the old one");
}

static void on_change(void *ctx, const struct change *change)
{
	struct comparison *c = ctx;

	if (strcmp(change->key, "generation"))
		c->is_changed = true;
	if (change->kind == CHANGE_REMOVED)
		check_removed(c, change);
	else if (change->kind == CHANGE_VALUE)
		check_value(c, change);
}

/**
 * struct capacity - capacity of the targets of a service that are up
 * @connections: sum of their connections
 * @slots: sum of their slots
 * @n_up: number of these targets
 */
struct capacity {
	uint64_t connections;
	uint64_t slots;
	uint32_t n_up;
};

static struct capacity total_capacity(const struct service_conf *s)
{
	struct capacity sum = { 0 };

	for (uint32_t i = 0; i < s->n_targets; i++) {
		if (s->targets[i].state != TARGET_UP)
			continue;
		sum.connections += s->targets[i].connections;
		sum.slots += s->targets[i].slots;
		sum.n_up++;
	}
	return sum;
}

static void warn_decrease(struct comparison *c, const char *service,
			  const char *key, uint64_t before, uint64_t after)
{
	struct change change = { .service = service, .target = "", .key = key };
	char problem[PROBLEM_BYTES];

	if (after >= before)
		return;
	snprintf(problem, sizeof(problem),
		 "targets that are up offer %llu, before %llu; existing flows "
		 "may exceed it",
		 (unsigned long long)after, (unsigned long long)before);
	warn(c, &change, problem, "capacity for the existing flows");
}

static void check_capacity(struct comparison *c,
			   const struct service_conf *current,
			   const struct service_conf *next)
{
	struct capacity before = total_capacity(current);
	struct capacity after = total_capacity(next);
	struct change change = { .service = next->name,
				 .target = "",
				 .key = "" };

	warn_decrease(c, next->name, "connections", before.connections,
		      after.connections);
	warn_decrease(c, next->name, "slots", before.slots, after.slots);
	if (before.n_up && !after.n_up)
		warn(c, &change,
		     "no target is up, all new requests are refused",
		     "one target with state = \"up\"");
}

/*
 * Warns of a large step: a typing error cannot be undone, since lower
 * generations are refused afterwards.
 */
static void check_generation_step(struct comparison *c)
{
	struct change change = { .service = "",
				 .target = "",
				 .key = "generation" };
	char problem[PROBLEM_BYTES];

	if (c->next->generation < c->current->generation + GENERATION_STEP_MAX)
		return;
	snprintf(problem, sizeof(problem), "jumps from %llu to %llu",
		 (unsigned long long)c->current->generation,
		 (unsigned long long)c->next->generation);
	warn(c, &change, problem,
	     "the next one; lower ones are refused afterwards");
}

static void check_generation(struct comparison *c)
{
	char problem[PROBLEM_BYTES];

	if (!c->is_changed || c->next->generation > c->current->generation)
		return;
	snprintf(problem, sizeof(problem),
		 "%llu is not above %llu, which is in force",
		 (unsigned long long)c->next->generation,
		 (unsigned long long)c->current->generation);
	mistake_add(c->mistakes, c->document, 0, "generation", problem,
		    "a higher one; VMs ignore the change otherwise");
}

void publication_compare(const struct account_conf *current,
			 const struct account_conf *next,
			 struct mistakes *mistakes)
{
	struct comparison c = { .current = current,
				.next = next,
				.mistakes = mistakes };

	snprintf(c.document, sizeof(c.document), "account/%s", current->name);
	publication_diff(current, next,
			 (struct change_handler){ &c, on_change });
	if (!next)
		return;
	check_generation(&c);
	check_generation_step(&c);
	for (uint32_t i = 0; i < current->n_services; i++) {
		const struct service_conf *s =
			account_find_service(next, current->services[i].name);

		if (s)
			check_capacity(&c, &current->services[i], s);
	}
}
