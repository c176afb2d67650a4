/* Simulated clock, event queue and network links. */
#include "testbed_state.h"

#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>

#define LATENCY_MIN_NS 200000
#define LATENCY_SPREAD_NS 800000
#define LATE_NS MS(30)

struct event *event_new(event_fn *run, uint32_t node)
{
	struct event *ev = g_new0(struct event, 1);

	ev->run = run;
	ev->node = node;
	return ev;
}

void event_free(struct event *ev)
{
	g_free(ev->peer);
	g_free(ev);
}

static bool before(const struct event *a, const struct event *b)
{
	if (a->at_ns != b->at_ns)
		return a->at_ns < b->at_ns;
	return a->order < b->order;
}

static void swap(gpointer *a, gpointer *b)
{
	gpointer t = *a;

	*a = *b;
	*b = t;
}

void event_at(struct testbed *tb, uint64_t at_ns, struct event *ev)
{
	gpointer *h;
	uint32_t i = tb->heap->len;

	ev->at_ns = at_ns;
	ev->order = tb->order++;
	g_ptr_array_add(tb->heap, ev);
	h = tb->heap->pdata;
	while (i > 0 && before(h[i], h[(i - 1) / 2])) {
		swap(&h[i], &h[(i - 1) / 2]);
		i = (i - 1) / 2;
	}
}

static struct event *event_pop(struct testbed *tb)
{
	gpointer *h = tb->heap->pdata;
	struct event *first = h[0];
	uint32_t n = tb->heap->len - 1;
	uint32_t i = 0;

	h[0] = h[n];
	g_ptr_array_set_size(tb->heap, n);
	for (uint32_t c = 1; c < n; c = 2 * i + 1) {
		if (c + 1 < n && before(h[c + 1], h[c]))
			c++;
		if (!before(h[c], h[i]))
			break;
		swap(&h[i], &h[c]);
		i = c;
	}
	return first;
}

/* Runs the next event; false when there is none until @until_ns. */
bool event_next(struct testbed *tb, uint64_t until_ns)
{
	struct event *ev;

	if (tb->heap->len == 0)
		return false;
	ev = tb->heap->pdata[0];
	if (ev->at_ns > until_ns)
		return false;
	event_pop(tb);
	tb->now_ns = ev->at_ns;
	ev->run(tb, ev);
	return true;
}

static bool happens(struct testbed *tb, uint16_t per_mille)
{
	return per_mille > 0 && testbed_random(tb, 1000) < per_mille;
}

static uint64_t latency(struct testbed *tb, const struct link_faults *l)
{
	uint64_t ns = LATENCY_MIN_NS + testbed_random(tb, LATENCY_SPREAD_NS);

	if (happens(tb, l->late_per_mille))
		ns += testbed_random(tb, LATE_NS);
	return ns;
}

static struct event *event_copy(const struct event *ev)
{
	struct event *c = g_memdup2(ev, sizeof(*ev));

	if (!ev->peer)
		return c;
	c->peer = g_memdup2(ev->peer, sizeof(*ev->peer) + ev->peer->size_bytes);
	c->peer->data = (const uint8_t *)(c->peer + 1);
	return c;
}

void link_send(struct testbed *tb, enum testbed_link link, struct event *ev)
{
	const struct link_faults *l = &tb->links[link];

	if (happens(tb, l->dup_per_mille))
		event_at(tb, tb->now_ns + latency(tb, l), event_copy(ev));
	if (happens(tb, l->drop_per_mille)) {
		trace_line(tb, "dropped, op %u", ev->d.op);
		event_free(ev);
		return;
	}
	event_at(tb, tb->now_ns + latency(tb, l), ev);
}

void trace_line(struct testbed *tb, const char *format, ...)
{
	va_list ap;

	if (!tb->trace)
		return;
	fprintf(stderr, "%9.4f ", (double)tb->now_ns / NS_PER_S);
	va_start(ap, format);
	vfprintf(stderr, format, ap);
	va_end(ap);
	fputc('\n', stderr);
}

void trace_dgram(struct testbed *tb, const char *from, uint64_t a,
		 const char *to, uint64_t b, const struct dgram *d)
{
	static const char *const types[] = { "CON", "NON", "ACK", "RST" };
	static const char *const kinds[] = { "request", "answer", "empty" };

	trace_line(tb, "%s%u -> %s%u %s %s id %u op %u seq %u flags %x own %u",
		   from, (uint32_t)a, to, (uint32_t)b, types[d->type],
		   kinds[d->kind], d->id, d->op, d->seq, d->flags,
		   d->local_answer);
}

bool hook_at(struct testbed *tb, enum testbed_point point, uint32_t op,
	     uint32_t node)
{
	return tb->hook.at && tb->hook.at(tb->hook.ctx, tb, point, op, node);
}

uint64_t testbed_random(struct testbed *tb, uint64_t below)
{
	return rng_next(&tb->rng) % below;
}

uint64_t testbed_now(const struct testbed *tb)
{
	return tb->now_ns;
}

void testbed_set_hook(struct testbed *tb, struct testbed_hook hook)
{
	tb->hook = hook;
}

void testbed_set_link_faults(struct testbed *tb, enum testbed_link link,
			     struct link_faults faults)
{
	tb->links[link] = faults;
}

static void run_fault(struct testbed *tb, struct event *ev)
{
	ev->fault(tb, ev->node, ev->arg);
	event_free(ev);
}

void testbed_schedule(struct testbed *tb, uint64_t at_ns, testbed_fault *fault,
		      uint32_t a, uint32_t b)
{
	struct event *ev = event_new(run_fault, a);

	ev->fault = fault;
	ev->arg = b;
	event_at(tb, at_ns, ev);
}

void testbed_run(struct testbed *tb, uint64_t until_ns)
{
	while (event_next(tb, until_ns))
		;
	tb->now_ns = until_ns;
}

struct testbed *testbed_new(const struct testbed_plan *plan)
{
	struct testbed *tb = g_new0(struct testbed, 1);

	tb->plan = *plan;
	tb->system = plan->system ? plan->system : &testbed_product;
	tb->rng.state = hash_u64(plan->seed, 1) | 1;
	tb->now_ns = NS_PER_S;
	tb->heap = g_ptr_array_new();
	tb->out = g_new0(struct actions, 1);
	tb->trace = getenv("TESTBED_TRACE") != NULL;
	tb->published = g_ptr_array_new_with_free_func(g_free);
	tb->ops = g_array_new(FALSE, TRUE, sizeof(struct op));
	targets_init(tb);
	nodes_init(tb);
	callers_init(tb);
	return tb;
}

void testbed_free(struct testbed *tb)
{
	nodes_free(tb);
	targets_free(tb);
	for (uint32_t i = 0; i < tb->heap->len; i++)
		event_free(tb->heap->pdata[i]);
	g_ptr_array_free(tb->heap, TRUE);
	g_ptr_array_free(tb->published, TRUE);
	g_array_free(tb->ops, TRUE);
	g_free(tb->out);
	g_free(tb);
}
