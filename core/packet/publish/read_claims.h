/*
 * Which data centres the platform answers: claims of their readers, relayed
 * with heartbeats. A data centre that knows of two others that read the
 * platform does not read it itself.
 */
#ifndef CB_READ_CLAIMS_H
#define CB_READ_CLAIMS_H

#include "position.h"

/* Claims of further data centres are ignored. */
#define READ_CLAIMS_MAX 32

/**
 * struct read_claim - claim that the platform answers the reader of a data
 *	centre
 * @zone: hash of the name of the data centre
 * @reader: address for peers of the reader
 * @position: position of the platform in its last answer
 * @seq: orders claims of the same position
 * @contact_ns: when the platform answered, by the local clock
 *
 * Claims are ordered by @position and @seq, which do not change when a claim is
 * relayed. @contact_ns is derived from an age and grows with each hop: if it
 * decided, a claim relayed in a circle would never expire.
 */
struct read_claim {
	uint32_t zone;
	uint64_t reader;
	struct position position;
	uint32_t seq;
	uint64_t contact_ns;
};

/**
 * struct read_claims - the latest claim of each data centre
 * @n: number of claims
 * @all: the first @n are in use, in no order
 */
struct read_claims {
	uint32_t n;
	struct read_claim all[READ_CLAIMS_MAX];
};

bool read_claims_merge(struct read_claims *claims,
		       const struct read_claim *update);
void read_claims_renew(struct read_claims *claims, uint32_t zone, uint64_t self,
		       struct position position, uint64_t now_ns);
void read_claims_withdraw(struct read_claims *claims, uint32_t zone,
			  uint64_t self, uint64_t contact_ns);
const struct read_claim *read_claims_get(const struct read_claims *claims,
					 uint32_t zone);
uint64_t read_claims_last_contact_ns(const struct read_claims *claims);
uint32_t read_claims_readers_before(const struct read_claims *claims,
				    uint32_t zone, uint64_t since_ns);
uint32_t read_claims_select(const struct read_claims *claims, uint32_t zone,
			    struct read_claim *out, uint32_t out_max);

#endif
