/* Parts of membership that only core/member/member*.c share. */
#ifndef CB_MEMBER_IMPL_H
#define CB_MEMBER_IMPL_H

#include "member.h"

#define NEVER UINT64_MAX

/* Members that can be added by messages, without a longer list. */
#define MEMBERS_SPARE 1024

/* Distinct members whose acks end a validation, at most. */
#define VALIDATORS_MAX 8

/* Outcomes of probes kept, one bit each; fewer than the least say nothing. */
#define OUTCOMES_MAX 16
#define OUTCOMES_MIN 4

/* A piece of news rides on NEWS_LAMBDA * log2(members) messages. */
#define NEWS_LAMBDA 3

/*
 * News is also sent on its own, soon after it came: waiting for the next
 * round of probes would let views differ for longer than a settle time.
 */
#define PUSH_DELAY_NS (5 * NS_PER_MS)
#define PUSH_FANOUT 4
#define PUSH_MESSAGES_PER_PERIOD 16

/* Views that differ for so many periods are compared whole. */
#define SYNC_AFTER_PERIODS 5

/* Incarnations closer than this are of one process that refuted. */
#define REFUTATIONS_MAX 256

/* Members told a period that they had been dead here. */
#define DEATHS_TOLD_PER_PERIOD 16

/* A dead member that isn't listed; longer than the platform's list lags. */
#define FORGET_NS (120 * NS_PER_S)

/**
 * struct trait - what is kept of a member besides struct member
 * @news_left: messages its news still rides on
 * @push: its news has not been sent on its own yet
 * @left: it said that it leaves, and has not come back since
 * @tell_deadline_ns: not told of its suspicion again before this
 * @missed: this side had a majority while it was dead here, so that buckets
 *	may have changed hands without it
 * @death: incarnation at which it was dead here, and has yet to be told; or 0
 */
struct trait {
	uint16_t news_left;
	bool push;
	bool left;
	bool missed;
	uint64_t tell_deadline_ns;
	uint64_t death;
};

/**
 * struct probe - a ping under way
 * @seq: its number, 0 for a free slot
 * @vm: member probed
 * @sent_ns: when it was sent
 * @deadline_ns: end of this stage
 * @indirect: helpers have been asked
 * @origin: who asked for it, or ADDR_NONE for our own
 * @origin_seq: the asker's number
 */
struct probe {
	uint64_t seq;
	uint64_t vm;
	uint64_t sent_ns;
	uint64_t deadline_ns;
	bool indirect;
	uint64_t origin;
	uint64_t origin_seq;
};

/**
 * struct membership - members sorted by address, self among them
 * @all: the members; @trait: the rest of each, at the same index
 * @n_live: others that are alive or suspect
 * @n_silent: dead ones that are still probed
 * @n_hot: members with news left to send
 * @n_untold: members yet to be told of their death
 * @majority: now; @had_majority: when it was last looked at;
 *	@won_majority: once since the start
 * @majority_deadline_ns: a majority just won counts from then on
 * @deaths: times it heard that it was declared dead
 * @death_incarnation: highest of its incarnations at which it was
 * @order: members to probe this turn, shuffled; @order_at: next of them
 * @run_deadline_ns: a tick later than this finds a process that was paused
 * @ack_deadline_ns: without an ack to a later ping this entry is cut off
 * @round_deadline_ns: next round of probes
 * @push_deadline_ns: next push of news, or NEVER
 * @sync_deadline_ns: a view that differs then is asked for whole
 * @next_ns: earliest of all deadlines
 * @fresh_seq: acks to pings up to this one don't validate
 * @validators: who has validated since
 * @outcomes: last probes of live members, 1 for an answer
 */
struct membership {
	struct member_conf conf;
	struct peer_out out;
	struct rng rng;
	struct member *all;
	struct trait *trait;
	uint32_t n;
	uint32_t cap;
	uint32_t n_live;
	uint32_t n_silent;
	uint32_t n_hot;
	uint32_t n_untold;
	bool majority;
	bool had_majority;
	bool won_majority;
	uint64_t majority_deadline_ns;
	bool leaving;
	uint64_t incarnation;
	uint64_t view;
	uint64_t deaths;
	uint64_t death_incarnation;
	uint64_t *order;
	uint32_t n_order;
	uint32_t order_at;
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
	uint64_t fresh_seq;
	uint64_t validators[VALIDATORS_MAX];
	uint32_t n_validators;
	uint32_t outcomes;
	uint32_t n_outcomes;
};

/* core/member/member_set.c */
int32_t member_index(const struct membership *m, uint64_t vm);
int32_t member_insert(struct membership *m, uint64_t vm);
void member_remove(struct membership *m, uint32_t i);
void member_recount(struct membership *m);
bool member_is_live(const struct member *e);
bool member_is_silent(const struct membership *m, uint32_t i);
uint64_t member_random_live(struct membership *m);

/* core/member/member_news.c */
void member_learn(struct membership *m, const struct gossip *g, bool spread,
		  uint64_t now_ns);
void member_send(struct membership *m, uint64_t vm, struct peer_msg *msg);
void member_add_item(const struct membership *m, struct peer_msg *msg,
		     uint32_t i);
void member_push_due(struct membership *m, uint64_t now_ns);
void member_send_view(struct membership *m, uint64_t vm);
void member_tell_deaths(struct membership *m);
void member_tell(struct membership *m, uint32_t i, uint64_t now_ns);

/* core/member/member_probe.c */
void member_round(struct membership *m, uint64_t now_ns);
void member_probes_due(struct membership *m, uint64_t now_ns);
void member_on_ping(struct membership *m, const struct peer_msg *msg);
void member_on_ping_req(struct membership *m, const struct peer_msg *msg,
			uint64_t now_ns);
void member_on_ack(struct membership *m, const struct peer_msg *msg,
		   uint64_t now_ns);

/* core/member/member_lease.c */
void member_note_outcome(struct membership *m, bool answered);
void member_revalidate(struct membership *m);
void member_acked(struct membership *m, uint64_t vm, const struct probe *p);
void member_watch_majority(struct membership *m, uint64_t now_ns);

/* core/member/member.c */
void member_due(struct membership *m, uint64_t deadline_ns);

#endif
