/* Construction of the balancer's tables from a configuration. */
#include "balance_state.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>

/*
 * A service of the new configuration, to be sorted: its address, the index of
 * its account and its configuration.
 */
struct service_ref {
	uint64_t vip;
	uint32_t account;
	const struct service_conf *conf;
};

static int compare_u64(uint64_t a, uint64_t b)
{
	return (a > b) - (a < b);
}

/*
 * When two accounts have the same VIP, it belongs to the first by name, as in
 * entry.c. Sorted by VIP alone, their order would depend on qsort(), and the
 * balancer could queue and count one account's work as the other's, or send it
 * to the other's targets.
 */
static int compare_service_ref(const void *a, const void *b)
{
	const struct service_ref *x = a;
	const struct service_ref *y = b;

	if (x->vip != y->vip)
		return compare_u64(x->vip, y->vip);
	return compare_u64(x->account, y->account);
}

static int compare_target_conf(const void *a, const void *b)
{
	const struct target_conf *const *x = a;
	const struct target_conf *const *y = b;

	return compare_u64((*x)->addr, (*y)->addr);
}

static int compare_target(const void *a, const void *b)
{
	const struct target *x = a;
	const struct target *y = b;

	return compare_u64(x->addr, y->addr);
}

/**
 * tables_clear() - free the tables
 * @t: tables; all zero afterwards
 */
void tables_clear(struct tables *t)
{
	free(t->accounts);
	free(t->services);
	free(t->backends);
	free(t->targets);
	free(t->links);
	free(t->candidates);
	free(t->latencies_ns);
	memset(t, 0, sizeof(*t));
}

static void *alloc_table(uint32_t n, size_t size_bytes)
{
	return calloc(n ? n : 1, size_bytes);
}

static int alloc_tables(struct tables *t, uint32_t n_kept)
{
	t->accounts = alloc_table(t->n_accounts, sizeof(*t->accounts));
	t->services = alloc_table(t->n_services, sizeof(*t->services));
	t->backends = alloc_table(t->n_backends, sizeof(*t->backends));
	t->targets = alloc_table(t->n_backends + n_kept, sizeof(*t->targets));
	t->links = alloc_table(t->n_backends, sizeof(*t->links));
	t->candidates = alloc_table(t->n_backends, sizeof(*t->candidates));
	t->latencies_ns = alloc_table(t->n_backends, sizeof(*t->latencies_ns));
	if (!t->accounts || !t->services || !t->backends || !t->targets ||
	    !t->links || !t->candidates || !t->latencies_ns)
		return -ENOMEM;
	return 0;
}

static void count_rows(struct tables *t, const struct config *config)
{
	t->n_accounts = config->n_accounts;
	for (uint32_t i = 0; i < config->n_accounts; i++) {
		const struct account_conf *a = &config->accounts[i];

		t->n_services += a->n_services;
		for (uint32_t j = 0; j < a->n_services; j++)
			t->n_backends += a->services[j].n_targets;
	}
}

/* Binary search; the accounts are sorted by name. */
static const struct account *find_account(const struct tables *t,
					  const char *name)
{
	uint32_t low = 0;
	uint32_t high = t->n_accounts;

	while (low < high) {
		uint32_t mid = low + (high - low) / 2;
		int order = strcmp(t->accounts[mid].name, name);

		if (!order)
			return &t->accounts[mid];
		if (order < 0)
			low = mid + 1;
		else
			high = mid;
	}
	return NULL;
}

static void fill_accounts(struct tables *t, const struct tables *old,
			  const struct config *config)
{
	for (uint32_t i = 0; i < config->n_accounts; i++) {
		struct account *a = &t->accounts[i];
		const struct account *old_account;

		old_account = find_account(old, config->accounts[i].name);
		if (old_account)
			*a = *old_account;
		else
			budget_init(&a->budget);
		memcpy(a->name, config->accounts[i].name, NAME_MAX_BYTES);
		a->weight = config->accounts[i].weight
				    ? config->accounts[i].weight
				    : 1;
		a->n_queued = 0;
		t->weight_sum += a->weight;
	}
}

static int collect_services(struct service_ref **out,
			    const struct config *config, uint32_t n)
{
	struct service_ref *l = alloc_table(n, sizeof(*l));
	uint32_t k = 0;

	if (!l)
		return -ENOMEM;
	for (uint32_t i = 0; i < config->n_accounts; i++) {
		const struct account_conf *a = &config->accounts[i];

		for (uint32_t j = 0; j < a->n_services; j++) {
			l[k].vip = a->services[j].vip;
			l[k].account = i;
			l[k].conf = &a->services[j];
			k++;
		}
	}
	qsort(l, n, sizeof(*l), compare_service_ref);
	*out = l;
	return 0;
}

static void fill_service(struct tables *t, const struct tables *old,
			 uint32_t index, const struct service_ref *l)
{
	struct service *s = &t->services[index];
	uint32_t old_index = tables_find_service(old, l->vip);

	if (old_index != INDEX_NONE)
		*s = old->services[old_index];
	s->vip = l->vip;
	s->account = l->account;
	s->class = l->conf->class;
	s->queue_max = l->conf->queue_max;
	s->n_backends = l->conf->n_targets;
	s->n_queued = 0;
	queue_init(&s->queue);
}

/* Each listed address once, and targets at which this entry still has work. */
static void fill_targets(struct tables *t, const struct tables *old,
			 const struct service_ref *l)
{
	uint32_t n = 0;
	uint32_t unique = 0;

	for (uint32_t i = 0; i < t->n_services; i++)
		for (uint32_t j = 0; j < l[i].conf->n_targets; j++)
			t->targets[n++].addr = l[i].conf->targets[j].addr;
	for (uint32_t i = 0; i < old->n_targets; i++)
		if (old->targets[i].inflight || old->targets[i].feeds)
			t->targets[n++].addr = old->targets[i].addr;
	qsort(t->targets, n, sizeof(*t->targets), compare_target);
	for (uint32_t i = 0; i < n; i++)
		if (!i || t->targets[i].addr != t->targets[i - 1].addr)
			t->targets[unique++].addr = t->targets[i].addr;
	t->n_targets = unique;
}

static void retain_targets(struct tables *t, const struct tables *old,
			   uint64_t now_ns)
{
	for (uint32_t i = 0; i < t->n_targets; i++) {
		struct target *target = &t->targets[i];
		uint32_t old_index = tables_find_target(old, target->addr);

		if (old_index != INDEX_NONE) {
			*target = old->targets[old_index];
		} else {
			load_view_init(&target->load_view);
			target->aimd_limit_milli = UINT32_MAX;
			/*
			 * After a restart of the entry all targets are new to
			 * it but not just started: no slow start.
			 */
			if (old->n_targets)
				target->slow_start_end_ns =
					now_ns + SLOW_START_NS;
		}
		target->listed = false;
		target->slots = UINT16_MAX;
		target->connections = UINT32_MAX;
		target->n_links = 0;
		target->needs_recheck = false;
	}
}

static void fill_backend(struct tables *t, const struct tables *old,
			 uint32_t service, uint32_t index,
			 const struct target_conf *conf)
{
	struct service *s = &t->services[service];
	struct backend *be = &t->backends[index];
	uint32_t old_service = tables_find_service(old, s->vip);
	uint32_t old_index = INDEX_NONE;
	struct target *target;

	if (old_service != INDEX_NONE)
		old_index = tables_find_backend(
			old, &old->services[old_service], conf->addr);
	be->pass = s->pass;
	if (old_index != INDEX_NONE)
		*be = old->backends[old_index];
	be->service = service;
	be->target = tables_find_target(t, conf->addr);
	be->state = conf->state;
	be->weight = conf->weight ? conf->weight : 1;
	queue_init(&be->pinned);
	target = &t->targets[be->target];
	target->listed = true;
	target->n_links++;
	if (conf->slots < target->slots)
		target->slots = conf->slots ? conf->slots : 1;
	if (conf->connections < target->connections)
		target->connections = conf->connections;
}

static int fill_backends(struct tables *t, const struct tables *old,
			 const struct service_ref *l)
{
	const struct target_conf **order =
		alloc_table(t->n_backends, sizeof(*order));
	uint32_t k = 0;

	if (!order)
		return -ENOMEM;
	for (uint32_t i = 0; i < t->n_services; i++) {
		const struct service_conf *conf = l[i].conf;

		for (uint32_t j = 0; j < conf->n_targets; j++)
			order[j] = &conf->targets[j];
		qsort(order, conf->n_targets, sizeof(*order),
		      compare_target_conf);
		t->services[i].first_backend = k;
		t->services[i].first_candidate = k;
		for (uint32_t j = 0; j < conf->n_targets; j++)
			fill_backend(t, old, i, k++, order[j]);
	}
	free(order);
	return 0;
}

static void fill_links(struct tables *t)
{
	uint32_t first = 0;

	for (uint32_t i = 0; i < t->n_targets; i++) {
		t->targets[i].first_link = first;
		first += t->targets[i].n_links;
		t->targets[i].n_links = 0;
	}
	for (uint32_t i = 0; i < t->n_backends; i++) {
		struct target *target = &t->targets[t->backends[i].target];

		t->links[target->first_link + target->n_links++] = i;
	}
}

/* Move a queued item to its queue in the new tables, or refuse it. */
static void requeue(struct balancer *b, struct tables *t, uint32_t handle)
{
	struct item *item = &b->items[handle];
	uint32_t service = tables_find_service(t, item->work.vip);
	uint32_t backend = INDEX_NONE;
	struct queue *q;

	if (service != INDEX_NONE && item->backend != INDEX_NONE)
		backend = tables_find_backend(t, &t->services[service],
					      item->work.pinned);
	if (service == INDEX_NONE ||
	    (item->backend != INDEX_NONE && backend == INDEX_NONE)) {
		deadline_heap_remove(&b->deadlines, handle);
		b->n_queued--;
		item->state = ITEM_REFUSED;
		item->reason = REFUSE_NO_TARGET;
		item->service = INDEX_NONE;
		queue_add(b, &b->refused, handle);
		return;
	}
	item->service = service;
	item->backend = backend;
	q = backend == INDEX_NONE ? &t->services[service].queue
				  : &t->backends[backend].pinned;
	queue_add(b, q, handle);
	t->services[service].n_queued++;
	t->accounts[t->services[service].account].n_queued++;
}

static void requeue_all(struct balancer *b, struct tables *t, struct queue *q)
{
	uint32_t handle = q->head;

	while (handle != INDEX_NONE) {
		uint32_t next = b->items[handle].next;

		requeue(b, t, handle);
		handle = next;
	}
}

static void install_tables(struct balancer *b, struct tables *t)
{
	for (uint32_t i = 0; i < b->tables.n_services; i++)
		requeue_all(b, t, &b->tables.services[i].queue);
	for (uint32_t i = 0; i < b->tables.n_backends; i++)
		requeue_all(b, t, &b->tables.backends[i].pinned);
	for (uint32_t h = b->refused.head; h != INDEX_NONE;
	     h = b->items[h].next)
		b->items[h].service =
			tables_find_service(t, b->items[h].work.vip);
	tables_clear(&b->tables);
	b->tables = *t;
	b->recheck_head = INDEX_NONE;
}

/**
 * tables_build() - build the tables from a configuration and put it in force
 * @b: balancer
 * @config: configuration; not used after the call
 * @now_ns: current time
 *
 * Accounts, services and targets that are in the old configuration as well keep
 * their state, and queued work remains queued.
 *
 * Return: 0, or -ENOMEM; then the old configuration remains in force.
 */
int tables_build(struct balancer *b, const struct config *config,
		 uint64_t now_ns)
{
	struct tables t = { 0 };
	struct service_ref *l = NULL;
	int err;

	count_rows(&t, config);
	err = alloc_tables(&t, b->tables.n_targets);
	if (!err)
		err = collect_services(&l, config, t.n_services);
	if (err)
		goto fail;
	fill_accounts(&t, &b->tables, config);
	for (uint32_t i = 0; i < t.n_services; i++)
		fill_service(&t, &b->tables, i, &l[i]);
	fill_targets(&t, &b->tables, l);
	retain_targets(&t, &b->tables, now_ns);
	err = fill_backends(&t, &b->tables, l);
	if (err)
		goto fail;
	fill_links(&t);
	free(l);
	install_tables(b, &t);
	shares_allocate(b);
	return 0;
fail:
	free(l);
	tables_clear(&t);
	return err;
}
