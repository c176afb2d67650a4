#include "entry_state.h"

#include <string.h>

/**
 * emit() - append an action to the list of the current call
 * @entry: state of this entry
 * @kind: enum action_kind
 *
 * The list is bounded. Work that can produce many actions checks
 * emit_has_capacity() first. If the list is full nevertheless, the action goes
 * to a spare element that is not carried out, as if the datagram were lost on
 * the network: senders retransmit.
 *
 * Return: action with all fields but peer zeroed.
 */
struct action *emit(struct entry *entry, uint8_t kind)
{
	struct actions *out = entry->out;
	struct action *a = &out->list[ACTIONS_MAX - 1];

	if (out->n < ACTIONS_MAX - 1)
		a = &out->list[out->n++];
	memset(a, 0, offsetof(struct action, peer));
	a->log_text = NULL;
	a->kind = kind;
	return a;
}

/* emit_has_capacity() - whether deferrable work may append actions. */
bool emit_has_capacity(const struct entry *entry)
{
	return entry->out->n + ACTIONS_RESERVE < ACTIONS_MAX;
}

/**
 * emit_peer() - append a message to another entry
 * @entry: state of this entry
 * @vm: receiver
 * @kind: enum peer_kind
 *
 * Return: message with sender, incarnation and view filled in, the rest zeroed.
 */
struct peer_msg *emit_peer(struct entry *entry, uint64_t vm, uint8_t kind)
{
	struct action *a = emit(entry, ACT_PEER);

	memset(&a->peer, 0, sizeof(a->peer));
	a->vm = vm;
	a->peer.kind = kind;
	a->peer.from = entry->conf.member.self;
	a->peer.incarnation = entry->conf.member.incarnation;
	a->peer.view = entry->view;
	return &a->peer;
}

void emit_log(struct entry *entry, const char *log_text,
	      const struct flow_key *key, uint64_t target)
{
	struct action *a = emit(entry, ACT_LOG);

	a->log_text = log_text;
	a->key = *key;
	a->target = target;
}

void emit_signal_target(struct entry *entry, uint64_t target, uint8_t type,
			uint16_t id)
{
	struct action *a = emit(entry, ACT_SIGNAL_TARGET);

	a->target = target;
	a->type = type;
	a->id = id;
}

void emit_signal_caller(struct entry *entry, const struct flow_key *key,
			uint8_t type, uint16_t id)
{
	struct action *a = emit(entry, ACT_SIGNAL_CALLER);

	a->key = *key;
	a->type = type;
	a->id = id;
}
