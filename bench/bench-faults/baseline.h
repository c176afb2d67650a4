/*
 * Baseline balancers that run in place of the entries; none keeps second
 * copies.
 */
#ifndef CB_BASELINE_H
#define CB_BASELINE_H

#include "../../test/testbed.h"

/*
 * Selects owner and target by flow hash modulo their number. A retransmitted
 * request runs again.
 */
extern const struct testbed_system baseline_modulo;

/*
 * Selects owner and target by rendezvous hashing. The owner suppresses
 * retransmissions, but shares its state with no other entry.
 */
extern const struct testbed_system baseline_consistent;

#endif
