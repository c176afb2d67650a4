/* Baselines that stand in the entries' place: little state, no second copy. */
#ifndef CB_BASELINE_H
#define CB_BASELINE_H

#include "../../test/testbed.h"

/* Owner and target by hash modulo their number; repeats run again. */
extern const struct testbed_system baseline_modulo;

/* Both by rendezvous hash; the owner drops repeats, and keeps all to itself. */
extern const struct testbed_system baseline_consistent;

#endif
