/*
 * Which data centres are answered by the platform: claims of their readers,
 * passed on with heartbeats. Whoever hears of two others that read need not.
 */
#ifndef CB_READ_CLAIMS_H
#define CB_READ_CLAIMS_H

#include "position.h"

/* Data centres that are kept in mind. */
#define READ_CLAIMS_MAX 32

/**
 * struct read_claim - that the platform answered a data centre's reader
 * @zone: hash of the data centre's name
 * @by: the reader's address for peers
 * @at: position of the platform, in its last answer
 * @number: tells claims at one revision apart; the later one is greater
 * @contact_ns: when it was answered
 *
 * What is newer is told by @at and @number, which are the same wherever
 * the claim is heard. By time it would look newer after each hop, and one that
 * goes round would never grow old.
 */
struct read_claim {
	uint32_t zone;
	uint64_t by;
	struct position at;
	uint32_t number;
	uint64_t contact_ns;
};

/**
 * struct read_claims - the newest of each data centre
 * @n: how many
 * @all: those
 */
struct read_claims {
	uint32_t n;
	struct read_claim all[READ_CLAIMS_MAX];
};

bool read_claims_take(struct read_claims *c, const struct read_claim *news);
void read_claims_contact(struct read_claims *c, uint32_t zone, uint64_t self,
			 struct position at, uint64_t now_ns);
void read_claims_withdraw(struct read_claims *c, uint32_t zone, uint64_t self,
			  uint64_t contact_ns);
const struct read_claim *read_claims_of(const struct read_claims *c,
					uint32_t zone);
uint64_t read_claims_latest_ns(const struct read_claims *c);
uint32_t read_claims_before(const struct read_claims *c, uint32_t zone,
			    uint64_t since_ns);
uint32_t read_claims_newest(const struct read_claims *c, uint32_t zone,
			    struct read_claim *out, uint32_t out_max);

#endif
