/* Executes the actions that struct entry returns. */
#include "coap_wire.h"
#include "daemon.h"
#include "log.h"

#define LOG_LINES_PER_S 50

static void forward_to_caller(struct daemon *d, const struct action *action)
{
	uint8_t buf[SEND_MAX_BYTES];
	int32_t n = coap_wire_rewrite(action, buf, sizeof(buf));

	if (n < 0)
		d->dropped[DROP_ENCODE]++;
	else
		callers_send(d, &action->key, buf, (uint32_t)n);
}

static void answer_caller(struct daemon *d, const struct action *action)
{
	uint8_t buf[SEND_MAX_BYTES];
	int32_t n = coap_wire_local_answer(action, buf, sizeof(buf));

	if (n < 0)
		d->dropped[DROP_ENCODE]++;
	else
		callers_send(d, &action->key, buf, (uint32_t)n);
}

static void send_empty_to_caller(struct daemon *d, const struct action *action)
{
	uint8_t buf[SEND_MAX_BYTES];
	int32_t n = coap_wire_empty(action->type, action->id, buf, sizeof(buf));

	callers_send(d, &action->key, buf, (uint32_t)n);
}

static void forward_to_target(struct daemon *d, const struct action *action)
{
	uint8_t buf[SEND_MAX_BYTES];
	int32_t n = coap_wire_rewrite(action, buf, sizeof(buf));

	if (n < 0)
		d->dropped[DROP_ENCODE]++;
	else
		targets_send(d, action->target, buf, (uint32_t)n);
}

static void send_empty_to_target(struct daemon *d, const struct action *action)
{
	uint8_t buf[SEND_MAX_BYTES];
	int32_t n = coap_wire_empty(action->type, action->id, buf, sizeof(buf));

	targets_send(d, action->target, buf, (uint32_t)n);
}

static void cancel_target(struct daemon *d, const struct action *action)
{
	uint8_t buf[SEND_MAX_BYTES];
	int32_t n = coap_wire_cancel(action, buf, sizeof(buf));

	if (n < 0)
		d->dropped[DROP_ENCODE]++;
	else
		targets_send(d, action->target, buf, (uint32_t)n);
}

static void send_to_peer(struct daemon *d, const struct action *action)
{
	peers_send(d, action->vm, &action->peer);
}

static void log_flow(struct daemon *d, const struct action *action)
{
	char target[32];
	char caller[32];
	char vip[32];

	/*
	 * One fault can affect all flows at once. Hundreds of thousands of
	 * lines would stall the loop that has to handle the fault.
	 */
	if (!d->log_lines_left) {
		d->log_lines_suppressed++;
		return;
	}
	d->log_lines_left--;
	log_line(LOG_INFO, "flow",
		 addr_text(action->target, target, sizeof(target)),
		 "%s caller=%s vip=%s", action->log_text,
		 addr_text(action->key.caller, caller, sizeof(caller)),
		 addr_text(action->key.vip, vip, sizeof(vip)));
}

static void (*const executors[])(struct daemon *d,
				 const struct action *action) = {
	[ACT_TO_CALLER] = forward_to_caller,
	[ACT_TO_TARGET] = forward_to_target,
	[ACT_ANSWER_CALLER] = answer_caller,
	[ACT_SIGNAL_CALLER] = send_empty_to_caller,
	[ACT_SIGNAL_TARGET] = send_empty_to_target,
	[ACT_CANCEL_TARGET] = cancel_target,
	[ACT_PEER] = send_to_peer,
	[ACT_LOG] = log_flow,
};

/**
 * actions_execute() - execute and clear the actions of the last call into the
 *	entry
 * @d: daemon
 */
void actions_execute(struct daemon *d)
{
	for (uint32_t i = 0; i < d->actions.n; i++) {
		const struct action *action = &d->actions.list[i];

		executors[action->kind](d, action);
	}
	d->actions.n = 0;
}

/**
 * actions_reset_log_limit() - allow new log lines; called each second
 * @d: daemon
 *
 * Logs how many lines were suppressed in the second before.
 */
void actions_reset_log_limit(struct daemon *d)
{
	if (d->log_lines_suppressed)
		log_line(LOG_WARNING, "flow", NULL,
			 "%llu lines suppressed by the rate limit",
			 (unsigned long long)d->log_lines_suppressed);
	d->log_lines_suppressed = 0;
	d->log_lines_left = LOG_LINES_PER_S;
}
