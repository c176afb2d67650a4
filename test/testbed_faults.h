/* Faults that tests and the benchmark inject, and the effects each may have. */
#ifndef CB_TESTBED_FAULTS_H
#define CB_TESTBED_FAULTS_H

#include "testbed.h"

#define FAULT_NODES 8
#define FAULTS 24

/*
 * Effects on callers that a fault is allowed to have. All others are forbidden;
 * planned changes may have none. MAY_FEW_LOST is for faults that drop datagrams
 * at random: a caller sends a request up to four times, so that with a loss of
 * 10 % in each direction 0.19^4 = 0.13 % of requests get no answer.
 */
enum allowed_effect {
	MAY_UNKNOWN = 1 << 0, /* answered "outcome unknown" */
	MAY_REFUSED = 1 << 1, /* answered "not run", retry later */
	MAY_FEW_LOST = 1 << 2, /* no answer, one request in a hundred at most */
	MAY_CUT = 1 << 3, /* failed after it had begun */
	MAY_BROKEN = 1 << 4, /* feed without update for over 3 s, or ended */
	MAY_STALLED =
		1
		<< 5, /* feed without update until its caller opens a new one */
	REMOVES_HOLDER =
		1 << 6 /* removes one of the two entries that know a feed */
};

/**
 * struct fault_nodes - indexes of the nodes that a fault applies to
 * @owner: entry that owns the flow under test
 * @second: entry that holds the second copy of the flow
 * @target: target that runs the request or feed under test
 */
struct fault_nodes {
	uint32_t owner;
	uint32_t second;
	uint32_t target;
};

/**
 * struct fault - row of the fault matrix
 * @name: name of the row
 * @apply: injects the fault now and schedules its end
 * @allow: allowed effects, bits of enum allowed_effect
 */
struct fault {
	const char *name;
	void (*apply)(struct testbed *tb, const struct fault_nodes *nodes);
	uint32_t allow;
};

extern const struct fault faults[FAULTS];

#endif
