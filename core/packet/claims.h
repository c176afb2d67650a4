/*
 * Which data centres are answered by the platform: claims of their readers,
 * passed on with heartbeats. Whoever hears of two others that read need not.
 */
#ifndef CB_CLAIMS_H
#define CB_CLAIMS_H

#include "types.h"

/* Data centres that are kept in mind. */
#define CLAIMS_MAX 32

/**
 * struct read_claim - that the platform answered a data centre's reader
 * @zone: hash of the data centre's name
 * @by: the reader's address for peers
 * @revision: of the platform, in its last answer
 * @number: tells claims at one revision apart; the later one is greater
 * @contact_ns: when it was answered
 *
 * What is newer is told by @revision and @number, which are the same wherever
 * the claim is heard. By time it would look newer after each hop, and one that
 * goes round would never grow old.
 */
struct read_claim {
	uint32_t zone;
	uint64_t by;
	uint64_t revision;
	uint32_t number;
	uint64_t contact_ns;
};

/**
 * struct claims - the newest of each data centre
 * @n: how many
 * @all: those
 */
struct claims {
	uint32_t n;
	struct read_claim all[CLAIMS_MAX];
};

bool claims_take(struct claims *c, const struct read_claim *news);
void claims_contact(struct claims *c, uint32_t zone, uint64_t self,
		    uint64_t revision, uint64_t now_ns);
void claims_withdraw(struct claims *c, uint32_t zone, uint64_t self,
		     uint64_t contact_ns);
const struct read_claim *claims_of(const struct claims *c, uint32_t zone);
uint64_t claims_latest_ns(const struct claims *c);
uint32_t claims_before(const struct claims *c, uint32_t zone,
		       uint64_t since_ns);
uint32_t claims_newest(const struct claims *c, uint32_t zone,
		       struct read_claim *out, uint32_t out_max);

#endif
