/* Carries out what the decisions want done. */
#include "coap_wire.h"
#include "daemon.h"
#include "log.h"

#define NOTES_PER_S 50

static void to_caller(struct daemon *d, const struct action *a)
{
	uint8_t buf[SEND_MAX_BYTES];
	int32_t n = coap_wire_rewrite(a, buf, sizeof(buf));

	if (n < 0)
		d->dropped[DROP_ENCODE]++;
	else
		callers_send(d, &a->key, buf, (uint32_t)n);
}

static void answer_caller(struct daemon *d, const struct action *a)
{
	uint8_t buf[SEND_MAX_BYTES];
	int32_t n = coap_wire_local_answer(a, buf, sizeof(buf));

	if (n < 0)
		d->dropped[DROP_ENCODE]++;
	else
		callers_send(d, &a->key, buf, (uint32_t)n);
}

static void signal_caller(struct daemon *d, const struct action *a)
{
	uint8_t buf[SEND_MAX_BYTES];
	int32_t n = coap_wire_empty(a->type, a->id, buf, sizeof(buf));

	callers_send(d, &a->key, buf, (uint32_t)n);
}

static void to_target(struct daemon *d, const struct action *a)
{
	uint8_t buf[SEND_MAX_BYTES];
	int32_t n = coap_wire_rewrite(a, buf, sizeof(buf));

	if (n < 0)
		d->dropped[DROP_ENCODE]++;
	else
		targets_send(d, a->target, buf, (uint32_t)n);
}

static void signal_target(struct daemon *d, const struct action *a)
{
	uint8_t buf[SEND_MAX_BYTES];
	int32_t n = coap_wire_empty(a->type, a->id, buf, sizeof(buf));

	targets_send(d, a->target, buf, (uint32_t)n);
}

static void cancel_target(struct daemon *d, const struct action *a)
{
	uint8_t buf[SEND_MAX_BYTES];
	int32_t n = coap_wire_cancel(a, buf, sizeof(buf));

	if (n < 0)
		d->dropped[DROP_ENCODE]++;
	else
		targets_send(d, a->target, buf, (uint32_t)n);
}

static void to_peer(struct daemon *d, const struct action *a)
{
	peers_send(d, a->vm, &a->peer);
}

static void note(struct daemon *d, const struct action *a)
{
	char target[32];
	char caller[32];
	char vip[32];

	/*
	 * One fault can touch every flow at once. Lines by the hundred
	 * thousand would stall the loop that has to repair it.
	 */
	if (!d->notes_left) {
		d->notes_suppressed++;
		return;
	}
	d->notes_left--;
	log_line(LOG_INFO, "flow", addr_text(a->target, target, sizeof(target)),
		 "%s caller=%s vip=%s", a->log_text,
		 addr_text(a->key.caller, caller, sizeof(caller)),
		 addr_text(a->key.vip, vip, sizeof(vip)));
}

static void (*const acts[])(struct daemon *d, const struct action *a) = {
	[ACT_TO_CALLER] = to_caller,
	[ACT_TO_TARGET] = to_target,
	[ACT_ANSWER_CALLER] = answer_caller,
	[ACT_SIGNAL_CALLER] = signal_caller,
	[ACT_SIGNAL_TARGET] = signal_target,
	[ACT_CANCEL_TARGET] = cancel_target,
	[ACT_PEER] = to_peer,
	[ACT_LOG] = note,
};

/**
 * act() - carry out the actions of the last call into the decisions
 * @d: daemon
 */
void act(struct daemon *d)
{
	for (uint32_t i = 0; i < d->actions.n; i++) {
		const struct action *a = &d->actions.list[i];

		acts[a->kind](d, a);
	}
	d->actions.n = 0;
}

/**
 * act_second() - once a second: allow new log lines
 * @d: daemon
 */
void act_second(struct daemon *d)
{
	if (d->notes_suppressed)
		log_line(LOG_WARNING, "flow", NULL, "%llu more lines left out",
			 (unsigned long long)d->notes_suppressed);
	d->notes_suppressed = 0;
	d->notes_left = NOTES_PER_S;
}
