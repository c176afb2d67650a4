#include "baseline.h"

#include <glib.h>
#include <string.h>

/* Time for which an entry still relays answers after a planned stop began. */
#define DRAIN_NS (2 * NS_PER_S)
#define RETRY_AFTER_S 1

/* Maps a flow to an index below n; the baselines differ in this function. */
typedef uint32_t select_fn(const struct flow_key *key,
			   const uint64_t *addresses, uint32_t n);

/**
 * struct exchange - a request or feed that an entry remembers
 * @key: flow
 * @id: message ID of the caller's request
 * @token: the caller's token, also used towards the target
 * @target: address of the target that got the request
 * @update_id: last message ID from the target
 * @was_answered: the answer was sent to the caller
 * @type: enum wire_type of the answer
 * @size_bytes: size of @answer
 * @answer: last answer, sent again for a retransmitted request
 */
struct exchange {
	struct flow_key key;
	uint16_t id;
	uint8_t token[TOKEN_MAX_BYTES];
	uint64_t target;
	uint16_t update_id;
	bool was_answered;
	uint8_t type;
	uint32_t size_bytes;
	uint8_t answer[DATAGRAM_MAX_BYTES];
};

struct baseline {
	uint64_t self;
	select_fn *select;
	bool is_deduplicating;
	uint32_t n_vms;
	uint64_t vms[TESTBED_NODES_MAX];
	const struct config *config;
	GHashTable *by_token;
	uint64_t leave_deadline_ns;
	uint64_t now_ns;
	struct actions *out;
};

static uint32_t select_modulo(const struct flow_key *key,
			      const uint64_t *addresses, uint32_t n)
{
	(void)addresses;
	return flow_hash(key) % n;
}

static uint32_t select_rendezvous(const struct flow_key *key,
				  const uint64_t *addresses, uint32_t n)
{
	uint64_t best = 0;
	uint32_t chosen = 0;

	for (uint32_t i = 0; i < n; i++) {
		uint64_t score = hash_u64(flow_hash(key), addresses[i]);

		if (score < best)
			continue;
		best = score;
		chosen = i;
	}
	return chosen;
}

static struct baseline *to_baseline(struct entry *e)
{
	return (struct baseline *)e;
}

static struct action *add_action(struct baseline *b, uint8_t kind,
				 const struct flow_key *key, uint64_t target)
{
	struct action *a = &b->out->list[b->out->n++];

	memset(a, 0, sizeof(*a));
	a->kind = kind;
	a->key = *key;
	a->target = target;
	return a;
}

static uint64_t token_hash(const uint8_t *token)
{
	uint64_t t;

	memcpy(&t, token, sizeof(t));
	return t;
}

static struct exchange *find_exchange(struct baseline *b, const uint8_t *token)
{
	gpointer k = GSIZE_TO_POINTER(token_hash(token));

	return g_hash_table_lookup(b->by_token, k);
}

static struct exchange *add_exchange(struct baseline *b,
				     const struct flow_key *key,
				     const struct message *msg, uint64_t target)
{
	struct exchange *x = g_new0(struct exchange, 1);

	x->key = *key;
	x->id = msg->id;
	x->target = target;
	memcpy(x->token, msg->token, sizeof(x->token));
	g_hash_table_replace(b->by_token,
			     GSIZE_TO_POINTER(token_hash(x->token)), x);
	return x;
}

/*
 * Finds the exchange by the last message ID from its target, as a caller's
 * acknowledgement or reset carries no token.
 */
static struct exchange *find_exchange_by_update(struct baseline *b,
						const struct flow_key *key,
						uint16_t update_id)
{
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, b->by_token);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		struct exchange *x = value;

		if (x->key.caller == key->caller && x->key.vip == key->vip &&
		    x->update_id == update_id)
			return x;
	}
	return NULL;
}

static const struct service_conf *service_of(const struct baseline *b,
					     uint64_t vip)
{
	const struct account_conf *a = &b->config->accounts[0];

	for (uint32_t i = 0; i < a->n_services; i++) {
		if (a->services[i].vip == vip)
			return &a->services[i];
	}
	return NULL;
}

static uint64_t target_for(const struct baseline *b, const struct flow_key *key)
{
	const struct service_conf *s = service_of(b, key->vip);
	uint64_t up[TESTBED_TARGETS_MAX];
	uint32_t n = 0;

	for (uint32_t i = 0; s && i < s->n_targets; i++) {
		if (s->targets[i].state == TARGET_UP)
			up[n++] = s->targets[i].addr;
	}
	return n ? up[b->select(key, up, n)] : ADDR_NONE;
}

static void set_message(struct action *a, const struct message *msg,
			uint8_t type)
{
	a->type = type;
	a->id = msg->id;
	a->token_len = msg->token_len;
	memcpy(a->token, msg->token, sizeof(a->token));
	a->data = msg->data;
	a->size_bytes = msg->size_bytes;
}

static void refuse(struct baseline *b, const struct flow_key *key,
		   const struct message *msg)
{
	struct action *a = add_action(b, ACT_ANSWER_CALLER, key, ADDR_NONE);

	set_message(a, msg, WIRE_ACK);
	a->data = NULL;
	a->answer = ANSWER_NOT_RUN;
	a->retry_after_s = RETRY_AFTER_S;
}

static void replay(struct baseline *b, struct exchange *x)
{
	struct action *a = add_action(b, ACT_TO_CALLER, &x->key, x->target);

	a->type = x->type;
	a->id = x->type == WIRE_ACK ? x->id : x->update_id;
	a->token_len = sizeof(x->token);
	memcpy(a->token, x->token, sizeof(x->token));
	a->data = x->answer;
	a->size_bytes = x->size_bytes;
}

static void handle_request(struct baseline *b, const struct flow_key *key,
			   const struct message *msg)
{
	struct exchange *x = find_exchange(b, msg->token);
	uint64_t target = target_for(b, key);

	if (x && x->id == msg->id && b->is_deduplicating) {
		if (x->was_answered)
			replay(b, x);
		return;
	}
	if (target == ADDR_NONE) {
		refuse(b, key, msg);
		return;
	}
	add_exchange(b, key, msg, target);
	set_message(add_action(b, ACT_TO_TARGET, key, target), msg,
		    WIRE_CONFIRM);
}

static void handle_signal(struct baseline *b, const struct flow_key *key,
			  const struct message *msg)
{
	struct exchange *x = find_exchange_by_update(b, key, msg->id);
	struct action *a;

	if (!x)
		return;
	a = add_action(b, ACT_SIGNAL_TARGET, key, x->target);
	a->type = msg->kind == MESSAGE_ACK ? WIRE_ACK : WIRE_RESET;
	a->id = msg->id;
}

static void serve(struct baseline *b, const struct flow_key *key,
		  const struct message *msg)
{
	if (msg->kind == MESSAGE_REQUEST)
		handle_request(b, key, msg);
	else
		handle_signal(b, key, msg);
}

static void begin_call(struct baseline *b, uint64_t now_ns, struct actions *out)
{
	b->now_ns = now_ns;
	b->out = out;
	out->n = 0;
}

static void on_caller(struct entry *e, const struct flow_key *key,
		      const struct message *msg, uint64_t now_ns,
		      struct actions *out)
{
	struct baseline *b = to_baseline(e);
	uint64_t owner = b->self;
	struct action *a;

	begin_call(b, now_ns, out);
	if (b->n_vms > 0)
		owner = b->vms[b->select(key, b->vms, b->n_vms)];
	if (owner == b->self) {
		serve(b, key, msg);
		return;
	}
	a = add_action(b, ACT_PEER, key, ADDR_NONE);
	a->vm = owner;
	a->peer.kind = PEER_FORWARD;
	a->peer.from = b->self;
	a->peer.key = *key;
	a->peer.data = msg->data;
	a->peer.size_bytes = msg->size_bytes;
}

static void on_peer(struct entry *e, const struct peer_msg *msg,
		    const struct message *forwarded, uint64_t now_ns,
		    struct actions *out)
{
	struct baseline *b = to_baseline(e);

	begin_call(b, now_ns, out);
	if (forwarded)
		serve(b, &msg->key, forwarded);
}

/*
 * Relays an answer under the target's message ID, which the caller's
 * acknowledgement then repeats.
 */
static void handle_answer(struct baseline *b, uint64_t target,
			  const struct message *msg)
{
	struct exchange *x = find_exchange(b, msg->token);
	struct action *a;

	if (!x) {
		struct flow_key none = { 0 };

		a = add_action(b, ACT_SIGNAL_TARGET, &none, target);
		a->type = WIRE_RESET;
		a->id = msg->id;
		return;
	}
	x->type = msg->flags & MESSAGE_PIGGYBACK ? WIRE_ACK
		  : msg->flags & MESSAGE_CONFIRM ? WIRE_CONFIRM
						 : WIRE_PLAIN;
	if (x->type != WIRE_ACK)
		x->update_id = msg->id;
	x->was_answered = true;
	x->size_bytes = msg->size_bytes;
	memcpy(x->answer, msg->data, msg->size_bytes);
	replay(b, x);
}

static void on_target(struct entry *e, uint64_t target,
		      const struct message *msg, uint64_t now_ns,
		      struct actions *out)
{
	struct baseline *b = to_baseline(e);

	begin_call(b, now_ns, out);
	if (msg->kind == MESSAGE_ANSWER)
		handle_answer(b, target, msg);
}

static void on_config(struct entry *e, const struct config *c, uint64_t now_ns,
		      struct actions *out)
{
	struct baseline *b = to_baseline(e);

	begin_call(b, now_ns, out);
	b->config = c;
}

static void on_roster(struct entry *e, const uint64_t *vms, uint32_t n,
		      uint64_t now_ns, struct actions *out)
{
	struct baseline *b = to_baseline(e);

	begin_call(b, now_ns, out);
	b->n_vms = n;
	memcpy(b->vms, vms, n * sizeof(*vms));
}

static void on_tick(struct entry *e, uint64_t now_ns, struct actions *out)
{
	begin_call(to_baseline(e), now_ns, out);
}

static void on_leave(struct entry *e, uint64_t now_ns, struct actions *out)
{
	struct baseline *b = to_baseline(e);

	begin_call(b, now_ns, out);
	b->leave_deadline_ns = now_ns + DRAIN_NS;
}

static bool has_left(const struct entry *e)
{
	const struct baseline *b = (const struct baseline *)e;

	return b->leave_deadline_ns && b->now_ns >= b->leave_deadline_ns;
}

static uint64_t next_ns(const struct entry *e)
{
	const struct baseline *b = (const struct baseline *)e;

	return b->leave_deadline_ns ? b->leave_deadline_ns : UINT64_MAX;
}

static struct entry *new_baseline(const struct entry_conf *conf,
				  select_fn *select, bool is_deduplicating)
{
	struct baseline *b = g_new0(struct baseline, 1);

	b->self = conf->member.self;
	b->select = select;
	b->is_deduplicating = is_deduplicating;
	b->by_token = g_hash_table_new_full(NULL, NULL, NULL, g_free);
	return (struct entry *)b;
}

static struct entry *new_modulo(const struct entry_conf *conf, uint64_t now_ns)
{
	(void)now_ns;
	return new_baseline(conf, select_modulo, false);
}

static struct entry *new_consistent(const struct entry_conf *conf,
				    uint64_t now_ns)
{
	(void)now_ns;
	return new_baseline(conf, select_rendezvous, true);
}

static void free_baseline(struct entry *e)
{
	g_hash_table_destroy(to_baseline(e)->by_token);
	g_free(e);
}

#define BASELINE(new_fn)                                                       \
	{                                                                      \
		.make = new_fn, .free = free_baseline, .config = on_config,    \
		.roster = on_roster, .caller = on_caller, .target = on_target, \
		.peer = on_peer, .tick = on_tick, .leave = on_leave,           \
		.left = has_left, .next_ns = next_ns,                          \
	}

const struct testbed_system baseline_modulo = BASELINE(new_modulo);
const struct testbed_system baseline_consistent = BASELINE(new_consistent);
