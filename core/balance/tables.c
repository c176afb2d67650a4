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
 * @tables: tables; all zero afterwards
 */
void tables_clear(struct tables *tables)
{
	free(tables->accounts);
	free(tables->services);
	free(tables->backends);
	free(tables->targets);
	free(tables->links);
	free(tables->candidates);
	free(tables->latencies_ns);
	memset(tables, 0, sizeof(*tables));
}

static void *alloc_table(uint32_t n, size_t size_bytes)
{
	return calloc(n ? n : 1, size_bytes);
}

static int alloc_tables(struct tables *tables, uint32_t n_kept)
{
	tables->accounts =
		alloc_table(tables->n_accounts, sizeof(*tables->accounts));
	tables->services =
		alloc_table(tables->n_services, sizeof(*tables->services));
	tables->backends =
		alloc_table(tables->n_backends, sizeof(*tables->backends));
	tables->targets = alloc_table(tables->n_backends + n_kept,
				      sizeof(*tables->targets));
	tables->links = alloc_table(tables->n_backends, sizeof(*tables->links));
	tables->candidates =
		alloc_table(tables->n_backends, sizeof(*tables->candidates));
	tables->latencies_ns =
		alloc_table(tables->n_backends, sizeof(*tables->latencies_ns));
	if (!tables->accounts || !tables->services || !tables->backends ||
	    !tables->targets || !tables->links || !tables->candidates ||
	    !tables->latencies_ns)
		return -ENOMEM;
	return 0;
}

static void count_rows(struct tables *tables, const struct config *config)
{
	tables->n_accounts = config->n_accounts;
	for (uint32_t i = 0; i < config->n_accounts; i++) {
		const struct account_conf *a = &config->accounts[i];

		tables->n_services += a->n_services;
		for (uint32_t j = 0; j < a->n_services; j++)
			tables->n_backends += a->services[j].n_targets;
	}
}

/* Binary search; the accounts are sorted by name. */
static const struct account *find_account(const struct tables *tables,
					  const char *name)
{
	uint32_t low = 0;
	uint32_t high = tables->n_accounts;

	while (low < high) {
		uint32_t mid = low + (high - low) / 2;
		int order = strcmp(tables->accounts[mid].name, name);

		if (!order)
			return &tables->accounts[mid];
		if (order < 0)
			low = mid + 1;
		else
			high = mid;
	}
	return NULL;
}

static void fill_accounts(struct tables *tables, const struct tables *old,
			  const struct config *config)
{
	for (uint32_t i = 0; i < config->n_accounts; i++) {
		struct account *a = &tables->accounts[i];
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
		tables->weight_sum += a->weight;
	}
}

static int collect_services(struct service_ref **out,
			    const struct config *config, uint32_t n)
{
	struct service_ref *refs = alloc_table(n, sizeof(*refs));
	uint32_t k = 0;

	if (!refs)
		return -ENOMEM;
	for (uint32_t i = 0; i < config->n_accounts; i++) {
		const struct account_conf *a = &config->accounts[i];

		for (uint32_t j = 0; j < a->n_services; j++) {
			refs[k].vip = a->services[j].vip;
			refs[k].account = i;
			refs[k].conf = &a->services[j];
			k++;
		}
	}
	qsort(refs, n, sizeof(*refs), compare_service_ref);
	*out = refs;
	return 0;
}

static void fill_service(struct tables *tables, const struct tables *old,
			 uint32_t index, const struct service_ref *ref)
{
	struct service *s = &tables->services[index];
	uint32_t old_index = tables_find_service(old, ref->vip);

	if (old_index != INDEX_NONE)
		*s = old->services[old_index];
	s->vip = ref->vip;
	s->account = ref->account;
	s->class = ref->conf->class;
	s->queue_max = ref->conf->queue_max;
	s->n_backends = ref->conf->n_targets;
	s->n_queued = 0;
	queue_init(&s->queue);
}

/* Each listed address once, and targets at which this entry still has work. */
static void fill_targets(struct tables *tables, const struct tables *old,
			 const struct service_ref *refs)
{
	uint32_t n = 0;
	uint32_t unique = 0;

	for (uint32_t i = 0; i < tables->n_services; i++)
		for (uint32_t j = 0; j < refs[i].conf->n_targets; j++)
			tables->targets[n++].addr =
				refs[i].conf->targets[j].addr;
	for (uint32_t i = 0; i < old->n_targets; i++)
		if (old->targets[i].inflight || old->targets[i].feeds)
			tables->targets[n++].addr = old->targets[i].addr;
	qsort(tables->targets, n, sizeof(*tables->targets), compare_target);
	for (uint32_t i = 0; i < n; i++)
		if (!i ||
		    tables->targets[i].addr != tables->targets[i - 1].addr)
			tables->targets[unique++].addr =
				tables->targets[i].addr;
	tables->n_targets = unique;
}

static void retain_targets(struct tables *tables, const struct tables *old,
			   uint64_t now_ns)
{
	for (uint32_t i = 0; i < tables->n_targets; i++) {
		struct target *target = &tables->targets[i];
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

static void fill_backend(struct tables *tables, const struct tables *old,
			 uint32_t service, uint32_t index,
			 const struct target_conf *conf)
{
	struct service *s = &tables->services[service];
	struct backend *be = &tables->backends[index];
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
	be->target = tables_find_target(tables, conf->addr);
	be->state = conf->state;
	be->weight = conf->weight ? conf->weight : 1;
	queue_init(&be->pinned);
	target = &tables->targets[be->target];
	target->listed = true;
	target->n_links++;
	if (conf->slots < target->slots)
		target->slots = conf->slots ? conf->slots : 1;
	if (conf->connections < target->connections)
		target->connections = conf->connections;
}

static int fill_backends(struct tables *tables, const struct tables *old,
			 const struct service_ref *refs)
{
	const struct target_conf **order =
		alloc_table(tables->n_backends, sizeof(*order));
	uint32_t k = 0;

	if (!order)
		return -ENOMEM;
	for (uint32_t i = 0; i < tables->n_services; i++) {
		const struct service_conf *conf = refs[i].conf;

		for (uint32_t j = 0; j < conf->n_targets; j++)
			order[j] = &conf->targets[j];
		qsort(order, conf->n_targets, sizeof(*order),
		      compare_target_conf);
		tables->services[i].first_backend = k;
		tables->services[i].first_candidate = k;
		for (uint32_t j = 0; j < conf->n_targets; j++)
			fill_backend(tables, old, i, k++, order[j]);
	}
	free(order);
	return 0;
}

static void fill_links(struct tables *tables)
{
	uint32_t first = 0;

	for (uint32_t i = 0; i < tables->n_targets; i++) {
		tables->targets[i].first_link = first;
		first += tables->targets[i].n_links;
		tables->targets[i].n_links = 0;
	}
	for (uint32_t i = 0; i < tables->n_backends; i++) {
		struct target *target =
			&tables->targets[tables->backends[i].target];

		tables->links[target->first_link + target->n_links++] = i;
	}
}

/* Move a queued item to its queue in the new tables, or refuse it. */
static void requeue(struct balancer *balancer, struct tables *tables,
		    uint32_t handle)
{
	struct item *item = &balancer->items[handle];
	uint32_t service = tables_find_service(tables, item->work.vip);
	uint32_t backend = INDEX_NONE;
	struct queue *q;

	if (service != INDEX_NONE && item->backend != INDEX_NONE)
		backend = tables_find_backend(
			tables, &tables->services[service], item->work.pinned);
	if (service == INDEX_NONE ||
	    (item->backend != INDEX_NONE && backend == INDEX_NONE)) {
		deadline_heap_remove(&balancer->deadlines, handle);
		balancer->n_queued--;
		item->state = ITEM_REFUSED;
		item->reason = REFUSE_NO_TARGET;
		item->service = INDEX_NONE;
		queue_add(balancer, &balancer->refused, handle);
		return;
	}
	item->service = service;
	item->backend = backend;
	q = backend == INDEX_NONE ? &tables->services[service].queue
				  : &tables->backends[backend].pinned;
	queue_add(balancer, q, handle);
	tables->services[service].n_queued++;
	tables->accounts[tables->services[service].account].n_queued++;
}

static void requeue_all(struct balancer *balancer, struct tables *tables,
			struct queue *q)
{
	uint32_t handle = q->head;

	while (handle != INDEX_NONE) {
		uint32_t next = balancer->items[handle].next;

		requeue(balancer, tables, handle);
		handle = next;
	}
}

static void install_tables(struct balancer *balancer, struct tables *tables)
{
	for (uint32_t i = 0; i < balancer->tables.n_services; i++)
		requeue_all(balancer, tables,
			    &balancer->tables.services[i].queue);
	for (uint32_t i = 0; i < balancer->tables.n_backends; i++)
		requeue_all(balancer, tables,
			    &balancer->tables.backends[i].pinned);
	for (uint32_t handle = balancer->refused.head; handle != INDEX_NONE;
	     handle = balancer->items[handle].next)
		balancer->items[handle].service = tables_find_service(
			tables, balancer->items[handle].work.vip);
	tables_clear(&balancer->tables);
	balancer->tables = *tables;
	balancer->recheck_head = INDEX_NONE;
}

/**
 * tables_build() - build the tables from a configuration and put it in force
 * @balancer: balancer
 * @config: configuration; not used after the call
 * @now_ns: current time
 *
 * Accounts, services and targets that are in the old configuration as well keep
 * their state, and queued work remains queued.
 *
 * Return: 0, or -ENOMEM; then the old configuration remains in force.
 */
int tables_build(struct balancer *balancer, const struct config *config,
		 uint64_t now_ns)
{
	struct tables tables = { 0 };
	struct service_ref *refs = NULL;
	int err;

	count_rows(&tables, config);
	err = alloc_tables(&tables, balancer->tables.n_targets);
	if (!err)
		err = collect_services(&refs, config, tables.n_services);
	if (err)
		goto fail;
	fill_accounts(&tables, &balancer->tables, config);
	for (uint32_t i = 0; i < tables.n_services; i++)
		fill_service(&tables, &balancer->tables, i, &refs[i]);
	fill_targets(&tables, &balancer->tables, refs);
	retain_targets(&tables, &balancer->tables, now_ns);
	err = fill_backends(&tables, &balancer->tables, refs);
	if (err)
		goto fail;
	fill_links(&tables);
	free(refs);
	install_tables(balancer, &tables);
	shares_allocate(balancer);
	return 0;
fail:
	free(refs);
	tables_clear(&tables);
	return err;
}
