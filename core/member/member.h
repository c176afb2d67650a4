/*
 * Membership of the entries of one data centre: the platform's lagging list
 * joined with direct probes. Constant load a node, whatever the fleet's size.
 */
#ifndef CB_MEMBER_H
#define CB_MEMBER_H

#include "peer.h"

/**
 * struct member_conf - settings of membership
 * @self: this VM
 * @incarnation: larger than that of any earlier process at this address
 * @probe_period_ns: one round of probes
 * @probe_timeout_ns: wait for an ack before asking others to probe
 * @suspect_timeout_ns: suspicion before death
 * @lease_ns: an entry that did not run for this long re-validates first
 * @probes: members probed a round
 * @indirect: helpers asked after a missed ack
 * @joining: start as one that owns nothing, until member_join()
 */
struct member_conf {
	uint64_t self;
	uint64_t incarnation;
	uint64_t probe_period_ns;
	uint64_t probe_timeout_ns;
	uint64_t suspect_timeout_ns;
	uint64_t lease_ns;
	uint32_t probes;
	uint32_t indirect;
	bool joining;
};

/**
 * struct member - one entry as believed here
 * @vm: address
 * @incarnation: newest heard
 * @state: enum member_state
 * @listed: the platform's list names it
 * @deadline_ns: end of suspicion, or when a dead one is forgotten
 * @heard_ns: last direct sign of life
 */
struct member {
	uint64_t vm;
	uint64_t incarnation;
	uint8_t state;
	bool listed;
	uint64_t deadline_ns;
	uint64_t heard_ns;
};

struct membership;

struct membership *member_new(const struct member_conf *conf,
			      struct peer_out out, struct rng rng);
void member_free(struct membership *m);
void member_roster(struct membership *m, const uint64_t *vms, uint32_t n,
		   uint64_t now_ns);
void member_message(struct membership *m, const struct peer_msg *msg,
		    uint64_t now_ns);
void member_tick(struct membership *m, uint64_t now_ns);
void member_join(struct membership *m, uint64_t now_ns);
void member_leave(struct membership *m, uint64_t now_ns);
uint64_t member_next_ns(const struct membership *m);
uint64_t member_view(const struct membership *m);
uint32_t member_all(const struct membership *m, const struct member **out);
const struct member *member_find(const struct membership *m, uint64_t vm);
bool member_majority(const struct membership *m);
bool member_lease_valid(const struct membership *m, uint64_t now_ns);
uint64_t member_deaths(const struct membership *m);

#endif
