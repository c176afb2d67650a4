/* Parts of membership shared by core/member/member*.c only. */
#ifndef CB_MEMBER_IMPL_H
#define CB_MEMBER_IMPL_H

#include "member.h"
#include "timers.h"

/* Members that messages can add beyond those of the platform's list. */
#define MEMBERS_HEADROOM 1024

/* Upper bound of the members whose acks a validation needs. */
#define VALIDATORS_MAX 8

/* Probe outcomes kept, one bit each; fewer than the minimum prove nothing. */
#define OUTCOMES_MAX 16
#define OUTCOMES_MIN 4

/* An update is sent on UPDATE_RETRANSMIT_FACTOR * log2(members) messages. */
#define UPDATE_RETRANSMIT_FACTOR 3

/*
 * Updates are also pushed in messages of their own soon after they arrive. If
 * they waited for the next round of probes, views would differ for longer than
 * a settle time.
 */
#define PUSH_DELAY_NS (5 * NS_PER_MS)
#define PUSH_FANOUT 4
#define PUSH_MESSAGES_PER_PERIOD 16

/*
 * Probe periods with a differing view after which the whole view is requested.
 */
#define SYNC_AFTER_PERIODS 5

/*
 * Incarnations closer than this belong to one process that refuted suspicions.
 */
#define REFUTATIONS_MAX 256

/* Members notified in a probe period that they were declared dead. */
#define DEATH_REPORTS_PER_PERIOD 16

/*
 * Dead members not in the list are kept longer than the platform's list lags.
 */
#define FORGET_NS (120 * NS_PER_S)

/**
 * struct member_priv - state of a member that is private to membership
 * @transmits_left: messages that its latest update is still to be sent on
 * @push_pending: its latest update has not been pushed yet
 * @has_left: its last state other than dead was leaving
 * @dead_under_majority: while it was dead, this side of a partition had a
 *	majority, so buckets may have moved without it
 * @notify_deadline_ns: it is not notified of its suspicion again before this
 * @unreported_death: incarnation at which it was declared dead here, while it
 *	has yet to be notified; or 0
 */
struct member_priv {
	uint16_t transmits_left;
	bool push_pending;
	bool has_left;
	bool dead_under_majority;
	uint64_t notify_deadline_ns;
	uint64_t unreported_death;
};

/**
 * struct probe - a ping that waits for its ack
 * @seq: sequence number, 0 for a free slot
 * @vm: member probed
 * @sent_ns: when the ping was sent
 * @deadline_ns: end of the wait, for the direct ack or the indirect ones
 * @indirect: other members have been asked to probe
 * @requester: member that asked for this probe, or ADDR_NONE
 * @requester_seq: sequence number of the requester's own probe
 */
struct probe {
	uint64_t seq;
	uint64_t vm;
	uint64_t sent_ns;
	uint64_t deadline_ns;
	bool indirect;
	uint64_t requester;
	uint64_t requester_seq;
};

/**
 * struct membership - state of membership
 * @conf: settings
 * @out: port for messages to other entries
 * @rng: random source
 * @members: all members with this VM among them, sorted by address
 * @priv: private state of each, at the same index
 * @n: number of members
 * @cap: capacity of @members, @priv and @probe_order
 * @n_live: other members that are alive or suspect
 * @n_may_return: dead members that are still probed
 * @n_retransmitting: members with updates left to send
 * @n_unreported_deaths: members with @unreported_death
 * @majority: this side of a partition has a majority
 * @majority_before: @majority when it was last tracked
 * @majority_won_once: a majority has been won since the start
 * @majority_valid_from_ns: a majority won again counts from this time
 * @leaving: this entry leaves, or has not joined yet
 * @incarnation: current incarnation of this entry
 * @view: hash of the set of live members
 * @deaths: updates that declared this entry dead or had a higher incarnation of
 *	it
 * @death_incarnation: highest of its incarnations that was declared dead
 * @probe_order: members to probe, shuffled; each once before the next shuffle
 * @n_probe_order: their number
 * @order_next: index of the next one
 * @probe: slots for probes
 * @n_probes: their number
 * @seq: sequence number of the last probe
 * @run_deadline_ns: when a tick comes later than this, the process was paused
 * @ack_deadline_ns: unless a later ping is acked, this entry is partitioned
 *	from then on
 * @round_deadline_ns: next round of probes
 * @push_deadline_ns: next push of updates, or DEADLINE_NEVER
 * @sync_deadline_ns: when a view still differs then, it is requested whole
 * @next_ns: earliest of all deadlines
 * @push_budget: pushed messages left in this period
 * @sync_budget: a whole view may still be sent in this period
 * @validation_seq: acks of pings up to this number do not validate
 * @validators: members whose acks have validated since
 * @n_validators: their number
 * @outcomes: last probes of live members, 1 for an ack; the latest in bit 0
 * @n_outcomes: number of valid bits
 */
struct membership {
	struct member_conf conf;
	struct peer_out out;
	struct rng rng;
	struct member *members;
	struct member_priv *priv;
	uint32_t n;
	uint32_t cap;
	uint32_t n_live;
	uint32_t n_may_return;
	uint32_t n_retransmitting;
	uint32_t n_unreported_deaths;
	bool majority;
	bool majority_before;
	bool majority_won_once;
	uint64_t majority_valid_from_ns;
	bool leaving;
	uint64_t incarnation;
	uint64_t view;
	uint64_t deaths;
	uint64_t death_incarnation;
	uint64_t *probe_order;
	uint32_t n_probe_order;
	uint32_t order_next;
	struct probe *probe;
	uint32_t n_probes;
	uint64_t seq;
	uint64_t run_deadline_ns;
	uint64_t ack_deadline_ns;
	uint64_t round_deadline_ns;
	uint64_t push_deadline_ns;
	uint64_t sync_deadline_ns;
	uint64_t next_ns;
	uint32_t push_budget;
	bool sync_budget;
	uint64_t validation_seq;
	uint64_t validators[VALIDATORS_MAX];
	uint32_t n_validators;
	uint32_t outcomes;
	uint32_t n_outcomes;
};

/* core/member/member_set.c */
int32_t member_find_index(const struct membership *m, uint64_t vm);
int32_t member_find_or_insert(struct membership *m, uint64_t vm);
void member_remove(struct membership *m, uint32_t i);
void member_update_totals(struct membership *m);
bool member_is_live(const struct member *e);
bool member_may_return(const struct membership *m, uint32_t i);
uint64_t member_random_live(struct membership *m);

/* core/member/member_gossip.c */
void member_apply_update(struct membership *m, const struct gossip *g,
			 bool disseminate, uint64_t now_ns);
void member_send(struct membership *m, uint64_t vm, struct peer_msg *msg);
void member_add_update(const struct membership *m, struct peer_msg *msg,
		       uint32_t i);
void member_push_updates(struct membership *m, uint64_t now_ns);
void member_send_view(struct membership *m, uint64_t vm);
void member_report_deaths(struct membership *m);
void member_notify_suspicion(struct membership *m, uint32_t i, uint64_t now_ns);

/* core/member/member_probe.c */
void member_probe_round(struct membership *m, uint64_t now_ns);
void member_expire_probes(struct membership *m, uint64_t now_ns);
void member_on_ping(struct membership *m, const struct peer_msg *msg);
void member_on_ping_req(struct membership *m, const struct peer_msg *msg,
			uint64_t now_ns);
void member_on_ack(struct membership *m, const struct peer_msg *msg,
		   uint64_t now_ns);

/* core/member/member_lease.c */
void member_record_probe_outcome(struct membership *m, bool answered);
void member_require_validation(struct membership *m);
void member_renew_lease(struct membership *m, uint64_t vm,
			const struct probe *p);
void member_track_majority(struct membership *m, uint64_t now_ns);

/* core/member/member.c */
void member_schedule_tick(struct membership *m, uint64_t deadline_ns);

#endif
