/*
 * Accounts and the list of VMs, as cb-watch sends them. What arrives in one
 * turn of the loop is put in force in one go in the next: a new process gets
 * every account at once, and each change rebuilds the tables.
 */
#include "daemon.h"
#include "log.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>

/* An account to put in force, or the name of one that was withdrawn. */
struct change {
	struct account_conf *account;
	char gone[NAME_MAX_BYTES];
};

struct intake {
	struct change *changes;
	uint32_t n_changes;
	uint32_t capacity;
	uint64_t *vms;
	uint32_t n_vms;
	bool vms_changed;
};

static void apply(uv_timer_t *timer);

/* A timer, since it also keeps the loop from waiting before it has run. */
static void apply_soon(struct daemon *d)
{
	uv_timer_start(&d->apply_timer, apply, 0, 0);
}

static struct change *change_add(struct daemon *d)
{
	struct intake *in = d->intake;
	struct change *grown = in->changes;

	if (in->n_changes == in->capacity) {
		in->capacity = in->capacity ? in->capacity * 2 : 16;
		grown = realloc(in->changes, in->capacity * sizeof(*grown));
	}
	if (!grown)
		return NULL;
	in->changes = grown;
	grown[in->n_changes] = (struct change){ 0 };
	apply_soon(d);
	return &grown[in->n_changes++];
}

static void account(void *ctx, struct account_conf *take)
{
	struct daemon *d = ctx;
	struct change *c = change_add(d);

	if (c) {
		c->account = take;
		return;
	}
	log_line(LOG_ERROR, "intake.account", take->name, "out of memory");
	account_free(take);
}

static void account_gone(void *ctx, const char *name)
{
	struct daemon *d = ctx;
	struct change *c = change_add(d);

	if (c)
		g_strlcpy(c->gone, name, sizeof(c->gone));
}

static void roster(void *ctx, const uint64_t *vms, uint32_t n)
{
	struct daemon *d = ctx;
	uint64_t *copy = calloc(n + 1, sizeof(*copy));

	if (!copy)
		return;
	if (n)
		memcpy(copy, vms, n * sizeof(*copy));
	free(d->intake->vms);
	d->intake->vms = copy;
	d->intake->n_vms = n;
	d->intake->vms_changed = true;
	apply_soon(d);
}

/*
 * cb-watch may restart with an older copy; the configuration in force never
 * goes back.
 */
static bool is_older(const struct config *c, const struct account_conf *a)
{
	const struct account_conf *now = config_find_account(c, a->name);

	return now && a->generation < now->generation;
}

static void put_account(struct config *c, struct account_conf *take)
{
	uint64_t generation = take->generation;
	char name[NAME_MAX_BYTES];
	int err;

	g_strlcpy(name, take->name, sizeof(name));
	if (is_older(c, take)) {
		log_line(LOG_WARNING, "intake.account", name,
			 "generation %llu is older than the one in force",
			 (unsigned long long)generation);
		account_free(take);
		return;
	}
	err = config_put(c, take);
	if (err) {
		log_line(LOG_ERROR, "intake.account", name, "%s",
			 strerror(-err));
		account_free(take);
		return;
	}
	log_line(LOG_INFO, "intake.account", name, "generation %llu in force",
		 (unsigned long long)generation);
}

static void drop_account(struct config *c, const char *name)
{
	const struct account_conf *found = config_find_account(c, name);
	uint32_t at;

	if (!found)
		return;
	at = (uint32_t)(found - c->accounts);
	account_clear(&c->accounts[at]);
	c->n_accounts--;
	memmove(&c->accounts[at], &c->accounts[at + 1],
		(c->n_accounts - at) * sizeof(*c->accounts));
	log_line(LOG_INFO, "intake.account", name, "withdrawn");
}

static void apply_changes(struct daemon *d, struct intake *in)
{
	uint64_t now_ns = daemon_catch_up(d);

	for (uint32_t i = 0; i < in->n_changes; i++) {
		if (in->changes[i].account)
			put_account(&d->config, in->changes[i].account);
		else
			drop_account(&d->config, in->changes[i].gone);
	}
	in->n_changes = 0;
	entry_config(d->entry, &d->config, now_ns, &d->actions);
	act(d);
	callers_config(d);
	polls_config(d);
}

static void apply_roster(struct daemon *d, struct intake *in)
{
	uint64_t now_ns = daemon_catch_up(d);

	in->vms_changed = false;
	entry_roster(d->entry, in->vms, in->n_vms, now_ns, &d->actions);
	act(d);
}

/*
 * The decisions point into the configuration, so it changes only here, right
 * before they are told.
 */
static void apply(uv_timer_t *timer)
{
	struct daemon *d = timer->loop->data;

	if (d->intake->n_changes)
		apply_changes(d, d->intake);
	if (d->intake->vms_changed)
		apply_roster(d, d->intake);
}

/**
 * intake_open() - open the link to cb-watch
 * @d: daemon
 *
 * Return: 0 or a negative error number.
 */
int intake_open(struct daemon *d)
{
	struct entry_link_handler handler = { d, account, account_gone,
					      roster };
	struct entry_link_conf conf = {
		.endpoint = d->settings.watch,
		.self = d->settings.peer,
		.data_centre = d->settings.data_centre,
		.key = d->settings.key,
	};
	int err;

	d->intake = calloc(1, sizeof(*d->intake));
	if (!d->intake)
		return -ENOMEM;
	uv_timer_init(d->loop, &d->apply_timer);
	err = entry_link_start(d->loop, &conf, handler, &d->link);
	if (err)
		log_line(LOG_ERROR, "intake.link", d->settings.watch, "%s",
			 strerror(-err));
	return err;
}

/**
 * intake_close() - close the link and drop what hasn't been applied
 * @d: daemon
 */
void intake_close(struct daemon *d)
{
	struct intake *in = d->intake;

	if (d->link)
		entry_link_close(d->link);
	if (!in)
		return;
	for (uint32_t i = 0; i < in->n_changes; i++)
		account_free(in->changes[i].account);
	free(in->changes);
	free(in->vms);
	free(in);
	d->intake = NULL;
}
