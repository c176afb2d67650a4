/* State shared by the modules of the data path; private to core/. */
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
/* Hop count of a datagram that its receiver may not forward again. */
#define LAST_HOP (HOPS_MAX - 1)
#define FEED_REQUEST_MAX_BYTES 128
#define RENEWING_MAX 256
#define MSG_ID_GAP_LARGE 16384
#define MSG_ID_GAP_SMALL 256
#define ACTIONS_RESERVE 16

/**
 * enum request_state - state of a request
 * @REQ_FREE: slot is not in use
 * @REQ_CLAIMING: non-idempotent, waits for the grants of the bucket's pair
 * @REQ_QUEUED: waits for a target
 * @REQ_SENT: sent to a target
 * @REQ_ENDED: answered; kept to replay the answer to a retransmission
 */
enum request_state { REQ_FREE, REQ_CLAIMING, REQ_QUEUED, REQ_SENT, REQ_ENDED };

/**
 * struct request - request at the entry that owns its flow
 * @key: flow
 * @identity: hash of flow and message ID, detects retransmissions
 * @claim_id: hash of @identity and the token, identifies the request's claim
 * @bucket: bucket of the flow
 * @target: target that the request was sent to last
 * @avoid_target: target that shed or failed the request, not chosen for a retry
 * @arrived_ns: time of arrival
 * @sent_ns: time at which the present target was chosen
 * @deadline_ns: time at which the request is given up
 * @retransmit_deadline_ns: time of the next retransmission to the target
 * @feed: slot of the feed that it opens, renews or moves; SLOT_NONE for others
 * @next: next slot of the list of ended or of free requests
 * @prev: previous slot of the list of ended requests
 * @generation: uses of the slot, part of the token towards the target
 * @state: enum request_state
 * @flags: enum message_flags of the request
 * @id: caller's message ID
 * @target_msg_id: message ID towards the target
 * @token_len: length of @token in bytes
 * @token: caller's token
 * @sends: transmissions to the present target
 * @targets_tried: number of targets that it was sent to
 * @internal: made by this entry to renew or move a feed; no caller waits for it
 * @acked: the target has acknowledged it
 * @counted: the balancer counts it in flight at @target
 * @may_have_run: a target may have executed it
 * @carrier_lost: block of a transfer that no entry can continue
 * @granter_knows_history: an entry that granted its claim knows the bucket's
 *	complete claim history
 * @granted_by: entries that granted its claim: the owner, the second
 * @answer: state REQ_ENDED: enum local_answer, or ANSWER_RELAYED
 * @reason: enum refusal
 * @retry_after_s: time after which the caller may retry
 * @size_bytes: size of @data
 * @data: the request; in state REQ_ENDED the target's answer
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
	uint64_t retransmit_deadline_ns;
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
 * enum forward_purpose - why a datagram is forwarded, in seq of PEER_FORWARD
 * @FORWARD_TO_OWNER: the receiver owns the flow
 * @FORWARD_TO_CLAIMER: the receiver claimed this request: it replays the answer
 *	and executes nothing
 * @FORWARD_TO_CARRIER: the receiver carries the transfer of this block
 */
enum forward_purpose {
	FORWARD_TO_OWNER,
	FORWARD_TO_CLAIMER,
	FORWARD_TO_CARRIER
};

/**
 * enum feed_state - state of a feed
 * @FEED_FREE: slot is not in use
 * @FEED_COPY: second copy of a feed that another entry serves
 * @FEED_OPENING: the request that opens it is not answered yet
 * @FEED_OPEN: open; this entry relays its updates
 * @FEED_RENEWING: requested from a target again after silence, a takeover or
 *	the end of its target
 */
enum feed_state {
	FEED_FREE,
	FEED_COPY,
	FEED_OPENING,
	FEED_OPEN,
	FEED_RENEWING
};

/**
 * struct feed - feed, or second copy of one
 * @key: flow
 * @identity: hash of flow and token
 * @target: target that serves it
 * @last_update_ns: time of the last update
 * @copy_deadline_ns: time to send the second copy, first or again
 * @handover_deadline_ns: served feed: time to ask the new owner, first or
 *	again, to take it over; second copy: time to take it over or drop it,
 *	even if the entry that serves it is alive
 * @unacked_since_ns: time of the oldest confirmable update since the caller's
 *	last acknowledgement; 0: none
 * @renewals: failed renewals since a target last accepted it
 * @handover_from: entry that awaits the confirmation of the takeover, or
 *	ADDR_NONE
 * @served_by: second copy: entry that serves the feed
 * @generation: uses of the slot, part of the token towards the target
 * @bucket: bucket of the flow
 * @next: next slot of the list of the bucket, or of free feeds
 * @prev: previous slot of the list of the bucket
 * @request: slot of its pending request, or SLOT_NONE
 * @state: enum feed_state
 * @counted: the balancer counts its connection at @target
 * @token_len: length of @token in bytes
 * @token: caller's token
 * @caller_msg_id: message ID of the last update to the caller
 * @target_msg_id: message ID of the same update from the target
 * @has_target_msg_id: @target_msg_id is valid
 * @size_bytes: size of @opening; 0 when the opening request is too large to
 *	keep
 * @opening: request that opened the feed, kept to renew it
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

/* Message IDs in use towards one target, see message_id.c. */
struct msg_id_space;

/**
 * struct entry - state of one entry's data path
 * @conf: settings
 * @now_ns: time of the current call
 * @rng: random numbers
 * @out: actions of the current call
 * @members: membership
 * @ring: buckets and their pairs
 * @balancer: choice of targets, queues and limits
 * @stats: answers by client account and class
 * @pins: targets of flows with a transfer under way
 * @claims: claim records
 * @timers: a timer per request slot, then one per feed slot
 * @services: index of @service_list by VIP
 * @config: configuration in force, not owned; NULL before the first
 * @service_list: services in force
 * @n_services: number of @service_list
 * @requests: requests_max slots
 * @free_request: head of the list of free slots, or SLOT_NONE
 * @ended_first: oldest ended request, or SLOT_NONE
 * @ended_last: newest ended request, or SLOT_NONE
 * @n_active: slots in use and not ended
 * @by_identity: index of @requests by identity
 * @by_target_msg_id: index of @requests by target and message ID
 * @feeds: feeds_max slots
 * @free_feed: head of the list of free slots, or SLOT_NONE
 * @feed_slots_used: slots from here on have never been used
 * @n_feeds_held: feeds in FEED_OPEN or FEED_RENEWING
 * @n_feeds_renewing: feeds in FEED_RENEWING
 * @feed_heads: first feed of each bucket, or SLOT_NONE
 * @sweep_next: next feed slot of the sweep for feeds to move
 * @sweeping: a sweep is under way
 * @sweep_deadline_ns: start of the next sweep, or DEADLINE_NEVER
 * @targets_up_digest: digest of the targets in TARGET_UP
 * @owner_since_ns: by bucket: time at which this entry became its owner
 * @previous_owner: by bucket: owner before this entry, or ADDR_NONE
 * @feed_by_identity: index of @feeds by identity
 * @feed_by_caller_msg_id: index of @feeds by flow and caller's message ID
 * @streams: transfers of claim history to other entries
 * @streams_open: streams that have a receiver
 * @known_at_leave: bit set of buckets whose history was complete when the entry
 *	began to leave
 * @refused_buckets: scratch space for the acknowledgement of a history message
 * @peer_budget_bytes: bytes left in the budget for messages to peers
 * @peer_budget_refilled_ns: time of the budget's last refill
 * @msg_ids: message IDs by target
 * @view: number of the membership view that @ring follows
 * @deaths: last value of member_self_deaths() that was handled
 * @minority_since_ns: time since which there is no majority, or DEADLINE_NEVER
 * @roster_known: the platform's list of VMs has arrived
 * @joined: this entry takes part in the ring
 * @leaving: a planned stop has begun
 * @lease_lapsed: the lease was invalid at the last check
 * @stale: the process was paused; datagrams are dropped until the lease holds
 * @ticked_ns: time of the last entry_tick()
 * @join_deadline_ns: time to join when a majority is known
 * @join_latest_ns: time to join even without a majority
 * @leave_deadline_ns: latest end of a planned stop
 * @linger_deadline_ns: earliest end of a planned stop, for late answers
 * @counters: counters of all client accounts
 */
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
	uint32_t feed_slots_used;
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
struct action *emit(struct entry *entry, uint8_t kind);
bool emit_has_capacity(const struct entry *entry);
struct peer_msg *emit_peer(struct entry *entry, uint64_t vm, uint8_t kind);
void emit_log(struct entry *entry, const char *log_text,
	      const struct flow_key *key, uint64_t target);
void emit_signal_target(struct entry *entry, uint64_t target, uint8_t type,
			uint16_t id);
void emit_signal_caller(struct entry *entry, const struct flow_key *key,
			uint8_t type, uint16_t id);

/* entry.c */
void entry_begin_call(struct entry *entry, uint64_t now_ns,
		      struct actions *out);

/* entry_membership.c */
void entry_check_pause(struct entry *entry);
void entry_check_lease(struct entry *entry);
void entry_update_ring(struct entry *entry);

/* route.c */
const struct service_conf *service_find(const struct entry *entry,
					uint64_t vip);
bool forward_to(struct entry *entry, uint64_t vm, const struct flow_key *key,
		const uint8_t *data, uint32_t size_bytes, uint8_t hops,
		uint8_t purpose);
void handle_as_owner(struct entry *entry, const struct flow_key *key,
		     const struct message *msg);
bool vm_is_serving(const struct entry *entry, uint64_t vm);
bool vm_may_own(const struct entry *entry, uint64_t vm);
uint64_t target_token(bool feed, uint32_t slot, uint32_t generation,
		      uint64_t seed);

/* request.c */
int requests_init(struct entry *entry);
void requests_free(struct entry *entry);
struct request *request_new(struct entry *entry, const struct flow_key *key);
uint32_t request_slot(const struct entry *entry, const struct request *req);
void request_receive(struct entry *entry, const struct flow_key *key,
		     const struct message *msg);
void request_submit(struct entry *entry, struct request *req);
void request_send(struct entry *entry, struct request *req, uint64_t target);
void request_refuse(struct entry *entry, struct request *req, uint8_t reason,
		    uint32_t retry_after_s);
void request_end_unknown(struct entry *entry, struct request *req,
			 const char *why);
void request_drop(struct entry *entry, struct request *req);
void request_leave_target(struct entry *entry, struct request *req,
			  enum outcome outcome);
void request_timer(struct entry *entry, struct request *req);
bool request_is_idempotent(const struct entry *entry,
			   const struct request *req);
uint64_t request_target_msg_id_key(uint64_t target, uint16_t id);
void request_complete(struct entry *entry, struct request *req);

/* send.c */
void request_handle_answer(struct entry *entry, struct request *req,
			   uint64_t target, const struct message *msg);
struct request *request_by_target_msg_id(struct entry *entry, uint64_t target,
					 uint16_t id);
void request_reset_by_caller(struct entry *entry, const struct flow_key *key,
			     uint16_t id);
void requests_start_ready(struct entry *entry);
uint64_t request_identity(const struct flow_key *key, uint16_t id);

/* reply.c */
bool request_handle_retransmission(struct entry *entry,
				   const struct flow_key *key,
				   const struct message *msg);
void reply_send(struct entry *entry, const struct request *req);
void reply_store(struct request *req, const struct message *msg);
void local_answer_send(struct entry *entry, const struct flow_key *key,
		       const struct request *req);
void local_answer_send_unknown(struct entry *entry, const struct flow_key *key,
			       const struct message *msg);

/* transfer.c */
uint64_t transfer_target(struct entry *entry, const struct request *req);
void transfer_pin(struct entry *entry, struct request *req);
void transfer_update_pin(struct entry *entry, struct request *req,
			 const struct message *answer);
bool transfer_is_carried_here(struct entry *entry, const struct flow_key *key,
			      const struct message *msg);
bool transfer_forward_to_carrier(struct entry *entry, struct request *req);
bool transfer_only_stores(const struct request *req);
bool transfer_may_change_target(const struct request *req);

/* answer.c */
void target_receive(struct entry *entry, uint64_t target,
		    const struct message *msg);

/* claiming.c */
void claim_begin(struct entry *entry, struct request *req);
void claim_request_grants(struct entry *entry, struct request *req);
void claim_record_outcome(struct entry *entry, struct request *req,
			  uint8_t state);
void claim_requests_received(struct entry *entry, const struct peer_msg *msg);
void claim_grants_received(struct entry *entry, const struct peer_msg *msg);
void claim_settlements_received(struct entry *entry,
				const struct peer_msg *msg);
bool claim_lease_holds(const struct entry *entry);
bool claim_is_pending(struct entry *entry, const struct claim *claim);
void claim_resolve_conflict(struct entry *entry, struct claim *own,
			    const struct claim *other);

/* feed.c */
int feeds_init(struct entry *entry);
void feeds_free(struct entry *entry);
uint32_t feed_slot(const struct entry *entry, const struct feed *feed);
struct feed *feed_find(struct entry *entry, const struct flow_key *key,
		       const uint8_t *token, uint8_t token_len);
struct feed *feed_new(struct entry *entry, const struct flow_key *key,
		      const uint8_t *token, uint8_t token_len);
void feed_drop(struct entry *entry, struct feed *feed);
void feed_cancel_at(struct entry *entry, const struct feed *feed,
		    uint64_t target);
void feed_end(struct entry *entry, struct feed *feed, bool cancel);
void feed_state_set(struct entry *entry, struct feed *feed, uint8_t state);
void feed_opened(struct entry *entry, struct feed *feed, uint64_t target);
void feed_open_refused(struct entry *entry, struct feed *feed,
		       struct request *req);
void feed_update(struct entry *entry, struct feed *feed, uint64_t target,
		 const struct message *msg);
void feed_renew(struct entry *entry, struct feed *feed, uint64_t avoid);
void feed_renew_failed(struct entry *entry, struct feed *feed,
		       struct request *req);
void feed_keep_target(struct entry *entry, struct feed *feed);
bool feed_acked_by_caller(struct entry *entry, const struct flow_key *key,
			  uint16_t id);
bool feed_reset_by_caller(struct entry *entry, const struct flow_key *key,
			  uint16_t id);
void feed_timer(struct entry *entry, struct feed *feed);
void feed_timer_set(struct entry *entry, struct feed *feed);

/* feed_renew.c */
void feed_ended_by_target(struct entry *entry, struct feed *feed,
			  uint64_t target, const struct message *msg);

/* feed_move.c */
void moves_check_config(struct entry *entry);
void moves_schedule(struct entry *entry);
void moves_tick(struct entry *entry);
uint64_t moves_next_ns(const struct entry *entry);
bool target_is_leaving(const struct entry *entry, uint64_t vip,
		       uint64_t target);

/* feed_copy.c */
void feed_copy_send(struct entry *entry, struct feed *feed);
void feed_copy_received(struct entry *entry, const struct peer_msg *msg);
void feed_copy_close_received(struct entry *entry, const struct peer_msg *msg);
void feed_copy_send_close(struct entry *entry, struct feed *feed);
void feed_copy_timer(struct entry *entry, struct feed *feed);
void feed_hand_over(struct entry *entry, struct feed *feed);
void feed_confirm_takeover(struct entry *entry, struct feed *feed);
void feeds_pair_changed(struct entry *entry, uint32_t bucket,
			struct ring_pair before, struct ring_pair after);

/* peer_budget.c */
bool peer_budget_take(struct entry *entry, uint32_t bytes);

/* stream.c */
int streams_init(struct entry *entry);
void streams_free(struct entry *entry);
void streams_record_known(struct entry *entry);
bool history_known(const struct entry *entry, uint32_t bucket);
void streams_pair_changed(struct entry *entry, uint32_t bucket,
			  struct ring_pair before, struct ring_pair after);
uint32_t streams_pending(const struct entry *entry);
void streams_tick(struct entry *entry);
void stream_received(struct entry *entry, const struct peer_msg *msg);
void stream_ack_received(struct entry *entry, const struct peer_msg *msg);
bool streams_idle(const struct entry *entry);
uint64_t streams_next_ns(const struct entry *entry);

/* message_id.c */
int msg_id_spaces_init(struct entry *entry);
void msg_id_spaces_free(struct entry *entry);
bool msg_id_next(struct entry *entry, uint64_t target, uint16_t *id);

#endif
