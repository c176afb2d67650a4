/*
 * Openings of flows that wait until a target has room for their requests. None
 * is bound to a target, so none is lost when a target ends, and the first slot
 * that gets free anywhere serves the most urgent one.
 */
#ifndef CB_OPENING_QUEUE_H
#define CB_OPENING_QUEUE_H

#include "flow_state.h"

#define OPENINGS_MAX 256
/* Routes that take turns; others are treated as one. */
#define OPENING_ROUTES_MAX 16

/**
 * struct opening - a held opening
 * @key: client address and VIP
 * @service: number of the service that it goes to
 * @kind: enum route_kind
 * @priority: 0 is served first
 * @is_long: the flow will carry many requests
 * @arrived_ns: when its first SYN came
 * @objective_deadline_ns: end of the latency objective of its request
 * @expires_ns: latest time at which it may be admitted
 * @seq: sequence number of the SYN
 * @bytes: the SYN
 * @n_bytes: size of the SYN
 */
struct opening {
	struct flow_key key;
	uint32_t service;
	uint8_t kind;
	uint8_t priority;
	bool is_long;
	uint64_t arrived_ns;
	uint64_t objective_deadline_ns;
	uint64_t expires_ns;
	uint32_t seq;
	uint8_t bytes[RESEND_MAX_BYTES];
	uint8_t n_bytes;
};

struct opening_queue;

struct opening_queue *opening_queue_new(void);
void opening_queue_free(struct opening_queue *queue);
bool opening_queue_add(struct opening_queue *queue,
		       const struct opening *opening);
void opening_queue_remove(struct opening_queue *queue,
			  const struct opening *opening);
uint32_t opening_queue_count(const struct opening_queue *queue);
const struct opening *opening_queue_find(const struct opening_queue *queue,
					 const struct flow_key *key);
uint32_t opening_queue_ahead(const struct opening_queue *queue,
			     uint32_t service, uint8_t priority);
const struct opening *opening_queue_next(const struct opening_queue *queue,
					 uint32_t service, uint64_t work_ns,
					 uint64_t now_ns);
const struct opening *opening_queue_expired(const struct opening_queue *queue,
					    uint64_t now_ns);
const struct opening *opening_queue_oldest(const struct opening_queue *queue,
					   uint32_t service);
void opening_queue_take_turn(struct opening_queue *queue, uint64_t vip);

#endif
