/* Packets that wait here for their targets, in a list for each target. */
#ifndef CB_WAITING_H
#define CB_WAITING_H

#include "types.h"

struct flow_seen;
struct target;
struct waiting;

/* The largest packet that may wait. */
#define WAITING_MAX_BYTES 1280

struct waiting *waiting_new(uint32_t packets_max);
void waiting_free(struct waiting *w);
bool waiting_add(struct waiting *w, struct flow_seen *f, const uint8_t *bytes,
		 uint32_t n_bytes);
void waiting_remove(struct waiting *w, struct flow_seen *f);
const uint8_t *waiting_packet(const struct waiting *w,
			      const struct flow_seen *f, uint32_t *n_bytes);
struct flow_seen *waiting_first(const struct waiting *w,
				const struct target *t);
struct flow_seen *waiting_next(const struct waiting *w,
			       const struct flow_seen *f);
uint32_t waiting_count(const struct waiting *w);

#endif
