/* The balancer's tables, built anew from each configuration. */
#include "balance_state.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>

/* One service on its way into the tables. */
struct listing {
	uint64_t vip;
	uint32_t account;
	const struct service_conf *conf;
};

static int compare_u64(uint64_t a, uint64_t b)
{
	return (a > b) - (a < b);
}

/*
 * Of two accounts with one VIP the first by name keeps it, as in entry.c. By
 * VIP alone their order would be qsort()'s, and the balancer could queue and
 * count an account's work as the other's, or send it to the other's targets.
 */
static int compare_listing(const void *a, const void *b)
{
	const struct listing *x = a;
	const struct listing *y = b;

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
 * @t: tables
 */
void tables_clear(struct tables *t)
{
	free(t->accounts);
	free(t->services);
	free(t->places);
	free(t->targets);
	free(t->links);
	free(t->candidates);
	free(t->scratch);
	memset(t, 0, sizeof(*t));
}

static void *table(uint32_t n, size_t size_bytes)
{
	return calloc(n ? n : 1, size_bytes);
}

static int allocate(struct tables *t, uint32_t n_kept)
{
	t->accounts = table(t->n_accounts, sizeof(*t->accounts));
	t->services = table(t->n_services, sizeof(*t->services));
	t->places = table(t->n_places, sizeof(*t->places));
	t->targets = table(t->n_places + n_kept, sizeof(*t->targets));
	t->links = table(t->n_places, sizeof(*t->links));
	t->candidates = table(t->n_places, sizeof(*t->candidates));
	t->scratch = table(t->n_places, sizeof(*t->scratch));
	if (!t->accounts || !t->services || !t->places || !t->targets ||
	    !t->links || !t->candidates || !t->scratch)
		return -ENOMEM;
	return 0;
}

static void count(struct tables *t, const struct config *c)
{
	t->n_accounts = c->n_accounts;
	for (uint32_t i = 0; i < c->n_accounts; i++) {
		const struct account_conf *a = &c->accounts[i];

		t->n_services += a->n_services;
		for (uint32_t j = 0; j < a->n_services; j++)
			t->n_places += a->services[j].n_targets;
	}
}

/* Both configurations are sorted by name. */
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
			  const struct config *c)
{
	for (uint32_t i = 0; i < c->n_accounts; i++) {
		struct account *a = &t->accounts[i];
		const struct account *before;

		before = find_account(old, c->accounts[i].name);
		if (before)
			*a = *before;
		else
			budget_init(&a->budget);
		memcpy(a->name, c->accounts[i].name, NAME_MAX_BYTES);
		a->weight = c->accounts[i].weight ? c->accounts[i].weight : 1;
		a->n_waiting = 0;
		t->weights += a->weight;
	}
}

static int list_services(struct listing **out, const struct config *c,
			 uint32_t n)
{
	struct listing *l = table(n, sizeof(*l));
	uint32_t k = 0;

	if (!l)
		return -ENOMEM;
	for (uint32_t i = 0; i < c->n_accounts; i++) {
		const struct account_conf *a = &c->accounts[i];

		for (uint32_t j = 0; j < a->n_services; j++) {
			l[k].vip = a->services[j].vip;
			l[k].account = i;
			l[k].conf = &a->services[j];
			k++;
		}
	}
	qsort(l, n, sizeof(*l), compare_listing);
	*out = l;
	return 0;
}

static void fill_service(struct tables *t, const struct tables *old,
			 uint32_t index, const struct listing *l)
{
	struct service *s = &t->services[index];
	uint32_t before = tables_service(old, l->vip);

	if (before != INDEX_NONE)
		*s = old->services[before];
	s->vip = l->vip;
	s->account = l->account;
	s->class = l->conf->class;
	s->queue_max = l->conf->queue_max;
	s->n_places = l->conf->n_targets;
	s->n_waiting = 0;
	queue_init(&s->queue);
}

/* Every listed address once, and those that still have work of ours. */
static void fill_targets(struct tables *t, const struct tables *old,
			 const struct listing *l)
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

static void carry_targets(struct tables *t, const struct tables *old,
			  uint64_t now_ns)
{
	for (uint32_t i = 0; i < t->n_targets; i++) {
		struct target *x = &t->targets[i];
		uint32_t before = tables_target(old, x->addr);

		if (before != INDEX_NONE) {
			*x = old->targets[before];
		} else {
			view_init(&x->view);
			x->limit_milli = UINT32_MAX;
			/* After a restart every target is new, and warm. */
			if (old->n_targets)
				x->warm_deadline_ns = now_ns + SLOW_START_NS;
		}
		x->listed = false;
		x->slots = UINT16_MAX;
		x->connections = UINT32_MAX;
		x->n_links = 0;
		x->ready = false;
	}
}

static void fill_place(struct tables *t, const struct tables *old,
		       uint32_t service, uint32_t index,
		       const struct target_conf *conf)
{
	struct service *s = &t->services[service];
	struct place *p = &t->places[index];
	uint32_t old_service = tables_service(old, s->vip);
	uint32_t before = INDEX_NONE;
	struct target *x;

	if (old_service != INDEX_NONE)
		before = tables_place(old, &old->services[old_service],
				      conf->addr);
	p->turn = s->turn;
	if (before != INDEX_NONE)
		*p = old->places[before];
	p->service = service;
	p->target = tables_target(t, conf->addr);
	p->state = conf->state;
	p->weight = conf->weight ? conf->weight : 1;
	queue_init(&p->pinned);
	x = &t->targets[p->target];
	x->listed = true;
	x->n_links++;
	if (conf->slots < x->slots)
		x->slots = conf->slots ? conf->slots : 1;
	if (conf->connections < x->connections)
		x->connections = conf->connections;
}

static int fill_places(struct tables *t, const struct tables *old,
		       const struct listing *l)
{
	const struct target_conf **order = table(t->n_places, sizeof(*order));
	uint32_t k = 0;

	if (!order)
		return -ENOMEM;
	for (uint32_t i = 0; i < t->n_services; i++) {
		const struct service_conf *conf = l[i].conf;

		for (uint32_t j = 0; j < conf->n_targets; j++)
			order[j] = &conf->targets[j];
		qsort(order, conf->n_targets, sizeof(*order),
		      compare_target_conf);
		t->services[i].first_place = k;
		t->services[i].first_candidate = k;
		for (uint32_t j = 0; j < conf->n_targets; j++)
			fill_place(t, old, i, k++, order[j]);
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
	for (uint32_t i = 0; i < t->n_places; i++) {
		struct target *x = &t->targets[t->places[i].target];

		t->links[x->first_link + x->n_links++] = i;
	}
}

/* Put a waiting item into the new queues, or doom it. */
static void requeue(struct balancer *b, struct tables *t, uint32_t handle)
{
	struct item *it = &b->items[handle];
	uint32_t service = tables_service(t, it->work.vip);
	uint32_t place = INDEX_NONE;
	struct queue *q;

	if (service != INDEX_NONE && it->place != INDEX_NONE)
		place = tables_place(t, &t->services[service], it->work.pinned);
	if (service == INDEX_NONE ||
	    (it->place != INDEX_NONE && place == INDEX_NONE)) {
		deadline_heap_remove(&b->deadlines, handle);
		b->n_waiting--;
		it->state = ITEM_DOOMED;
		it->reason = REFUSE_NO_TARGET;
		it->service = INDEX_NONE;
		queue_add(b, &b->doomed, handle);
		return;
	}
	it->service = service;
	it->place = place;
	q = place == INDEX_NONE ? &t->services[service].queue
				: &t->places[place].pinned;
	queue_add(b, q, handle);
	t->services[service].n_waiting++;
	t->accounts[t->services[service].account].n_waiting++;
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

static void replace(struct balancer *b, struct tables *t)
{
	for (uint32_t i = 0; i < b->t.n_services; i++)
		requeue_all(b, t, &b->t.services[i].queue);
	for (uint32_t i = 0; i < b->t.n_places; i++)
		requeue_all(b, t, &b->t.places[i].pinned);
	for (uint32_t h = b->doomed.head; h != INDEX_NONE; h = b->items[h].next)
		b->items[h].service = tables_service(t, b->items[h].work.vip);
	tables_clear(&b->t);
	b->t = *t;
	b->ready = INDEX_NONE;
}

/**
 * tables_build() - put a configuration in force; what is known of services,
 *	targets and accounts that stay is kept, and so is the waiting work
 * @b: balancer
 * @c: configuration
 * @now_ns: time
 *
 * Return: 0, or -ENOMEM with the old configuration in force.
 */
int tables_build(struct balancer *b, const struct config *c, uint64_t now_ns)
{
	struct tables t = { 0 };
	struct listing *l = NULL;
	int err;

	count(&t, c);
	err = allocate(&t, b->t.n_targets);
	if (!err)
		err = list_services(&l, c, t.n_services);
	if (err)
		goto fail;
	fill_accounts(&t, &b->t, c);
	for (uint32_t i = 0; i < t.n_services; i++)
		fill_service(&t, &b->t, i, &l[i]);
	fill_targets(&t, &b->t, l);
	carry_targets(&t, &b->t, now_ns);
	err = fill_places(&t, &b->t, l);
	if (err)
		goto fail;
	fill_links(&t);
	free(l);
	replace(b, &t);
	shares_deal(b);
	return 0;
fail:
	free(l);
	tables_clear(&t);
	return err;
}
