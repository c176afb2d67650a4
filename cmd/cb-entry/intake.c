/*
 * Client accounts and the list of VMs, received from cb-watch. All changes that
 * arrive in one iteration of the loop are applied together in the next one: a
 * new process receives all accounts at once, and each application rebuilds the
 * tables.
 */
#include "daemon.h"
#include "log.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>

/**
 * struct account_change - a change of one client account
 * @account: account to put in force, owned; NULL for a withdrawal
 * @withdrawn: name of the account that was withdrawn
 */
struct account_change {
	struct account_conf *account;
	char withdrawn[NAME_MAX_BYTES];
};

/**
 * struct intake - what was received and is not applied yet
 * @changes: changes of accounts, in the order of their arrival
 * @n_changes: number of @changes
 * @capacity: allocated number of @changes
 * @vms: addresses of the VMs that was received last
 * @n_vms: number of @vms
 * @vms_changed: @vms was not applied yet
 */
struct intake {
	struct account_change *changes;
	uint32_t n_changes;
	uint32_t capacity;
	uint64_t *vms;
	uint32_t n_vms;
	bool vms_changed;
};

static void apply_pending(uv_timer_t *timer);

/* A timer that is due also keeps the loop from waiting for events before it. */
static void schedule_apply(struct daemon *d)
{
	uv_timer_start(&d->apply_timer, apply_pending, 0, 0);
}

static struct account_change *add_change(struct daemon *d)
{
	struct intake *in = d->intake;
	struct account_change *grown = in->changes;

	if (in->n_changes == in->capacity) {
		in->capacity = in->capacity ? in->capacity * 2 : 16;
		grown = realloc(in->changes, in->capacity * sizeof(*grown));
	}
	if (!grown)
		return NULL;
	in->changes = grown;
	grown[in->n_changes] = (struct account_change){ 0 };
	schedule_apply(d);
	return &grown[in->n_changes++];
}

static void on_account(void *ctx, struct account_conf *account)
{
	struct daemon *d = ctx;
	struct account_change *c = add_change(d);

	if (c) {
		c->account = account;
		return;
	}
	log_line(LOG_ERROR, "intake.account", account->name, "out of memory");
	account_free(account);
}

static void on_account_withdrawn(void *ctx, const char *name)
{
	struct daemon *d = ctx;
	struct account_change *c = add_change(d);

	if (c)
		g_strlcpy(c->withdrawn, name, sizeof(c->withdrawn));
}

static void on_roster(void *ctx, const uint64_t *vms, uint32_t n)
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
	schedule_apply(d);
}

/*
 * A restarted cb-watch may have an older copy. An older generation never
 * replaces the one in force.
 */
static bool is_older(const struct config *c, const struct account_conf *a)
{
	const struct account_conf *now = config_find_account(c, a->name);

	return now && a->generation < now->generation;
}

static void put_in_force(struct config *c, struct account_conf *account)
{
	uint64_t generation = account->generation;
	char name[NAME_MAX_BYTES];
	int err;

	g_strlcpy(name, account->name, sizeof(name));
	if (is_older(c, account)) {
		log_line(LOG_WARNING, "intake.account", name,
			 "generation %llu is older than the one in force",
			 (unsigned long long)generation);
		account_free(account);
		return;
	}
	err = config_put(c, account);
	if (err) {
		log_line(LOG_ERROR, "intake.account", name, "%s",
			 strerror(-err));
		account_free(account);
		return;
	}
	log_line(LOG_INFO, "intake.account", name, "generation %llu in force",
		 (unsigned long long)generation);
}

static void remove_account(struct config *c, const char *name)
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
	uint64_t now_ns = daemon_run_due_tick(d);

	for (uint32_t i = 0; i < in->n_changes; i++) {
		if (in->changes[i].account)
			put_in_force(&d->config, in->changes[i].account);
		else
			remove_account(&d->config, in->changes[i].withdrawn);
	}
	in->n_changes = 0;
	entry_config(d->entry, &d->config, now_ns, &d->actions);
	actions_execute(d);
	callers_apply_config(d);
	polls_apply_config(d);
}

static void apply_roster(struct daemon *d, struct intake *in)
{
	uint64_t now_ns = daemon_run_due_tick(d);

	in->vms_changed = false;
	entry_roster(d->entry, in->vms, in->n_vms, now_ns, &d->actions);
	actions_execute(d);
}

/*
 * struct entry keeps pointers into the configuration, so it is changed only
 * here, right before the entry gets the new one.
 */
static void apply_pending(uv_timer_t *timer)
{
	struct daemon *d = timer->loop->data;

	if (d->intake->n_changes)
		apply_changes(d, d->intake);
	if (d->intake->vms_changed)
		apply_roster(d, d->intake);
}

/**
 * intake_open() - start the connection to cb-watch
 * @d: daemon
 *
 * Return: 0 or a negative error number.
 */
int intake_open(struct daemon *d)
{
	struct entry_link_handler handler = { d, on_account,
					      on_account_withdrawn, on_roster };
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
 * intake_close() - close the connection and free changes that aren't applied
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
