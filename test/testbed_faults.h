/* Faults that tests and the bench strike with, and what each may do. */
#ifndef CB_TESTBED_FAULTS_H
#define CB_TESTBED_FAULTS_H

#include "testbed.h"

#define FAULT_NODES 8
#define FAULTS 24

/*
 * What a fault may do to callers; what stands nowhere is forbidden. A planned
 * change may do nothing of it. FEW_LOST is for faults that swallow datagrams
 * at random: a caller tries four times, so that at a loss of 10 % each way
 * 0.19^4 = 0.13 % of requests go unanswered.
 */
enum allow {
	UNKNOWN = 1 << 0, /* told that the outcome is unknown */
	REFUSED = 1 << 1, /* told "not run", come back later */
	FEW_LOST = 1 << 2, /* no answer, one request in a hundred at most */
	CUT = 1 << 3, /* begun and failed */
	BROKEN = 1 << 4, /* feed still for over 3 s, or lost */
	STALLED = 1 << 5, /* feed still until its caller opens it anew */
	HOLDER = 1 << 6 /* takes away one of the two that hold a feed */
};

/**
 * struct scene - who plays which part in a run
 * @owner: entry that owns the subject's flow
 * @second: entry that holds the second copy
 * @target: target that has the subject's work
 */
struct scene {
	uint32_t owner;
	uint32_t second;
	uint32_t target;
};

/**
 * struct fault - a fault
 * @name: row of the matrix
 * @apply: strikes now, sees to its own end
 * @allow: enum allow
 */
struct fault {
	const char *name;
	void (*apply)(struct testbed *f, const struct scene *s);
	uint32_t allow;
};

extern const struct fault faults[FAULTS];

#endif
