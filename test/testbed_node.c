/* Entries: conversion of datagrams as in the adapters, timers, socket buffers. */
#include "testbed_state.h"

#include "wire.h"

#include <string.h>

#define TICK_MIN_NS MS(1)

static event_fn node_from_peer;

const struct testbed_system testbed_product = {
	.make = entry_new,
	.free = entry_free,
	.config = entry_config,
	.roster = entry_roster,
	.caller = entry_caller,
	.target = entry_target,
	.peer = entry_peer,
	.tick = entry_tick,
	.leave = entry_leave,
	.left = entry_has_left,
	.next_ns = entry_next_ns,
};

/* Same result as coap_wire_parse() has for a CoAP datagram. */
static struct message message_of(const struct dgram *d)
{
	static const uint8_t empties[] = { MESSAGE_PROBE, MESSAGE_PROBE,
					   MESSAGE_ACK, MESSAGE_RESET };
	struct message m = {
		.kind = d->kind == DGRAM_REQUEST ? MESSAGE_REQUEST
						 : MESSAGE_ANSWER,
		.flags = d->flags,
		.id = d->id,
		.token_len = d->token_len,
		.timeout_ns = d->timeout_ns,
		.load = d->load,
		.has_load = d->kind == DGRAM_ANSWER,
		.data = (const uint8_t *)d,
		.size_bytes = sizeof(*d),
	};

	memcpy(m.token, d->token, sizeof(m.token));
	if (d->kind == DGRAM_EMPTY)
		m.kind = empties[d->type];
	else if (d->type == WIRE_CONFIRM)
		m.flags |= MESSAGE_CONFIRM;
	else if (d->type == WIRE_ACK)
		m.flags |= MESSAGE_PIGGYBACK;
	return m;
}

static struct dgram dgram_of(const struct action *a)
{
	struct dgram d = { .kind = DGRAM_EMPTY };

	if (a->data && a->size_bytes == sizeof(d))
		memcpy(&d, a->data, sizeof(d));
	d.type = a->type;
	d.id = a->id;
	d.token_len = a->token_len;
	memcpy(d.token, a->token, sizeof(d.token));
	return d;
}

static void to_caller(struct testbed *tb, uint32_t node, const struct action *a,
		      struct dgram d)
{
	uint32_t caller = CALLER_INDEX(a->key.caller);
	struct event *ev;

	trace_dgram(tb, "e", node, "c", caller, &d);
	if (caller >= tb->n_callers)
		return;
	if (a->kind == ACT_TO_CALLER && hook_at(tb, POINT_ANSWER, d.op, node))
		return;
	ev = event_new(caller_from_node, caller);
	ev->key = a->key;
	ev->d = d;
	link_send(tb, LINK_TO_CALLER, ev);
}

static void to_target(struct testbed *tb, uint32_t node, const struct action *a,
		      struct dgram d)
{
	uint32_t target = TARGET_INDEX(a->target);
	struct event *ev;

	trace_dgram(tb, "e", node, "t", target, &d);
	if (target >= tb->n_targets || tb->cut_target[node][target])
		return;
	ev = event_new(target_from_node, target);
	ev->from = VM_ADDR(node);
	ev->d = d;
	link_send(tb, LINK_TO_TARGET, ev);
}

static void do_to_caller(struct testbed *tb, uint32_t node,
			 const struct action *a)
{
	to_caller(tb, node, a, dgram_of(a));
}

static void do_to_target(struct testbed *tb, uint32_t node,
			 const struct action *a)
{
	struct dgram d = dgram_of(a);

	d.timeout_ns = a->timeout_ns;
	to_target(tb, node, a, d);
}

static void do_answer(struct testbed *tb, uint32_t node, const struct action *a)
{
	struct dgram d = dgram_of(a);

	d.kind = DGRAM_ANSWER;
	d.local_answer = a->answer + 1;
	to_caller(tb, node, a, d);
}

static void do_signal_caller(struct testbed *tb, uint32_t node,
			     const struct action *a)
{
	struct dgram d = { .kind = DGRAM_EMPTY, .type = a->type, .id = a->id };

	to_caller(tb, node, a, d);
}

static void do_signal_target(struct testbed *tb, uint32_t node,
			     const struct action *a)
{
	struct dgram d = { .kind = DGRAM_EMPTY, .type = a->type, .id = a->id };

	to_target(tb, node, a, d);
}

static void do_cancel(struct testbed *tb, uint32_t node, const struct action *a)
{
	struct dgram d = dgram_of(a);

	d.kind = DGRAM_REQUEST;
	d.flags = MESSAGE_FEED_CLOSE | MESSAGE_IDEMPOTENT;
	to_target(tb, node, a, d);
}

static uint32_t peer_bytes(const struct peer_msg *m)
{
	static const uint8_t key[WIRE_KEY_BYTES];
	uint8_t buf[WIRE_MAX_BYTES];

	return MAX(wire_encode(m, key, buf, sizeof(buf)), 0);
}

static void do_peer(struct testbed *tb, uint32_t node, const struct action *a)
{
	const struct peer_msg *m = &a->peer;
	uint32_t to = VM_INDEX(a->vm);
	struct event *ev;

	trace_line(tb, "e%u -> e%u peer %u claims %u seq %llu", node, to,
		   m->kind, m->n_claims, (unsigned long long)m->seq);
	tb->verdict.peer_msgs++;
	tb->verdict.peer_bytes += peer_bytes(m);
	if (m->kind == PEER_FORWARD)
		tb->verdict.forwards++;
	if (m->kind == PEER_CLAIM)
		hook_at(tb, POINT_CLAIM, TESTBED_NONE, node);
	if (to >= tb->n_nodes || tb->cut[node][to])
		return;
	ev = event_new(node_from_peer, to);
	ev->peer = g_malloc(sizeof(*m) + m->size_bytes);
	memcpy(ev->peer, m, sizeof(*m));
	if (m->size_bytes > 0)
		memcpy(ev->peer + 1, m->data, m->size_bytes);
	ev->peer->data = (const uint8_t *)(ev->peer + 1);
	ev->from = VM_ADDR(node);
	link_send(tb, LINK_PEER, ev);
}

static void do_note(struct testbed *tb, uint32_t node, const struct action *a)
{
	trace_line(tb, "e%u log %s c%u t%u", node, a->log_text,
		   CALLER_INDEX(a->key.caller), TARGET_INDEX(a->target));
}

static void (*const performers[])(struct testbed *, uint32_t,
				  const struct action *) = {
	[ACT_TO_CALLER] = do_to_caller,
	[ACT_TO_TARGET] = do_to_target,
	[ACT_ANSWER_CALLER] = do_answer,
	[ACT_SIGNAL_CALLER] = do_signal_caller,
	[ACT_SIGNAL_TARGET] = do_signal_target,
	[ACT_CANCEL_TARGET] = do_cancel,
	[ACT_PEER] = do_peer,
	[ACT_LOG] = do_note,
};

void node_remove(struct testbed *tb, uint32_t i)
{
	struct node *n = &tb->nodes[i];
	struct event *ev;

	tb->system->free(n->entry);
	n->entry = NULL;
	n->up = false;
	n->frozen = false;
	while ((ev = g_queue_pop_head(&n->inbox)))
		event_free(ev);
}

static event_fn node_tick;

/* Performs the entry's actions, then schedules its next tick. */
void node_perform_actions(struct testbed *tb, uint32_t i)
{
	struct node *n = &tb->nodes[i];
	uint64_t at_ns;

	for (uint32_t a = 0; a < tb->out->n; a++)
		performers[tb->out->list[a].kind](tb, i, &tb->out->list[a]);
	tb->out->n = 0;
	if (n->leaving && tb->system->left(n->entry)) {
		trace_line(tb, "e%u left", i);
		node_remove(tb, i);
		return;
	}
	at_ns = tb->system->next_ns(n->entry);
	at_ns = MAX(at_ns, tb->now_ns + TICK_MIN_NS);
	if (at_ns == UINT64_MAX ||
	    (n->tick_ns > tb->now_ns && n->tick_ns <= at_ns))
		return;
	n->tick_ns = at_ns;
	event_at(tb, at_ns, event_new(node_tick, i));
}

/*
 * Whether the entry can handle the event now. If not, the event is queued for
 * a frozen entry, or freed when the entry is down or its inbox is full.
 */
bool node_can_handle(struct testbed *tb, struct event *ev)
{
	struct node *n = &tb->nodes[ev->node];

	if (n->up && !n->frozen)
		return true;
	if (n->up &&
	    (ev->reliable || g_queue_get_length(&n->inbox) < INBOX_MAX))
		g_queue_push_tail(&n->inbox, ev);
	else
		event_free(ev);
	return false;
}

static void node_tick(struct testbed *tb, struct event *ev)
{
	struct node *n = &tb->nodes[ev->node];

	if (n->up && !n->frozen && n->tick_ns == ev->at_ns) {
		tb->system->tick(n->entry, tb->now_ns, tb->out);
		node_perform_actions(tb, ev->node);
	}
	event_free(ev);
}

void node_from_caller(struct testbed *tb, struct event *ev)
{
	struct message m = message_of(&ev->d);

	if (!node_can_handle(tb, ev))
		return;
	tb->system->caller(tb->nodes[ev->node].entry, &ev->key, &m, tb->now_ns,
			   tb->out);
	node_perform_actions(tb, ev->node);
	event_free(ev);
}

void node_from_target(struct testbed *tb, struct event *ev)
{
	struct message m = message_of(&ev->d);

	if (!node_can_handle(tb, ev))
		return;
	tb->system->target(tb->nodes[ev->node].entry, ev->from, &m, tb->now_ns,
			   tb->out);
	node_perform_actions(tb, ev->node);
	event_free(ev);
}

static void node_from_peer(struct testbed *tb, struct event *ev)
{
	struct message m;
	struct dgram d;
	bool whole = ev->peer->size_bytes == sizeof(d);

	if (!node_can_handle(tb, ev))
		return;
	if (whole) {
		memcpy(&d, ev->peer->data, sizeof(d));
		m = message_of(&d);
	}
	tb->system->peer(tb->nodes[ev->node].entry, ev->peer, whole ? &m : NULL,
			 tb->now_ns, tb->out);
	node_perform_actions(tb, ev->node);
	event_free(ev);
}
