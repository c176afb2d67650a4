/* Faults that tests and the benchmark inject, and the effects each may have. */
#ifndef CB_TESTBED_FAULTS_H
#define CB_TESTBED_FAULTS_H

#include "testbed.h"

#define FAULT_NODES 8
#define FAULTS 24

/*
 * Effects on callers that a fault is allowed to have. All others are forbidden;
 * planned changes may have none. FEW_LOST is for faults that drop datagrams at
 * random: a caller sends a request up to four times, so that with a loss of
 * 10 % in each direction 0.19^4 = 0.13 % of requests get no answer.
 */
enum allow {
	UNKNOWN = 1 << 0, /* answered "outcome unknown" */
	REFUSED = 1 << 1, /* answered "not run", retry later */
	FEW_LOST = 1 << 2, /* no answer, one request in a hundred at most */
	CUT = 1 << 3, /* failed after it had begun */
	BROKEN = 1 << 4, /* feed without update for over 3 s, or ended */
	STALLED = 1 << 5, /* feed without update until its caller opens a new one */
	HOLDER = 1 << 6 /* removes one of the two entries that know a feed */
};

/**
 * struct scene - indexes of the nodes that a fault applies to
 * @owner: entry that owns the flow under test
 * @second: entry that holds the second copy of the flow
 * @target: target that runs the request or feed under test
 */
struct scene {
	uint32_t owner;
	uint32_t second;
	uint32_t target;
};

/**
 * struct fault - row of the fault matrix
 * @name: name of the row
 * @apply: injects the fault now and schedules its end
 * @allow: allowed effects, bits of enum allow
 */
struct fault {
	const char *name;
	void (*apply)(struct testbed *f, const struct scene *s);
	uint32_t allow;
};

extern const struct fault faults[FAULTS];

#endif
