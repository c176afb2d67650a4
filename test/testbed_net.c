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

void event_at(struct testbed *f, uint64_t at_ns, struct event *ev)
{
	gpointer *h;
	uint32_t i = f->heap->len;

	ev->at_ns = at_ns;
	ev->order = f->order++;
	g_ptr_array_add(f->heap, ev);
	h = f->heap->pdata;
	while (i > 0 && before(h[i], h[(i - 1) / 2])) {
		swap(&h[i], &h[(i - 1) / 2]);
		i = (i - 1) / 2;
	}
}

static struct event *event_take(struct testbed *f)
{
	gpointer *h = f->heap->pdata;
	struct event *first = h[0];
	uint32_t n = f->heap->len - 1;
	uint32_t i = 0;

	h[0] = h[n];
	g_ptr_array_set_size(f->heap, n);
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
bool event_next(struct testbed *f, uint64_t until_ns)
{
	struct event *ev;

	if (f->heap->len == 0)
		return false;
	ev = f->heap->pdata[0];
	if (ev->at_ns > until_ns)
		return false;
	event_take(f);
	f->now_ns = ev->at_ns;
	ev->run(f, ev);
	return true;
}

static bool chance(struct testbed *f, uint16_t per_mille)
{
	return per_mille > 0 && testbed_random(f, 1000) < per_mille;
}

static uint64_t latency(struct testbed *f, const struct link_faults *l)
{
	uint64_t ns = LATENCY_MIN_NS + testbed_random(f, LATENCY_SPREAD_NS);

	if (chance(f, l->late))
		ns += testbed_random(f, LATE_NS);
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

void link_send(struct testbed *f, enum testbed_link link, struct event *ev)
{
	const struct link_faults *l = &f->links[link];

	if (chance(f, l->dup))
		event_at(f, f->now_ns + latency(f, l), event_copy(ev));
	if (chance(f, l->drop)) {
		trace_line(f, "dropped, op %u", ev->d.op);
		event_free(ev);
		return;
	}
	event_at(f, f->now_ns + latency(f, l), ev);
}

void trace_line(struct testbed *f, const char *format, ...)
{
	va_list ap;

	if (!f->trace)
		return;
	fprintf(stderr, "%9.4f ", (double)f->now_ns / NS_PER_S);
	va_start(ap, format);
	vfprintf(stderr, format, ap);
	va_end(ap);
	fputc('\n', stderr);
}

void trace_dgram(struct testbed *f, const char *from, uint64_t a,
		 const char *to, uint64_t b, const struct dgram *d)
{
	static const char *const types[] = { "CON", "NON", "ACK", "RST" };
	static const char *const kinds[] = { "request", "answer", "empty" };

	trace_line(f, "%s%u -> %s%u %s %s id %u op %u seq %u flags %x own %u",
		   from, (uint32_t)a, to, (uint32_t)b, types[d->type],
		   kinds[d->kind], d->id, d->op, d->seq, d->flags, d->own);
}

bool hook_at(struct testbed *f, enum testbed_point point, uint32_t op,
	     uint32_t node)
{
	return f->hook.at && f->hook.at(f->hook.ctx, f, point, op, node);
}

uint64_t testbed_random(struct testbed *f, uint64_t below)
{
	return rng_next(&f->rng) % below;
}

uint64_t testbed_now(const struct testbed *f)
{
	return f->now_ns;
}

void testbed_hook(struct testbed *f, struct testbed_hook hook)
{
	f->hook = hook;
}

void testbed_link(struct testbed *f, enum testbed_link link,
		  struct link_faults faults)
{
	f->links[link] = faults;
}

static void run_fault(struct testbed *f, struct event *ev)
{
	ev->fault(f, ev->node, ev->arg);
	event_free(ev);
}

void testbed_at(struct testbed *f, uint64_t at_ns, testbed_fault *fault,
		uint32_t a, uint32_t b)
{
	struct event *ev = event_new(run_fault, a);

	ev->fault = fault;
	ev->arg = b;
	event_at(f, at_ns, ev);
}

void testbed_run(struct testbed *f, uint64_t until_ns)
{
	while (event_next(f, until_ns))
		;
	f->now_ns = until_ns;
}

struct testbed *testbed_new(const struct testbed_plan *plan)
{
	struct testbed *f = g_new0(struct testbed, 1);

	f->plan = *plan;
	f->system = plan->system ? plan->system : &testbed_product;
	f->rng.state = hash_u64(plan->seed, 1) | 1;
	f->now_ns = NS_PER_S;
	f->heap = g_ptr_array_new();
	f->out = g_new0(struct actions, 1);
	f->trace = getenv("TESTBED_TRACE") != NULL;
	f->published = g_ptr_array_new_with_free_func(g_free);
	f->ops = g_array_new(FALSE, TRUE, sizeof(struct op));
	targets_init(f);
	nodes_init(f);
	callers_init(f);
	return f;
}

void testbed_free(struct testbed *f)
{
	nodes_free(f);
	targets_free(f);
	for (uint32_t i = 0; i < f->heap->len; i++)
		event_free(f->heap->pdata[i]);
	g_ptr_array_free(f->heap, TRUE);
	g_ptr_array_free(f->published, TRUE);
	g_array_free(f->ops, TRUE);
	g_free(f->out);
	g_free(f);
}
