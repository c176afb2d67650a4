/* Simulated callers: retransmit, acknowledge, drop duplicates, record results. */
#include "testbed_state.h"

#include <string.h>

#define REPEAT_NS MS(500)
#define REPEATS 3
#define PATIENCE_NS MS(8000)
#define PAUSE_NS MS(700)
#define REOPEN_NS MS(200)
#define LOOK_NS MS(500)
#define SILENCE_NS MS(15000) /* after this the caller opens a new feed */
#define END_NS MS(14000)

static event_fn begin;

struct op *op_at(struct testbed *f, uint32_t op)
{
	return &g_array_index(f->ops, struct op, op);
}

static void timer(struct testbed *f, uint32_t i, event_fn *run, uint64_t in_ns)
{
	struct event *ev = event_new(run, i);

	ev->arg = f->callers[i].generation;
	event_at(f, f->now_ns + in_ns, ev);
}

/* Entry to which the fabric routes a datagram; it may be dead already. */
static uint32_t spray(struct testbed *f)
{
	uint32_t n = 0;
	uint32_t at[TESTBED_NODES_MAX];

	for (uint32_t i = 0; i < f->n_nodes; i++) {
		if (f->nodes[i].sprayed)
			at[n++] = i;
	}
	return n ? at[testbed_random(f, n)] : 0;
}

static void send(struct testbed *f, uint32_t i, const struct dgram *d)
{
	uint32_t node = spray(f);
	struct event *ev = event_new(node_from_caller, node);

	trace_dgram(f, "c", i, "e", node, d);
	f->verdict.up++;
	ev->key.caller = CALLER_ADDR(i);
	ev->key.vip = VIP_ADDR(f->callers[i].service);
	ev->d = *d;
	link_send(f, LINK_UP, ev);
}

static void send_empty(struct testbed *f, uint32_t i, uint8_t type, uint16_t id)
{
	struct dgram d = { .kind = DGRAM_EMPTY, .type = type, .id = id };

	send(f, i, &d);
}

/* Ends the current request or feed; the next one begins after @pause_ns. */
static void end(struct testbed *f, uint32_t i, uint8_t result,
		uint64_t pause_ns)
{
	struct fake_caller *c = &f->callers[i];

	trace_line(f, "c%u op %u ends, result %u", i, c->op, result);
	op_at(f, c->op)->result = result;
	c->busy = false;
	c->generation++;
	if (!c->held && !f->ending)
		timer(f, i, begin, pause_ns);
}

static void repeat(struct testbed *f, struct event *ev)
{
	struct fake_caller *c = &f->callers[ev->node];
	uint32_t i = ev->node;

	if (ev->arg != c->generation || !c->busy || c->acked ||
	    c->tries > REPEATS) {
		event_free(ev);
		return;
	}
	send(f, i, &c->sent);
	event_at(f, f->now_ns + (REPEAT_NS << c->tries++), ev);
}

static void patience(struct testbed *f, struct event *ev)
{
	if (ev->arg == f->callers[ev->node].generation &&
	    f->callers[ev->node].busy)
		end(f, ev->node, OP_LOST, PAUSE_NS);
	event_free(ev);
}

static void ask(struct testbed *f, uint32_t i)
{
	static const uint16_t flags[OP_CLASSES] = {
		[OP_FEED] = MESSAGE_IDEMPOTENT | MESSAGE_FEED_OPEN,
		[OP_GET] = MESSAGE_IDEMPOTENT,
		[OP_UPLOAD] = MESSAGE_BLOCK | MESSAGE_BODY,
	};
	struct fake_caller *c = &f->callers[i];
	struct dgram d = { .kind = DGRAM_REQUEST,
			   .type = WIRE_CONFIRM,
			   .token_len = TOKEN_MAX_BYTES,
			   .flags = flags[c->class_],
			   .id = c->next_id++,
			   .op = c->op,
			   .seq = c->part };

	if (c->class_ == OP_UPLOAD && c->part + 1 < TESTBED_PARTS)
		d.flags |= MESSAGE_MORE;
	if (c->class_ == OP_UPLOAD && c->part == 0)
		d.flags |= MESSAGE_FIRST_BLOCK;
	c->token = rng_next(&f->rng);
	memcpy(d.token, &c->token, sizeof(d.token));
	c->sent = d;
	c->tries = 0;
	c->acked = false;
	c->generation++;
	timer(f, i, repeat, 0);
	timer(f, i, patience, PATIENCE_NS);
}

uint32_t testbed_caller_go(struct testbed *f, uint32_t i)
{
	struct fake_caller *c = &f->callers[i];
	struct op op = { .class_ = c->class_,
			 .service = c->service,
			 .caller = i };

	c->op = f->ops->len;
	g_array_append_val(f->ops, op);
	c->busy = true;
	c->part = 0;
	hook_at(f, POINT_SEND, c->op, TESTBED_NONE);
	ask(f, i);
	return c->op;
}

static void begin(struct testbed *f, struct event *ev)
{
	struct fake_caller *c = &f->callers[ev->node];

	if (!c->held && !c->busy && !f->ending && ev->arg == c->generation)
		testbed_caller_go(f, ev->node);
	event_free(ev);
}

/* Checks periodically that an open feed receives updates. */
static void look(struct testbed *f, struct event *ev)
{
	struct fake_caller *c = &f->callers[ev->node];
	struct op *op = op_at(f, c->op);

	if (ev->arg != c->generation || !c->busy) {
		event_free(ev);
		return;
	}
	if (f->now_ns > c->heard_ns + FEED_GAP_NS && !op->broken) {
		trace_line(f, "c%u op %u broken, no update", ev->node, c->op);
		op->broken = true;
	}
	if (f->now_ns > c->heard_ns + SILENCE_NS) {
		op->given_up = true;
		end(f, ev->node, OP_ANSWERED, REOPEN_NS);
		event_free(ev);
		return;
	}
	event_at(f, f->now_ns + LOOK_NS, ev);
}

static bool id_seen(struct fake_caller *c, const struct dgram *d)
{
	if (d->type == WIRE_ACK)
		return false;
	for (uint32_t k = 0; k < CALLER_IDS && k < c->n_seen; k++) {
		if (c->seen[k] == d->id)
			return true;
	}
	c->seen[c->n_seen++ % CALLER_IDS] = d->id;
	return false;
}

static void own_answer(struct testbed *f, uint32_t i, const struct dgram *d)
{
	struct op *op = op_at(f, f->callers[i].op);
	uint8_t results[] = { OP_REFUSED, OP_UNKNOWN, OP_CUT };

	if (op->opened) {
		trace_line(f, "c%u op %u broken, ended by the entry", i, f->callers[i].op);
		op->broken = true;
		end(f, i, OP_ANSWERED, REOPEN_NS);
		return;
	}
	end(f, i, results[d->own - 1], PAUSE_NS + testbed_random(f, PAUSE_NS));
}

static void updated(struct testbed *f, uint32_t i, const struct dgram *d)
{
	struct fake_caller *c = &f->callers[i];
	struct op *op = op_at(f, c->op);

	if (!(d->flags & MESSAGE_FEED_OPEN)) {
		end(f, i, OP_CUT, PAUSE_NS);
		return;
	}
	c->heard_ns = f->now_ns;
	if (op->opened)
		return;
	op->opened = true;
	op->result = OP_ANSWERED;
	c->generation++;
	timer(f, i, look, LOOK_NS);
	hook_at(f, POINT_OPEN, c->op, TESTBED_NONE);
}

static void answered(struct testbed *f, uint32_t i, const struct dgram *d)
{
	struct fake_caller *c = &f->callers[i];
	uint64_t pause_ns = PAUSE_NS + testbed_random(f, PAUSE_NS);

	if (d->op != c->op) {
		op_at(f, c->op)->crossed = true;
		trace_line(f, "c%u received the answer of op %u", i, d->op);
	}
	if (d->flags & MESSAGE_SHED) {
		end(f, i, OP_REFUSED, pause_ns);
	} else if (d->flags & MESSAGE_FAILED) {
		end(f, i, OP_CUT, pause_ns);
	} else if (c->class_ == OP_FEED) {
		updated(f, i, d);
	} else if (d->flags & MESSAGE_MORE) {
		c->part++;
		ask(f, i);
	} else {
		end(f, i, OP_ANSWERED, pause_ns);
	}
}

static void take_answer(struct testbed *f, uint32_t i, const struct dgram *d)
{
	struct fake_caller *c = &f->callers[i];
	bool mine = !memcmp(d->token, &c->token, sizeof(c->token));

	if (d->type != WIRE_ACK && !mine) {
		send_empty(f, i, WIRE_RESET, d->id);
		return;
	}
	if (d->type == WIRE_CONFIRM)
		send_empty(f, i, WIRE_ACK, d->id);
	if (!mine || !c->busy || id_seen(c, d))
		return;
	c->acked = true;
	if (d->own)
		own_answer(f, i, d);
	else
		answered(f, i, d);
}

static void take_signal(struct testbed *f, uint32_t i, const struct dgram *d)
{
	struct fake_caller *c = &f->callers[i];

	if (d->type == WIRE_CONFIRM)
		send_empty(f, i, WIRE_RESET, d->id);
	if (!c->busy || d->id != c->sent.id)
		return;
	if (d->type == WIRE_ACK)
		c->acked = true;
	else if (d->type == WIRE_RESET)
		end(f, i, OP_CUT, PAUSE_NS);
}

void caller_from_node(struct testbed *f, struct event *ev)
{
	if (ev->d.kind == DGRAM_EMPTY)
		take_signal(f, ev->node, &ev->d);
	else if (ev->d.kind == DGRAM_ANSWER)
		take_answer(f, ev->node, &ev->d);
	event_free(ev);
}

void callers_init(struct testbed *f)
{
	static const uint8_t services[] = { 0, 0, 0, 1 };

	for (uint32_t class_ = 0; class_ < OP_CLASSES; class_++) {
		for (uint32_t k = 0; k < f->plan.callers[class_]; k++) {
			struct fake_caller *c = &f->callers[f->n_callers];

			c->class_ = class_;
			c->service = services[class_];
			c->next_id = testbed_random(f, UINT16_MAX);
			timer(f, f->n_callers++, begin,
			      WARM_NS + testbed_random(f, PAUSE_NS));
		}
	}
}

uint32_t testbed_caller_first(const struct testbed *f, enum op_class class_)
{
	uint32_t i = 0;

	while (f->callers[i].class_ != class_)
		i++;
	return i;
}

/* From now on the caller starts requests only with testbed_caller_go(). */
void testbed_caller_hold(struct testbed *f, uint32_t caller)
{
	f->callers[caller].held = true;
}

uint32_t testbed_op_next(const struct testbed *f)
{
	return f->ops->len;
}

const struct op *testbed_op(const struct testbed *f, uint32_t op)
{
	return &g_array_index(f->ops, struct op, op);
}

static void judge(struct testbed *f, uint32_t i)
{
	struct testbed_verdict *v = &f->verdict;
	const struct op *op = op_at(f, i);
	bool idempotent = op->class_ == OP_FEED || op->class_ == OP_GET;

	v->ops++;
	v->answered += op->result == OP_ANSWERED;
	v->refused += op->result == OP_REFUSED;
	v->unknown += op->result == OP_UNKNOWN;
	v->cut += op->result == OP_CUT;
	v->lost += op->result == OP_LOST || op->result == OP_PENDING;
	v->doubled += !idempotent && op->runs > 1;
	v->misrouted += op->wrong_service || op->crossed;
	v->false_not_run += op->result == OP_REFUSED && op->runs > 0;
	v->broken += op->broken;
	v->stalled += op->given_up;
	if (!idempotent && op->runs > 1)
		trace_line(f, "op %u of c%u ran more than once", i, op->caller);
}

/* Lets pending requests end, then counts the results of all of them. */
struct testbed_verdict testbed_finish(struct testbed *f)
{
	f->ending = true;
	testbed_run(f, f->now_ns + END_NS);
	for (uint32_t i = 0; i < f->ops->len; i++)
		judge(f, i);
	for (uint32_t i = 0; i < f->n_callers; i++) {
		const struct fake_caller *c = &f->callers[i];

		f->verdict.stalled += c->class_ == OP_FEED && c->busy &&
				      f->now_ns > c->heard_ns + FEED_GAP_NS;
	}
	return f->verdict;
}
