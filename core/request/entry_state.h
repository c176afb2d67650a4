/* What the modules of the data path share; private to core/. */
#ifndef CB_ENTRY_STATE_H
#define CB_ENTRY_STATE_H

#include "account_stats.h"
#include "claims.h"
#include "entry.h"
#include "flow.h"
#include "index.h"
#include "timers.h"

#define SLOT_NONE UINT32_MAX
#define HOPS_MAX 2
/* Of a datagram that its receiver may not forward again. */
#define LAST_HOP (HOPS_MAX - 1)
#define FEED_REQUEST_MAX_BYTES 128
#define RENEWING_MAX 256
#define MSG_ID_GAP_LARGE 16384
#define MSG_ID_GAP_SMALL 256
#define ACTIONS_RESERVE 16

/**
 * enum request_state - where a request stands
 * @REQ_FREE: slot not in use
 * @REQ_CLAIMING: non-idempotent, waits for the second's grant
 * @REQ_QUEUED: waits for a target
 * @REQ_SENT: at a target
 * @REQ_ENDED: answered; kept to replay the answer to a repeat
 */
enum request_state { REQ_FREE, REQ_CLAIMING, REQ_QUEUED, REQ_SENT, REQ_ENDED };

/**
 * struct request - one request at its owner
 * @key: flow
 * @identity: hash of flow and message ID, to know a repeat
 * @claim_id: hash with the token too, the claim's name
 * @bucket: bucket of the flow
 * @target: target it was sent to
 * @avoid_target: target that shed or failed it
 * @arrived_ns: when it came
 * @sent_ns: when it last went to a target
 * @deadline_ns: when it is given up
 * @repeat_deadline_ns: when to repeat it to the target, or the claim
 * @feed: feed it opens, renews or moves; SLOT_NONE for a plain request
 * @next: list of ended or free slots
 * @prev: list of ended slots
 * @generation: of the slot, part of the token towards the target
 * @state: enum request_state
 * @flags: enum message_flags of the request
 * @id: caller's message ID
 * @target_msg_id: message ID towards the target
 * @token_len: caller's token
 * @token: caller's token
 * @sends: sends to the present target
 * @targets_tried: targets tried
 * @internal: made here to renew or move a feed; no caller waits
 * @acked: target acknowledged it
 * @counted: counted in the balancer
 * @may_have_run: a target may have run it
 * @carrier_lost: block of a transfer that nobody can go on with
 * @granter_knows_history: one of its granters knows the bucket's history
 * @granted_by: entries that granted its claim
 * @answer: when ended: enum local_answer, or ANSWER_RELAYED
 * @reason: enum refusal
 * @retry_after_s: told to the caller
 * @size_bytes: of @data
 * @data: the request; once ended, the answer
 */
struct request {
	struct flow_key key;
	uint64_t identity;
	uint64_t claim_id;
	uint32_t bucket;
	uint64_t target;
	uint64_t avoid_target;
	uint64_t arrived_ns;
	uint64_t sent_ns;
	uint64_t deadline_ns;
	uint64_t repeat_deadline_ns;
	uint32_t feed;
	uint32_t next;
	uint32_t prev;
	uint32_t generation;
	uint8_t state;
	uint16_t flags;
	uint16_t id;
	uint16_t target_msg_id;
	uint8_t token_len;
	uint8_t token[TOKEN_MAX_BYTES];
	uint8_t sends;
	uint8_t targets_tried;
	bool internal;
	bool acked;
	bool counted;
	bool may_have_run;
	bool carrier_lost;
	bool granter_knows_history;
	uint64_t granted_by[2];
	uint8_t answer;
	uint8_t reason;
	uint32_t retry_after_s;
	uint32_t size_bytes;
	uint8_t data[DATAGRAM_MAX_BYTES];
};

#define ANSWER_RELAYED 0xff

/**
 * enum forward_purpose - what a forwarded datagram asks, in its field seq
 * @FORWARD_TO_OWNER: act as the owner of its flow
 * @FORWARD_TO_CLAIMER: answer as the claimer of this request; run nothing
 * @FORWARD_TO_CARRIER: go on as the entry that began this transfer
 */
enum forward_purpose {
	FORWARD_TO_OWNER,
	FORWARD_TO_CLAIMER,
	FORWARD_TO_CARRIER
};

/**
 * enum feed_state - where a feed stands
 * @FEED_FREE: slot not in use
 * @FEED_COPY: second copy of another entry's feed
 * @FEED_OPENING: first request is under way
 * @FEED_OPEN: updates flow through here
 * @FEED_RENEWING: asked the target again, after silence or a takeover
 */
enum feed_state {
	FEED_FREE,
	FEED_COPY,
	FEED_OPENING,
	FEED_OPEN,
	FEED_RENEWING
};

/**
 * struct feed - one feed, or the second copy of one
 * @key: flow
 * @identity: hash of flow and token
 * @target: target that holds it
 * @last_update_ns: last update
 * @copy_deadline_ns: when to send the second copy (again)
 * @handover_deadline_ns: when to ask the new owner (again) to take it over; of a
 *	copy: when to adopt it, or drop it, though its server lives
 * @renewals: failed since its target last answered
 * @handover_from: entry that waits to hear that we took it over
 * @served_by: of a copy: entry that serves the feed
 * @generation: of the slot, part of the token towards the target
 * @bucket: bucket of the flow
 * @next: list of its bucket
 * @prev: list of its bucket
 * @request: request slot under way, or SLOT_NONE
 * @state: enum feed_state
 * @counted: the balancer counts its connection
 * @token_len: caller's token
 * @token: caller's token
 * @caller_msg_id: message ID of the last update to the caller
 * @target_msg_id: message ID of the same update from the target
 * @has_target_msg_id: @target_msg_id is valid
 * @unacked_since_ns: oldest confirmable update since the caller's last
 *	acknowledgement, 0 when there is none
 * @size_bytes: of @opening
 * @opening: request that opened it, to open it again
 */
struct feed {
	struct flow_key key;
	uint64_t identity;
	uint64_t target;
	uint64_t last_update_ns;
	uint64_t copy_deadline_ns;
	uint64_t handover_deadline_ns;
	uint64_t unacked_since_ns;
	uint32_t renewals;
	uint64_t handover_from;
	uint64_t served_by;
	uint32_t generation;
	uint32_t bucket;
	uint32_t next;
	uint32_t prev;
	uint32_t request;
	uint8_t state;
	bool counted;
	uint8_t token_len;
	uint8_t token[TOKEN_MAX_BYTES];
	uint16_t caller_msg_id;
	uint16_t target_msg_id;
	bool has_target_msg_id;
	uint16_t size_bytes;
	uint8_t opening[FEED_REQUEST_MAX_BYTES];
};

struct stream;

/* Message IDs in use towards one target; see message_id.c. */
struct msg_id_space;

struct entry {
	struct entry_conf conf;
	uint64_t now_ns;
	struct rng rng;
	struct actions *out;
	struct membership *members;
	struct ring *ring;
	struct balancer *balancer;
	struct account_stats *stats;
	struct flow_table *pins;
	struct claims *claims;
	struct timers *timers;
	struct index *services;
	const struct config *config;
	const struct service_conf **service_list;
	uint32_t n_services;

	struct request *requests;
	uint32_t free_request;
	uint32_t ended_first;
	uint32_t ended_last;
	uint32_t n_active;
	struct index *by_identity;
	struct index *by_target_msg_id;

	struct feed *feeds;
	uint32_t free_feed;
	uint32_t feed_slots_used; /* none beyond was ever taken */
	uint32_t n_feeds_held;
	uint32_t n_feeds_renewing;
	uint32_t *feed_heads;
	uint32_t sweep_next;
	bool sweeping;
	uint64_t sweep_deadline_ns;
	uint64_t targets_up_digest;
	uint64_t *owner_since_ns;
	uint64_t *previous_owner;
	struct index *feed_by_identity;
	struct index *feed_by_caller_msg_id;

	struct stream *streams;
	uint32_t streams_open;
	uint64_t *known_at_leave;
	uint8_t *refused_buckets;
	uint64_t peer_budget_bytes;
	uint64_t peer_budget_refilled_ns;
	struct msg_id_space *msg_ids;
	uint64_t view;
	uint64_t deaths;
	uint64_t minority_since_ns;
	bool roster_known;
	bool joined;
	bool leaving;
	bool lease_lapsed;
	bool stale;
	uint64_t ticked_ns;
	uint64_t join_deadline_ns;
	uint64_t join_latest_ns;
	uint64_t leave_deadline_ns;
	uint64_t linger_deadline_ns;
	struct entry_counters counters;
};

/* emit.c */
struct action *emit(struct entry *e, uint8_t kind);
bool emit_has_capacity(const struct entry *e);
struct peer_msg *emit_peer(struct entry *e, uint64_t vm, uint8_t kind);
void emit_log(struct entry *e, const char *log_text, const struct flow_key *key,
	      uint64_t target);
void emit_signal_target(struct entry *e, uint64_t target, uint8_t type,
			uint16_t id);
void emit_signal_caller(struct entry *e, const struct flow_key *key,
			uint8_t type, uint16_t id);

/* entry.c */
void entry_begin_call(struct entry *e, uint64_t now_ns, struct actions *out);

/* entry_membership.c */
void entry_check_pause(struct entry *e);
void entry_check_lease(struct entry *e);
void entry_update_ring(struct entry *e);

/* route.c */
const struct service_conf *service_find(const struct entry *e, uint64_t vip);
bool forward_to(struct entry *e, uint64_t vm, const struct flow_key *key,
		const uint8_t *data, uint32_t size_bytes, uint8_t hops,
		uint8_t purpose);
void handle_as_owner(struct entry *e, const struct flow_key *key,
		     const struct message *msg);
bool vm_is_serving(const struct entry *e, uint64_t vm);
bool vm_may_own(const struct entry *e, uint64_t vm);
uint64_t target_token(bool feed, uint32_t slot, uint32_t generation,
		      uint64_t seed);

/* request.c */
int requests_init(struct entry *e);
void requests_free(struct entry *e);
struct request *request_new(struct entry *e, const struct flow_key *key);
uint32_t request_slot(const struct entry *e, const struct request *r);
void request_receive(struct entry *e, const struct flow_key *key,
		     const struct message *msg);
void request_submit(struct entry *e, struct request *r);
void request_send(struct entry *e, struct request *r, uint64_t target);
void request_refuse(struct entry *e, struct request *r, uint8_t reason,
		    uint32_t retry_after_s);
void request_end_unknown(struct entry *e, struct request *r, const char *why);
void request_drop(struct entry *e, struct request *r);
void request_leave_target(struct entry *e, struct request *r,
			  enum outcome outcome);
void request_timer(struct entry *e, struct request *r);
bool request_is_idempotent(const struct entry *e, const struct request *r);
uint64_t request_target_msg_id_key(uint64_t target, uint16_t id);
void request_complete(struct entry *e, struct request *r);

/* send.c */
void request_handle_answer(struct entry *e, struct request *r, uint64_t target,
			   const struct message *msg);
struct request *request_by_target_msg_id(struct entry *e, uint64_t target,
					 uint16_t id);
void request_reset_by_caller(struct entry *e, const struct flow_key *key,
			     uint16_t id);
void requests_start_ready(struct entry *e);
uint64_t request_identity(const struct flow_key *key, uint16_t id);

/* reply.c */
bool request_handle_retransmission(struct entry *e, const struct flow_key *key,
				   const struct message *msg);
void reply_send(struct entry *e, const struct request *r);
void reply_store(struct request *r, const struct message *msg);
void local_answer_send(struct entry *e, const struct flow_key *key,
		       const struct request *r);
void local_answer_send_unknown(struct entry *e, const struct flow_key *key,
			       const struct message *msg);

/* transfer.c */
uint64_t transfer_target(struct entry *e, const struct request *r);
void transfer_pin(struct entry *e, struct request *r);
void transfer_update_pin(struct entry *e, struct request *r,
			 const struct message *answer);
bool transfer_is_carried_here(struct entry *e, const struct flow_key *key,
			      const struct message *msg);
bool transfer_forward_to_carrier(struct entry *e, struct request *r);
bool transfer_only_stores(const struct request *r);
bool transfer_may_change_target(const struct request *r);

/* answer.c */
void target_receive(struct entry *e, uint64_t target,
		    const struct message *msg);

/* claiming.c */
void claim_begin(struct entry *e, struct request *r);
void claim_request_grants(struct entry *e, struct request *r);
void claim_record_outcome(struct entry *e, struct request *r, uint8_t state);
void claim_requests_received(struct entry *e, const struct peer_msg *msg);
void claim_grants_received(struct entry *e, const struct peer_msg *msg);
void claim_settlements_received(struct entry *e, const struct peer_msg *msg);
bool claim_lease_holds(const struct entry *e);
bool claim_is_pending(struct entry *e, const struct claim *c);
void claim_resolve_conflict(struct entry *e, struct claim *mine,
			    const struct claim *line);

/* feed.c */
int feeds_init(struct entry *e);
void feeds_free(struct entry *e);
uint32_t feed_slot(const struct entry *e, const struct feed *f);
struct feed *feed_find(struct entry *e, const struct flow_key *key,
		       const uint8_t *token, uint8_t token_len);
struct feed *feed_new(struct entry *e, const struct flow_key *key,
		      const uint8_t *token, uint8_t token_len);
void feed_drop(struct entry *e, struct feed *f);
void feed_cancel_at(struct entry *e, const struct feed *f, uint64_t target);
void feed_end(struct entry *e, struct feed *f, bool cancel);
void feed_state_set(struct entry *e, struct feed *f, uint8_t state);
void feed_opened(struct entry *e, struct feed *f, uint64_t target);
void feed_open_refused(struct entry *e, struct feed *f, struct request *r);
void feed_update(struct entry *e, struct feed *f, uint64_t target,
		 const struct message *msg);
void feed_renew(struct entry *e, struct feed *f, uint64_t avoid);
void feed_renew_failed(struct entry *e, struct feed *f, struct request *r);
void feed_keep_target(struct entry *e, struct feed *f);
bool feed_acked_by_caller(struct entry *e, const struct flow_key *key,
			  uint16_t id);
bool feed_reset_by_caller(struct entry *e, const struct flow_key *key,
			  uint16_t id);
void feed_timer(struct entry *e, struct feed *f);
void feed_timer_set(struct entry *e, struct feed *f);

/* feed_renew.c */
void feed_ended_by_target(struct entry *e, struct feed *f, uint64_t target,
			  const struct message *msg);

/* feed_move.c */
void moves_check_config(struct entry *e);
void moves_schedule(struct entry *e);
void moves_tick(struct entry *e);
uint64_t moves_next_ns(const struct entry *e);
bool target_is_leaving(const struct entry *e, uint64_t vip, uint64_t target);

/* feed_copy.c */
void feed_copy_send(struct entry *e, struct feed *f);
void feed_copy_received(struct entry *e, const struct peer_msg *msg);
void feed_copy_close_received(struct entry *e, const struct peer_msg *msg);
void feed_copy_send_close(struct entry *e, struct feed *f);
void feed_copy_timer(struct entry *e, struct feed *f);
void feed_hand_over(struct entry *e, struct feed *f);
void feed_confirm_takeover(struct entry *e, struct feed *f);
void feeds_pair_changed(struct entry *e, uint32_t bucket,
			struct ring_pair before, struct ring_pair after);

/* peer_budget.c */
bool peer_budget_take(struct entry *e, uint32_t bytes);

/* stream.c */
int streams_init(struct entry *e);
void streams_free(struct entry *e);
void streams_record_known(struct entry *e);
bool history_known(const struct entry *e, uint32_t bucket);
void streams_pair_changed(struct entry *e, uint32_t bucket,
			  struct ring_pair before, struct ring_pair after);
uint32_t streams_pending(const struct entry *e);
void streams_tick(struct entry *e);
void stream_received(struct entry *e, const struct peer_msg *msg);
void stream_ack_received(struct entry *e, const struct peer_msg *msg);
bool streams_idle(const struct entry *e);
uint64_t streams_next_ns(const struct entry *e);

/* message_id.c */
int msg_id_spaces_init(struct entry *e);
void msg_id_spaces_free(struct entry *e);
bool msg_id_next(struct entry *e, uint64_t target, uint16_t *id);

#endif
