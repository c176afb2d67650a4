/*
 * Queue of requests that this entry has not forwarded yet: the first packet of
 * each, in one list for each target.
 */
#ifndef CB_WAIT_QUEUE_H
#define CB_WAIT_QUEUE_H

#include "types.h"

struct flow_state;
struct target;
struct wait_queue;

/* Largest packet that can be queued. */
#define WAIT_QUEUE_PACKET_MAX_BYTES 1280

struct wait_queue *wait_queue_new(uint32_t packets_max);
void wait_queue_free(struct wait_queue *queue);
bool wait_queue_add(struct wait_queue *queue, struct flow_state *flow,
		    const uint8_t *bytes, uint32_t n_bytes);
void wait_queue_remove(struct wait_queue *queue, struct flow_state *flow);
const uint8_t *wait_queue_packet(const struct wait_queue *queue,
				 const struct flow_state *flow,
				 uint32_t *n_bytes);
struct flow_state *wait_queue_latest(const struct wait_queue *queue,
				     const struct target *target);
struct flow_state *wait_queue_earlier(const struct wait_queue *queue,
				      const struct flow_state *flow);
uint32_t wait_queue_count(const struct wait_queue *queue);

#endif
