/*
 * Whether a target lives, from the packets of its flows and from connection
 * attempts made when a packet goes unanswered. No periodic health checks: they
 * take a slot of the target each time and say nothing between two of them.
 */
#ifndef CB_HEALTH_H
#define CB_HEALTH_H

#include "policy.h"
#include "target.h"

/**
 * enum probe_outcome - what a connection attempt showed
 * @PROBE_OPEN: accepted
 * @PROBE_REFUSED: nobody listens: the process has ended
 * @PROBE_SILENT: no answer in time
 * @PROBE_EARLY: no answer, but others have since taken as long to come
 * @PROBE_VOID: this process was held up meanwhile: says nothing
 */
enum probe_outcome {
	PROBE_OPEN,
	PROBE_REFUSED,
	PROBE_SILENT,
	PROBE_EARLY,
	PROBE_VOID,
};

/**
 * struct health_port - what the module needs from outside
 * @ctx: passed back
 * @probe: find out whether something listens at @t's address; the outcome
 *	goes to health_probed()
 * @dead: a target was found dead here: tell the peers
 * @changed: a target's health changed from @before
 */
struct health_port {
	void *ctx;
	void (*probe)(void *ctx, const struct target *t);
	void (*dead)(void *ctx, const struct target *t);
	void (*changed)(void *ctx, const struct target *t, uint8_t before);
};

/**
 * struct health_context - what the decisions on one target go by
 * @policy: figures to go by
 * @port: what is needed from outside
 * @now_ns: time
 * @witness: ask a target that should answer; false when there is no other
 * @witness_ctx: passed to it
 * @witnessed_ns: when the latest probe that was answered went out
 */
struct health_context {
	const struct policy *policy;
	const struct health_port *port;
	uint64_t now_ns;
	bool (*witness)(void *ctx, const struct target *t);
	void *witness_ctx;
	uint64_t witnessed_ns;
};

void health_answered(struct target *t, const struct health_context *c);
void health_doubt(struct target *t, const struct health_context *c,
		  uint64_t since_ns);
void health_dead(struct target *t, const struct health_context *c);
void health_probe(struct target *t, const struct health_context *c);
void health_probed(struct target *t, const struct health_context *c,
		   enum probe_outcome outcome);
void health_tick(struct target *t, const struct health_context *c);

#endif
