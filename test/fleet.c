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

static void heap_push(struct fleet *fleet, struct packet *p)
{
	uint32_t i = fleet->n_heap++;

	if (fleet->n_heap > fleet->cap_heap) {
		fleet->cap_heap = fleet->cap_heap ? 2 * fleet->cap_heap : 1024;
		fleet->heap = realloc(fleet->heap,
				      fleet->cap_heap * sizeof(*fleet->heap));
	}
	fleet->heap[i] = p;
	for (; i && before(fleet->heap[i], fleet->heap[(i - 1) / 2]);
	     i = (i - 1) / 2)
		swap(&fleet->heap[i], &fleet->heap[(i - 1) / 2]);
}

static struct packet *heap_pop(struct fleet *fleet)
{
	struct packet *top = fleet->heap[0];
	uint32_t i = 0, c;

	fleet->heap[0] = fleet->heap[--fleet->n_heap];
	while ((c = 2 * i + 1) < fleet->n_heap) {
		if (c + 1 < fleet->n_heap &&
		    before(fleet->heap[c + 1], fleet->heap[c]))
			c++;
		if (before(fleet->heap[i], fleet->heap[c]))
			break;
		swap(&fleet->heap[i], &fleet->heap[c]);
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
	struct fleet *fleet = from->fleet;
	uint32_t at = from - fleet->node, to = node_index(vm);
	struct packet *p;

	from->messages++;
	if (fleet->size_bytes)
		from->bytes += fleet->size_bytes(msg);
	if (to >= fleet->n || rng_next(&fleet->rng) % 100 < fleet->loss_percent)
		return;
	if (fleet->blocked && fleet->blocked(at, to))
		return;
	p = malloc(sizeof(*p));
	*p = (struct packet){ .from = at, .to = to, .msg = *msg };
	p->order = fleet->next_order++;
	p->due_ns = fleet->now_ns + LATENCY_MIN_NS +
		    rng_next(&fleet->rng) % LATENCY_SPREAD_NS;
	heap_push(fleet, p);
}

struct fleet *fleet_new(uint32_t n, uint64_t seed)
{
	struct fleet *fleet = calloc(1, sizeof(*fleet));
	uint32_t i;

	fleet->now_ns = 1000 * NS_PER_S;
	fleet->rng.state = seed * 2 + 1;
	fleet->n = n;
	fleet->incarnation = 1000;
	fleet->conf =
		(struct member_conf){ .probe_period_ns = 200 * NS_PER_MS,
				      .probe_timeout_ns = 100 * NS_PER_MS,
				      .suspect_timeout_ns = 600 * NS_PER_MS,
				      .lease_ns = NS_PER_S,
				      .probes_per_period = 3,
				      .indirect_probes = 3 };
	for (i = 0; i < n; i++)
		fleet->node[i] =
			(struct node){ .vm = fleet_vm(i), .fleet = fleet };
	return fleet;
}

void fleet_free(struct fleet *fleet)
{
	uint32_t i;

	for (i = 0; i < fleet->n; i++)
		member_free(fleet->node[i].membership);
	while (fleet->n_heap)
		free(heap_pop(fleet));
	free(fleet->heap);
	free(fleet);
}

void fleet_start(struct fleet *fleet, uint32_t i)
{
	struct node *node = &fleet->node[i];
	struct peer_out out = { .ctx = node, .send = transmit };
	struct rng rng = { .state = rng_next(&fleet->rng) | 1 };

	fleet->incarnation += 1000;
	fleet->conf.self = node->vm;
	fleet->conf.incarnation = fleet->incarnation;
	node->paused_deadline_ns = 0;
	node->membership = member_new(&fleet->conf, out, rng);
}

void fleet_start_all(struct fleet *fleet)
{
	uint32_t i;

	for (i = 0; i < fleet->n; i++) {
		fleet_start(fleet, i);
		fleet_set_roster(fleet, i, 0, fleet->n);
	}
}

void fleet_kill(struct fleet *fleet, uint32_t i)
{
	member_free(fleet->node[i].membership);
	fleet->node[i].membership = NULL;
}

void fleet_pause(struct fleet *fleet, uint32_t i, uint64_t for_ns)
{
	fleet->node[i].paused_deadline_ns = fleet->now_ns + for_ns;
}

void fleet_set_roster(struct fleet *fleet, uint32_t i, uint32_t first,
		      uint32_t n)
{
	uint64_t vms[FLEET_MAX];
	uint32_t k;

	for (k = 0; k < n; k++)
		vms[k] = fleet_vm(first + k);
	member_set_roster(fleet->node[i].membership, vms, n, fleet->now_ns);
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
static void update_next_tick(struct fleet *fleet, uint32_t i)
{
	uint32_t at = FLEET_MAX + i;

	fleet->tick_due_ns[i] = next_tick(&fleet->node[i]);
	for (; at > 1; at /= 2) {
		uint32_t a = fleet->tick_tree[at], b = fleet->tick_tree[at ^ 1];

		fleet->tick_tree[at / 2] =
			fleet->tick_due_ns[b] < fleet->tick_due_ns[a] ? b : a;
	}
}

/* A paused process receives queued messages on resume, before its timers run. */
static void deliver(struct fleet *fleet)
{
	struct packet *p = heap_pop(fleet);
	struct node *to = &fleet->node[p->to];

	if (to->membership && fleet->now_ns < to->paused_deadline_ns &&
	    to->partition == fleet->node[p->from].partition) {
		p->due_ns = to->paused_deadline_ns;
		heap_push(fleet, p);
		return;
	}
	if (to->membership && to->partition == fleet->node[p->from].partition) {
		member_receive(to->membership, &p->msg, fleet->now_ns);
		update_next_tick(fleet, p->to);
	}
	free(p);
}

static bool run_next_event(struct fleet *fleet, uint64_t end_ns)
{
	uint32_t at = fleet->tick_tree[1];
	uint64_t tick_ns = fleet->tick_due_ns[at];
	uint64_t due_ns = fleet->n_heap ? fleet->heap[0]->due_ns : UINT64_MAX;
	bool tick = tick_ns < due_ns;

	if (tick)
		due_ns = tick_ns;
	if (due_ns > end_ns)
		return false;
	if (due_ns > fleet->now_ns)
		fleet->now_ns = due_ns;
	if (!tick) {
		deliver(fleet);
		return true;
	}
	member_tick(fleet->node[at].membership, fleet->now_ns);
	update_next_tick(fleet, at);
	return true;
}

void fleet_run(struct fleet *fleet, uint64_t for_ns)
{
	uint64_t end_ns = fleet->now_ns + for_ns;
	uint32_t i;

	for (i = 0; i < FLEET_MAX; i++)
		fleet->tick_due_ns[i] = UINT64_MAX;
	for (i = 0; i < FLEET_MAX; i++)
		fleet->tick_tree[FLEET_MAX + i] = i;
	for (i = 0; i < fleet->n; i++)
		fleet->tick_due_ns[i] = next_tick(&fleet->node[i]);
	for (i = FLEET_MAX - 1; i; i--) {
		uint32_t a = fleet->tick_tree[2 * i],
			 b = fleet->tick_tree[2 * i + 1];

		fleet->tick_tree[i] =
			fleet->tick_due_ns[b] < fleet->tick_due_ns[a] ? b : a;
	}
	while (run_next_event(fleet, end_ns))
		;
	fleet->now_ns = end_ns;
}

bool fleet_sees_state(const struct fleet *fleet, uint32_t i, uint32_t of,
		      uint8_t state)
{
	const struct member *e =
		member_find(fleet->node[i].membership, fleet_vm(of));

	return e && e->state == state;
}

uint32_t fleet_count_seeing(const struct fleet *fleet, uint32_t of,
			    uint8_t state)
{
	uint32_t i, holders = 0;

	for (i = 0; i < fleet->n; i++)
		if (fleet->node[i].membership && i != of)
			holders += fleet_sees_state(fleet, i, of, state);
	return holders;
}

static bool sees_actual_states(const struct fleet *fleet, uint32_t i)
{
	const struct member *e;
	uint32_t k;

	for (k = 0; k < fleet->n; k++) {
		e = member_find(fleet->node[i].membership, fleet_vm(k));
		if (fleet->node[k].membership &&
		    (!e || e->state != MEMBER_ALIVE))
			return false;
		if (!fleet->node[k].membership && e && e->state != MEMBER_DEAD)
			return false;
	}
	return true;
}

/* Whether every running node sees all running nodes, and no other, as alive. */
bool fleet_converged(const struct fleet *fleet)
{
	uint32_t i;

	for (i = 0; i < fleet->n; i++)
		if (fleet->node[i].membership && !sees_actual_states(fleet, i))
			return false;
	return true;
}
