/*
 * Health of a target, derived from the packets of its flows and from connection
 * attempts (probes) made when a packet is not answered. There are no periodic
 * health checks of good targets: each would take a slot of the target, and the
 * result says nothing about the time between two checks.
 */
#ifndef CB_HEALTH_H
#define CB_HEALTH_H

#include "policy.h"
#include "target.h"

/**
 * enum probe_outcome - result of a connection attempt
 * @PROBE_ACCEPTED: connection accepted
 * @PROBE_REFUSED: nothing listens: the process has ended
 * @PROBE_SILENT: no answer within the timeout
 * @PROBE_WAIT_TOO_SHORT: no answer within the timeout, but other targets have
 *	since taken as long to answer
 * @PROBE_INCONCLUSIVE: says nothing about the target, for example because this
 *	process was stalled during the attempt
 */
enum probe_outcome {
	PROBE_ACCEPTED,
	PROBE_REFUSED,
	PROBE_SILENT,
	PROBE_WAIT_TOO_SHORT,
	PROBE_INCONCLUSIVE,
};

/**
 * struct health_port - callbacks of the module
 * @ctx: passed to each callback
 * @probe: start a connection attempt to the target. Return: 0, and the outcome
 *	goes to health_record_probe() later, never during the call; a negative
 *	error when no attempt was started.
 * @dead: this entry found the target dead; peers are to be notified
 * @changed: the target's health changed; @before is the previous enum
 *	target_health
 */
struct health_port {
	void *ctx;
	int (*probe)(void *ctx, const struct target *t);
	void (*dead)(void *ctx, const struct target *t);
	void (*changed)(void *ctx, const struct target *t, uint8_t before);
};

/**
 * struct health_context - input of the decisions on one target
 * @policy: limits and switches
 * @port: callbacks
 * @now_ns: current time
 * @probe_witness: probe another target that is expected to answer; returns
 *	false when there is none
 * @witness_ctx: passed to @probe_witness
 * @witness_answered_ns: when the latest probe that was answered, by any target,
 *	was sent
 */
struct health_context {
	const struct policy *policy;
	const struct health_port *port;
	uint64_t now_ns;
	bool (*probe_witness)(void *ctx, const struct target *t);
	void *witness_ctx;
	uint64_t witness_answered_ns;
};

void health_record_answer(struct target *t, const struct health_context *c);
void health_suspect(struct target *t, const struct health_context *c,
		    uint64_t since_ns);
void health_mark_dead(struct target *t, const struct health_context *c);
void health_send_probe(struct target *t, const struct health_context *c);
void health_record_probe(struct target *t, const struct health_context *c,
			 enum probe_outcome outcome);
void health_tick(struct target *t, const struct health_context *c);

#endif
