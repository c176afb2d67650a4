/*
 * Membership of the entries of one data centre: the platform's list of VMs,
 * which lags, combined with direct probes. The load of a node does not depend
 * on the number of members.
 */
#ifndef CB_MEMBER_H
#define CB_MEMBER_H

#include "peer.h"

/**
 * struct member_conf - settings of membership
 * @self: address of this VM
 * @incarnation: has to be higher than that of any earlier process at this
 *	address
 * @probe_period_ns: time between two rounds of probes
 * @probe_timeout_ns: wait for an ack before other members are asked to probe
 * @suspect_timeout_ns: time from suspicion to death
 * @lease_ns: an entry that was paused for this long has to be validated by
 *	other members again before it acts
 * @probes_per_period: members probed in a round
 * @indirect_probes: members asked to probe one that did not answer
 * @joining: start as a member that owns no buckets, until member_join()
 */
struct member_conf {
	uint64_t self;
	uint64_t incarnation;
	uint64_t probe_period_ns;
	uint64_t probe_timeout_ns;
	uint64_t suspect_timeout_ns;
	uint64_t lease_ns;
	uint32_t probes_per_period;
	uint32_t indirect_probes;
	bool joining;
};

/**
 * struct member - state of an entry as known to this one
 * @vm: address
 * @incarnation: highest one received, 0 when the member was never heard
 * @state: enum member_state
 * @listed: in the platform's list
 * @deadline_ns: of a suspect or a silent leaving member: when it is declared
 *	dead; of a dead one: when it is removed; 0 for none
 * @heard_ns: arrival of the last message from the member itself
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
void member_set_roster(struct membership *m, const uint64_t *vms, uint32_t n,
		       uint64_t now_ns);
void member_receive(struct membership *m, const struct peer_msg *msg,
		    uint64_t now_ns);
void member_tick(struct membership *m, uint64_t now_ns);
void member_join(struct membership *m, uint64_t now_ns);
void member_leave(struct membership *m, uint64_t now_ns);
uint64_t member_next_ns(const struct membership *m);
uint64_t member_view_hash(const struct membership *m);
uint32_t member_all(const struct membership *m, const struct member **out);
const struct member *member_find(const struct membership *m, uint64_t vm);
bool member_has_majority(const struct membership *m);
bool member_lease_valid(const struct membership *m, uint64_t now_ns);
uint64_t member_self_deaths(const struct membership *m);

#endif
