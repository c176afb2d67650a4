/* Simulated callers: retransmit, acknowledge, drop duplicates, record results. */
#include "testbed_state.h"

#include <string.h>

#define RETRANSMIT_NS MS(500)
#define RETRANSMISSIONS_MAX 3
#define ANSWER_TIMEOUT_NS MS(8000)
#define PAUSE_NS MS(700)
#define REOPEN_PAUSE_NS MS(200)
#define FEED_CHECK_NS MS(500)
#define REOPEN_AFTER_NS MS(15000) /* after this the caller opens a new feed */
#define FINISH_NS MS(14000)

static event_fn begin_op;

struct op *op_at(struct testbed *tb, uint32_t op)
{
	return &g_array_index(tb->ops, struct op, op);
}

static void timer_start(struct testbed *tb, uint32_t i, event_fn *run,
			uint64_t in_ns)
{
	struct event *ev = event_new(run, i);

	ev->arg = tb->callers[i].generation;
	event_at(tb, tb->now_ns + in_ns, ev);
}

/* Entry to which the fabric routes a datagram; it may be dead already. */
static uint32_t select_routed_entry(struct testbed *tb)
{
	uint32_t n = 0;
	uint32_t at[TESTBED_NODES_MAX];

	for (uint32_t i = 0; i < tb->n_nodes; i++) {
		if (tb->nodes[i].is_routed)
			at[n++] = i;
	}
	return n ? at[testbed_random(tb, n)] : 0;
}

static void send(struct testbed *tb, uint32_t i, const struct dgram *d)
{
	uint32_t node = select_routed_entry(tb);
	struct event *ev = event_new(node_from_caller, node);

	trace_dgram(tb, "c", i, "e", node, d);
	tb->verdict.caller_dgrams++;
	ev->key.caller = CALLER_ADDR(i);
	ev->key.vip = VIP_ADDR(tb->callers[i].service);
	ev->d = *d;
	link_send(tb, LINK_FROM_CALLER, ev);
}

static void send_empty(struct testbed *tb, uint32_t i, uint8_t type,
		       uint16_t id)
{
	struct dgram d = { .kind = DGRAM_EMPTY, .type = type, .id = id };

	send(tb, i, &d);
}

/* Ends the current request or feed; the next one begins after @pause_ns. */
static void end_op(struct testbed *tb, uint32_t i, uint8_t result,
		   uint64_t pause_ns)
{
	struct fake_caller *c = &tb->callers[i];

	trace_line(tb, "c%u op %u ends, result %u", i, c->op, result);
	op_at(tb, c->op)->result = result;
	c->busy = false;
	c->generation++;
	if (!c->manual && !tb->ending)
		timer_start(tb, i, begin_op, pause_ns);
}

static void retransmit(struct testbed *tb, struct event *ev)
{
	struct fake_caller *c = &tb->callers[ev->node];
	uint32_t i = ev->node;

	if (ev->arg != c->generation || !c->busy || c->acked ||
	    c->transmissions > RETRANSMISSIONS_MAX) {
		event_free(ev);
		return;
	}
	send(tb, i, &c->sent);
	event_at(tb, tb->now_ns + (RETRANSMIT_NS << c->transmissions++), ev);
}

static void answer_timeout(struct testbed *tb, struct event *ev)
{
	if (ev->arg == tb->callers[ev->node].generation &&
	    tb->callers[ev->node].busy)
		end_op(tb, ev->node, OP_LOST, PAUSE_NS);
	event_free(ev);
}

static void send_request(struct testbed *tb, uint32_t i)
{
	static const uint16_t flags[OP_CLASSES] = {
		[OP_FEED] = MESSAGE_IDEMPOTENT | MESSAGE_FEED_OPEN,
		[OP_GET] = MESSAGE_IDEMPOTENT,
		[OP_UPLOAD] = MESSAGE_BLOCK | MESSAGE_BODY,
	};
	struct fake_caller *c = &tb->callers[i];
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
	c->token = rng_next(&tb->rng);
	memcpy(d.token, &c->token, sizeof(d.token));
	c->sent = d;
	c->transmissions = 0;
	c->acked = false;
	c->generation++;
	timer_start(tb, i, retransmit, 0);
	timer_start(tb, i, answer_timeout, ANSWER_TIMEOUT_NS);
}

uint32_t testbed_caller_start_op(struct testbed *tb, uint32_t i)
{
	struct fake_caller *c = &tb->callers[i];
	struct op op = { .class_ = c->class_,
			 .service = c->service,
			 .caller = i };

	c->op = tb->ops->len;
	g_array_append_val(tb->ops, op);
	c->busy = true;
	c->part = 0;
	hook_at(tb, POINT_SEND, c->op, TESTBED_NONE);
	send_request(tb, i);
	return c->op;
}

static void begin_op(struct testbed *tb, struct event *ev)
{
	struct fake_caller *c = &tb->callers[ev->node];

	if (!c->manual && !c->busy && !tb->ending && ev->arg == c->generation)
		testbed_caller_start_op(tb, ev->node);
	event_free(ev);
}

/* Checks periodically that an open feed receives updates. */
static void check_feed(struct testbed *tb, struct event *ev)
{
	struct fake_caller *c = &tb->callers[ev->node];
	struct op *op = op_at(tb, c->op);

	if (ev->arg != c->generation || !c->busy) {
		event_free(ev);
		return;
	}
	if (tb->now_ns > c->last_update_ns + FEED_GAP_NS && !op->broken) {
		trace_line(tb, "c%u op %u broken, no update", ev->node, c->op);
		op->broken = true;
	}
	if (tb->now_ns > c->last_update_ns + REOPEN_AFTER_NS) {
		op->reopened = true;
		end_op(tb, ev->node, OP_ANSWERED, REOPEN_PAUSE_NS);
		event_free(ev);
		return;
	}
	event_at(tb, tb->now_ns + FEED_CHECK_NS, ev);
}

static bool is_duplicate(struct fake_caller *c, const struct dgram *d)
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

static void handle_local_answer(struct testbed *tb, uint32_t i,
				const struct dgram *d)
{
	struct op *op = op_at(tb, tb->callers[i].op);
	uint8_t results[] = { OP_REFUSED, OP_UNKNOWN, OP_CUT };

	if (op->opened) {
		trace_line(tb, "c%u op %u broken, ended by the entry", i,
			   tb->callers[i].op);
		op->broken = true;
		end_op(tb, i, OP_ANSWERED, REOPEN_PAUSE_NS);
		return;
	}
	end_op(tb, i, results[d->local_answer - 1],
	       PAUSE_NS + testbed_random(tb, PAUSE_NS));
}

static void handle_update(struct testbed *tb, uint32_t i, const struct dgram *d)
{
	struct fake_caller *c = &tb->callers[i];
	struct op *op = op_at(tb, c->op);

	if (!(d->flags & MESSAGE_FEED_OPEN)) {
		end_op(tb, i, OP_CUT, PAUSE_NS);
		return;
	}
	c->last_update_ns = tb->now_ns;
	if (op->opened)
		return;
	op->opened = true;
	op->result = OP_ANSWERED;
	c->generation++;
	timer_start(tb, i, check_feed, FEED_CHECK_NS);
	hook_at(tb, POINT_OPEN, c->op, TESTBED_NONE);
}

static void handle_target_answer(struct testbed *tb, uint32_t i,
				 const struct dgram *d)
{
	struct fake_caller *c = &tb->callers[i];
	uint64_t pause_ns = PAUSE_NS + testbed_random(tb, PAUSE_NS);

	if (d->op != c->op) {
		op_at(tb, c->op)->mismatched = true;
		trace_line(tb, "c%u received the answer of op %u", i, d->op);
	}
	if (d->flags & MESSAGE_SHED) {
		end_op(tb, i, OP_REFUSED, pause_ns);
	} else if (d->flags & MESSAGE_FAILED) {
		end_op(tb, i, OP_CUT, pause_ns);
	} else if (c->class_ == OP_FEED) {
		handle_update(tb, i, d);
	} else if (d->flags & MESSAGE_MORE) {
		c->part++;
		send_request(tb, i);
	} else {
		end_op(tb, i, OP_ANSWERED, pause_ns);
	}
}

static void handle_answer(struct testbed *tb, uint32_t i, const struct dgram *d)
{
	struct fake_caller *c = &tb->callers[i];
	bool token_matches = !memcmp(d->token, &c->token, sizeof(c->token));

	if (d->type != WIRE_ACK && !token_matches) {
		send_empty(tb, i, WIRE_RESET, d->id);
		return;
	}
	if (d->type == WIRE_CONFIRM)
		send_empty(tb, i, WIRE_ACK, d->id);
	if (!token_matches || !c->busy || is_duplicate(c, d))
		return;
	c->acked = true;
	if (d->local_answer)
		handle_local_answer(tb, i, d);
	else
		handle_target_answer(tb, i, d);
}

static void handle_empty(struct testbed *tb, uint32_t i, const struct dgram *d)
{
	struct fake_caller *c = &tb->callers[i];

	if (d->type == WIRE_CONFIRM)
		send_empty(tb, i, WIRE_RESET, d->id);
	if (!c->busy || d->id != c->sent.id)
		return;
	if (d->type == WIRE_ACK)
		c->acked = true;
	else if (d->type == WIRE_RESET)
		end_op(tb, i, OP_CUT, PAUSE_NS);
}

void caller_from_node(struct testbed *tb, struct event *ev)
{
	if (ev->d.kind == DGRAM_EMPTY)
		handle_empty(tb, ev->node, &ev->d);
	else if (ev->d.kind == DGRAM_ANSWER)
		handle_answer(tb, ev->node, &ev->d);
	event_free(ev);
}

void callers_init(struct testbed *tb)
{
	static const uint8_t services[] = { 0, 0, 0, 1 };

	for (uint32_t class_ = 0; class_ < OP_CLASSES; class_++) {
		for (uint32_t k = 0; k < tb->plan.callers[class_]; k++) {
			struct fake_caller *c = &tb->callers[tb->n_callers];

			c->class_ = class_;
			c->service = services[class_];
			c->next_id = testbed_random(tb, UINT16_MAX);
			timer_start(tb, tb->n_callers++, begin_op,
				    CALLERS_START_NS +
					    testbed_random(tb, PAUSE_NS));
		}
	}
}

uint32_t testbed_first_caller(const struct testbed *tb, enum op_class class_)
{
	uint32_t i = 0;

	while (tb->callers[i].class_ != class_)
		i++;
	return i;
}

/* From now on the caller starts requests only with testbed_caller_start_op(). */
void testbed_caller_set_manual(struct testbed *tb, uint32_t caller)
{
	tb->callers[caller].manual = true;
}

uint32_t testbed_op_count(const struct testbed *tb)
{
	return tb->ops->len;
}

const struct op *testbed_op(const struct testbed *tb, uint32_t op)
{
	return &g_array_index(tb->ops, struct op, op);
}

static void count_result(struct testbed *tb, uint32_t i)
{
	struct testbed_verdict *v = &tb->verdict;
	const struct op *op = op_at(tb, i);
	bool idempotent = op->class_ == OP_FEED || op->class_ == OP_GET;

	v->ops++;
	v->answered += op->result == OP_ANSWERED;
	v->refused += op->result == OP_REFUSED;
	v->unknown += op->result == OP_UNKNOWN;
	v->cut += op->result == OP_CUT;
	v->lost += op->result == OP_LOST || op->result == OP_PENDING;
	v->doubled += !idempotent && op->runs > 1;
	v->misrouted += op->wrong_service || op->mismatched;
	v->false_not_run += op->result == OP_REFUSED && op->runs > 0;
	v->broken += op->broken;
	v->stalled += op->reopened;
	if (!idempotent && op->runs > 1)
		trace_line(tb, "op %u of c%u ran more than once", i,
			   op->caller);
}

/* Lets pending requests end, then counts the results of all of them. */
struct testbed_verdict testbed_finish(struct testbed *tb)
{
	tb->ending = true;
	testbed_run(tb, tb->now_ns + FINISH_NS);
	for (uint32_t i = 0; i < tb->ops->len; i++)
		count_result(tb, i);
	for (uint32_t i = 0; i < tb->n_callers; i++) {
		const struct fake_caller *c = &tb->callers[i];

		tb->verdict.stalled +=
			c->class_ == OP_FEED && c->busy &&
			tb->now_ns > c->last_update_ns + FEED_GAP_NS;
	}
	return tb->verdict;
}
