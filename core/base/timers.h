/* One deadline per timer id, in a binary min-heap that is allocated once. */
#ifndef CB_TIMERS_H
#define CB_TIMERS_H

#include "types.h"

#define DEADLINE_NEVER UINT64_MAX

struct timers;

struct timers *timers_new(uint32_t ids_max);
void timers_free(struct timers *timers);
void timers_set(struct timers *timers, uint32_t id, uint64_t deadline_ns);
void timers_clear(struct timers *timers, uint32_t id);
uint64_t timers_next_ns(const struct timers *timers);
bool timers_pop(struct timers *timers, uint64_t now_ns, uint32_t *id);

#endif
