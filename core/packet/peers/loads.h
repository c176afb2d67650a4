/* What the entries of a data centre tell each other of their targets' load. */
#ifndef CB_LOADS_H
#define CB_LOADS_H

#include "directory.h"
#include "peer_set.h"
#include "policy.h"

void loads_fill(const struct directory *d, struct hello *h);
void loads_fill_failing(const struct directory *d, struct hello *h,
			const struct policy *policy, uint64_t now_ns);
void loads_sum(struct directory *d, const struct peer_set *f, uint64_t now_ns);

#endif
