#include "publication.h"

#include "publication_words.h"
#include "settings.h"

#include <stdio.h>
#include <string.h>

#define DOCUMENT_BYTES 128
#define KEY_TEXT_BYTES 128
#define PROBLEM_BYTES 160
#define JUMP_USUAL_MAX 1000000

/**
 * struct comparison - two accounts, and what differs besides the generation
 * @standing: account in force
 * @next: account to be published
 * @document: key of the account's document
 * @changed: something but the generation differs
 * @m: mistakes
 */
struct comparison {
	const struct account_conf *standing;
	const struct account_conf *next;
	char document[DOCUMENT_BYTES];
	bool changed;
	struct mistakes *m;
};

static void warn(struct comparison *c, const struct change *at,
		 const char *problem, const char *expected)
{
	char key[KEY_TEXT_BYTES];

	snprintf(key, sizeof(key), "%s%s%s%s%s", at->service,
		 at->target[0] ? "." : "", at->target,
		 at->service[0] && at->key[0] ? "." : "", at->key);
	mistake_warn(c->m, c->document, 0, key, problem, expected);
}

static bool was_draining(const struct comparison *c, const struct change *at)
{
	const struct service_conf *s =
		account_service(c->standing, at->service);
	const struct target_conf *t = NULL;
	uint64_t addr;

	if (s && !addr_parse(at->target, &addr))
		t = service_target(s, addr);
	return t && t->state == TARGET_DRAINING;
}

static void removed(struct comparison *c, const struct change *at)
{
	if (!at->service[0])
		warn(c, at, "the account goes, its flows are orphaned",
		     "an account whose targets have drained");
	else if (!at->target[0])
		warn(c, at, "the service goes, its flows are orphaned",
		     "a service whose targets have drained");
	else if (!was_draining(c, at))
		warn(c, at, "the target goes undrained, its flows are cut",
		     "state = \"draining\" in an earlier generation");
}

static void value(struct comparison *c, const struct change *at)
{
	if (!strcmp(at->key, "vip"))
		warn(c, at, "callers of the old VIP are orphaned",
		     "a new service beside the old one");
	else if (!strcmp(at->key, "protocol"))
		warn(c, at, "flows that stand are read by another protocol",
		     "a new service beside the old one");
}

static void look(void *ctx, const struct change *at)
{
	struct comparison *c = ctx;

	if (strcmp(at->key, "generation"))
		c->changed = true;
	if (at->kind == CHANGE_REMOVED)
		removed(c, at);
	else if (at->kind == CHANGE_VALUE)
		value(c, at);
}

struct capacity {
	uint64_t connections;
	uint64_t slots;
	uint32_t up;
};

static struct capacity capacity_of(const struct service_conf *s)
{
	struct capacity sum = { 0 };

	for (uint32_t i = 0; i < s->n_targets; i++) {
		if (s->targets[i].state != TARGET_UP)
			continue;
		sum.connections += s->targets[i].connections;
		sum.slots += s->targets[i].slots;
		sum.up++;
	}
	return sum;
}

static void falls(struct comparison *c, const char *service, const char *key,
		  uint64_t before, uint64_t after)
{
	struct change at = { .service = service, .target = "", .key = key };
	char problem[PROBLEM_BYTES];

	if (after >= before)
		return;
	snprintf(problem, sizeof(problem),
		 "targets that are up offer %llu, before %llu; what stands may "
		 "exceed it",
		 (unsigned long long)after, (unsigned long long)before);
	warn(c, &at, problem, "room for what stands today");
}

static void capacity_check(struct comparison *c,
			   const struct service_conf *standing,
			   const struct service_conf *next)
{
	struct capacity before = capacity_of(standing);
	struct capacity after = capacity_of(next);
	struct change at = { .service = next->name, .target = "", .key = "" };

	falls(c, next->name, "connections", before.connections,
	      after.connections);
	falls(c, next->name, "slots", before.slots, after.slots);
	if (before.up && !after.up)
		warn(c, &at, "no target is up, all new work is refused",
		     "one target with state = \"up\"");
}

/* A slip of the finger can't be taken back: a lower one is refused. */
static void jump_check(struct comparison *c)
{
	struct change at = { .service = "", .target = "", .key = "generation" };
	char problem[PROBLEM_BYTES];

	if (c->next->generation < c->standing->generation + JUMP_USUAL_MAX)
		return;
	snprintf(problem, sizeof(problem), "jumps from %llu to %llu",
		 (unsigned long long)c->standing->generation,
		 (unsigned long long)c->next->generation);
	warn(c, &at, problem, "the next one; no lower one is taken after it");
}

static void generation_check(struct comparison *c)
{
	char problem[PROBLEM_BYTES];

	if (!c->changed || c->next->generation > c->standing->generation)
		return;
	snprintf(problem, sizeof(problem),
		 "%llu is not above %llu, which is in force",
		 (unsigned long long)c->next->generation,
		 (unsigned long long)c->standing->generation);
	mistake_add(c->m, c->document, 0, "generation", problem,
		    "a generation that grows, or no VM takes the change");
}

void publication_compare(const struct account_conf *standing,
			 const struct account_conf *next,
			 struct mistakes *mistakes)
{
	struct comparison c = { .standing = standing,
				.next = next,
				.m = mistakes };

	snprintf(c.document, sizeof(c.document), "account/%s", standing->name);
	publication_diff(standing, next, (struct change_watch){ &c, look });
	if (!next)
		return;
	generation_check(&c);
	jump_check(&c);
	for (uint32_t i = 0; i < standing->n_services; i++) {
		const struct service_conf *s =
			account_service(next, standing->services[i].name);

		if (s)
			capacity_check(&c, &standing->services[i], s);
	}
}
