#include "fleet.h"

#include <stdlib.h>

#define LATENCY_MIN_NS (NS_PER_MS / 2)
#define LATENCY_SPREAD_NS NS_PER_MS

struct packet {
	uint64_t due_ns;
	uint64_t order;
	uint32_t to;
	uint32_t from;
	struct peer_msg msg;
};

static bool before(const struct packet *a, const struct packet *b)
{
	if (a->due_ns != b->due_ns)
		return a->due_ns < b->due_ns;
	return a->order < b->order;
}

static void swap(struct packet **a, struct packet **b)
{
	struct packet *t = *a;

	*a = *b;
	*b = t;
}

static void heap_push(struct fleet *f, struct packet *p)
{
	uint32_t i = f->n_heap++;

	if (f->n_heap > f->cap_heap) {
		f->cap_heap = f->cap_heap ? 2 * f->cap_heap : 1024;
		f->heap = realloc(f->heap, f->cap_heap * sizeof(*f->heap));
	}
	f->heap[i] = p;
	for (; i && before(f->heap[i], f->heap[(i - 1) / 2]); i = (i - 1) / 2)
		swap(&f->heap[i], &f->heap[(i - 1) / 2]);
}

static struct packet *heap_pop(struct fleet *f)
{
	struct packet *top = f->heap[0];
	uint32_t i = 0, c;

	f->heap[0] = f->heap[--f->n_heap];
	while ((c = 2 * i + 1) < f->n_heap) {
		if (c + 1 < f->n_heap && before(f->heap[c + 1], f->heap[c]))
			c++;
		if (before(f->heap[i], f->heap[c]))
			break;
		swap(&f->heap[i], &f->heap[c]);
		i = c;
	}
	return top;
}

uint64_t fleet_vm(uint32_t i)
{
	return ADDR(0x7f320000U + i + 1, 7000);
}

static uint32_t node_index(uint64_t vm)
{
	return ADDR_IP(vm) - 0x7f320000U - 1;
}

static void transmit(void *ctx, uint64_t vm, struct peer_msg *msg)
{
	struct node *from = ctx;
	struct fleet *f = from->fleet;
	uint32_t at = from - f->node, to = node_index(vm);
	struct packet *p;

	from->messages++;
	if (f->size_bytes)
		from->bytes += f->size_bytes(msg);
	if (to >= f->n || rng_next(&f->rng) % 100 < f->loss_percent)
		return;
	if (f->blocked && f->blocked(at, to))
		return;
	p = malloc(sizeof(*p));
	*p = (struct packet){ .from = at, .to = to, .msg = *msg };
	p->order = f->next_order++;
	p->due_ns = f->now_ns + LATENCY_MIN_NS +
		    rng_next(&f->rng) % LATENCY_SPREAD_NS;
	heap_push(f, p);
}

struct fleet *fleet_new(uint32_t n, uint64_t seed)
{
	struct fleet *f = calloc(1, sizeof(*f));
	uint32_t i;

	f->now_ns = 1000 * NS_PER_S;
	f->rng.state = seed * 2 + 1;
	f->n = n;
	f->incarnation = 1000;
	f->conf = (struct member_conf){ .probe_period_ns = 200 * NS_PER_MS,
					.probe_timeout_ns = 100 * NS_PER_MS,
					.suspect_timeout_ns = 600 * NS_PER_MS,
					.lease_ns = NS_PER_S,
					.probes_per_period = 3,
					.indirect_probes = 3 };
	for (i = 0; i < n; i++)
		f->node[i] = (struct node){ .vm = fleet_vm(i), .fleet = f };
	return f;
}

void fleet_free(struct fleet *f)
{
	uint32_t i;

	for (i = 0; i < f->n; i++)
		member_free(f->node[i].membership);
	while (f->n_heap)
		free(heap_pop(f));
	free(f->heap);
	free(f);
}

void fleet_start(struct fleet *f, uint32_t i)
{
	struct node *node = &f->node[i];
	struct peer_out out = { .ctx = node, .send = transmit };
	struct rng rng = { .state = rng_next(&f->rng) | 1 };

	f->incarnation += 1000;
	f->conf.self = node->vm;
	f->conf.incarnation = f->incarnation;
	node->paused_deadline_ns = 0;
	node->membership = member_new(&f->conf, out, rng);
}

void fleet_start_all(struct fleet *f)
{
	uint32_t i;

	for (i = 0; i < f->n; i++) {
		fleet_start(f, i);
		fleet_set_roster(f, i, 0, f->n);
	}
}

void fleet_kill(struct fleet *f, uint32_t i)
{
	member_free(f->node[i].membership);
	f->node[i].membership = NULL;
}

void fleet_pause(struct fleet *f, uint32_t i, uint64_t for_ns)
{
	f->node[i].paused_deadline_ns = f->now_ns + for_ns;
}

void fleet_set_roster(struct fleet *f, uint32_t i, uint32_t first, uint32_t n)
{
	uint64_t vms[FLEET_MAX];
	uint32_t k;

	for (k = 0; k < n; k++)
		vms[k] = fleet_vm(first + k);
	member_set_roster(f->node[i].membership, vms, n, f->now_ns);
}

static uint64_t next_tick(const struct node *node)
{
	uint64_t due_ns;

	if (!node->membership)
		return UINT64_MAX;
	due_ns = member_next_ns(node->membership);
	return due_ns > node->paused_deadline_ns ? due_ns
						 : node->paused_deadline_ns;
}

/* Updates the tournament tree after the next timer of node @i has changed. */
static void update_next_tick(struct fleet *f, uint32_t i)
{
	uint32_t at = FLEET_MAX + i;

	f->tick_due_ns[i] = next_tick(&f->node[i]);
	for (; at > 1; at /= 2) {
		uint32_t a = f->tick_tree[at], b = f->tick_tree[at ^ 1];

		f->tick_tree[at / 2] =
			f->tick_due_ns[b] < f->tick_due_ns[a] ? b : a;
	}
}

/* A paused process receives queued messages on resume, before its timers run. */
static void deliver(struct fleet *f)
{
	struct packet *p = heap_pop(f);
	struct node *to = &f->node[p->to];

	if (to->membership && f->now_ns < to->paused_deadline_ns &&
	    to->partition == f->node[p->from].partition) {
		p->due_ns = to->paused_deadline_ns;
		heap_push(f, p);
		return;
	}
	if (to->membership && to->partition == f->node[p->from].partition) {
		member_receive(to->membership, &p->msg, f->now_ns);
		update_next_tick(f, p->to);
	}
	free(p);
}

static bool run_next_event(struct fleet *f, uint64_t end_ns)
{
	uint32_t at = f->tick_tree[1];
	uint64_t tick_ns = f->tick_due_ns[at];
	uint64_t due_ns = f->n_heap ? f->heap[0]->due_ns : UINT64_MAX;
	bool tick = tick_ns < due_ns;

	if (tick)
		due_ns = tick_ns;
	if (due_ns > end_ns)
		return false;
	if (due_ns > f->now_ns)
		f->now_ns = due_ns;
	if (!tick) {
		deliver(f);
		return true;
	}
	member_tick(f->node[at].membership, f->now_ns);
	update_next_tick(f, at);
	return true;
}

void fleet_run(struct fleet *f, uint64_t for_ns)
{
	uint64_t end_ns = f->now_ns + for_ns;
	uint32_t i;

	for (i = 0; i < FLEET_MAX; i++)
		f->tick_due_ns[i] = UINT64_MAX;
	for (i = 0; i < FLEET_MAX; i++)
		f->tick_tree[FLEET_MAX + i] = i;
	for (i = 0; i < f->n; i++)
		f->tick_due_ns[i] = next_tick(&f->node[i]);
	for (i = FLEET_MAX - 1; i; i--) {
		uint32_t a = f->tick_tree[2 * i], b = f->tick_tree[2 * i + 1];

		f->tick_tree[i] = f->tick_due_ns[b] < f->tick_due_ns[a] ? b : a;
	}
	while (run_next_event(f, end_ns))
		;
	f->now_ns = end_ns;
}

bool fleet_sees_state(const struct fleet *f, uint32_t i, uint32_t of,
		      uint8_t state)
{
	const struct member *e =
		member_find(f->node[i].membership, fleet_vm(of));

	return e && e->state == state;
}

uint32_t fleet_count_seeing(const struct fleet *f, uint32_t of, uint8_t state)
{
	uint32_t i, holders = 0;

	for (i = 0; i < f->n; i++)
		if (f->node[i].membership && i != of)
			holders += fleet_sees_state(f, i, of, state);
	return holders;
}

static bool sees_actual_states(const struct fleet *f, uint32_t i)
{
	const struct member *e;
	uint32_t k;

	for (k = 0; k < f->n; k++) {
		e = member_find(f->node[i].membership, fleet_vm(k));
		if (f->node[k].membership && (!e || e->state != MEMBER_ALIVE))
			return false;
		if (!f->node[k].membership && e && e->state != MEMBER_DEAD)
			return false;
	}
	return true;
}

/* Whether every running node sees all running nodes, and no other, as alive. */
bool fleet_converged(const struct fleet *f)
{
	uint32_t i;

	for (i = 0; i < f->n; i++)
		if (f->node[i].membership && !sees_actual_states(f, i))
			return false;
	return true;
}
