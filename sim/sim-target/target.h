/* Types of the simulated target. */
#ifndef SIM_TARGET_H
#define SIM_TARGET_H

#include "sim.h"

#include <coap3/coap.h>
#include <glib.h>
#include <stdio.h>

#define OPTION_TIMEOUT 65000
#define OPTION_LOAD 65004
#define LOAD_BYTES 6
#define ID_BYTES 33
#define BODY_BYTES 160
#define NEVER_NS UINT64_MAX

/* slots.c: a bounded number of running jobs with a bounded queue. */

struct slots;

/**
 * enum slots_verdict - result of slots_dequeue()
 * @SLOTS_NONE: no job is queued or no slot is free
 * @SLOTS_START: the caller must start the job with slots_start()
 * @SLOTS_EXPIRED: the deadline of the job passed in the queue; it must not run
 */
enum slots_verdict { SLOTS_NONE, SLOTS_START, SLOTS_EXPIRED };

struct slots *slots_new(uint32_t n_slots, uint32_t queue_max);
void slots_free(struct slots *s);
int slots_enqueue(struct slots *s, void *job, uint64_t deadline_ns);
enum slots_verdict slots_dequeue(struct slots *s, uint64_t now_ns, void **job);
void slots_start(struct slots *s, void *job, uint64_t finish_ns);
bool slots_pop_finished(struct slots *s, uint64_t now_ns, void **job);
bool slots_cancel(struct slots *s, bool (*match)(const void *job, void *arg),
		  void *arg, void **job);
uint64_t slots_next_finish_ns(const struct slots *s);
uint32_t slots_running(const struct slots *s);
uint32_t slots_queued(const struct slots *s);

/* dedup.c: detects retransmissions within the exchange lifetime. */

/**
 * struct answer - contents of an answer, kept for retransmissions
 * @code: CoAP code, 0 if the answer is sent later
 * @max_age_s: Max-Age in seconds, sent only with code 5.03
 * @has_block: the request has a Block1 option, which the answer echoes
 * @block_num: block number of Block1
 * @block_more: more bit of Block1
 * @block_szx: size exponent of Block1
 * @body: payload, ended by NUL
 */
struct answer {
	uint8_t code;
	uint32_t max_age_s;
	bool has_block;
	uint32_t block_num;
	uint8_t block_more;
	uint8_t block_szx;
	char body[BODY_BYTES];
};

/**
 * struct message_key - identity of a message at the message layer
 * @peer: address and port of the sender
 * @mid: message ID
 * @token_len: length of @token in bytes
 * @token: token
 */
struct message_key {
	uint64_t peer;
	uint16_t mid;
	uint8_t token_len;
	uint8_t token[TOKEN_MAX_BYTES];
};

/**
 * enum dedup_verdict - result of dedup_record()
 * @DEDUP_NEW: the message has not been received before
 * @DEDUP_PENDING: retransmission of a message without an answer so far
 * @DEDUP_ANSWERED: retransmission of an answered message
 * @DEDUP_REUSED: the sender reused a message ID within its lifetime with
 *	another token; the message is handled as new
 */
enum dedup_verdict { DEDUP_NEW, DEDUP_PENDING, DEDUP_ANSWERED, DEDUP_REUSED };

struct dedup;

struct dedup *dedup_new(uint32_t capacity, uint64_t window_ns);
void dedup_free(struct dedup *d);
enum dedup_verdict dedup_record(struct dedup *d, const struct message_key *key,
				uint64_t now_ns, const struct answer **answer);
void dedup_record_answer(struct dedup *d, const struct message_key *key,
			 const struct answer *answer);

/* behaviour.c: faults of the target. */

/**
 * struct behaviour - current faults of a target
 * @rng: random numbers that select the affected requests
 * @draining: refuses new work
 * @silent: neither runs nor answers requests
 * @work_factor: factor by which work takes longer, at least 1
 * @shed_percent: share of requests refused without running, 0 to 100
 * @fail_percent: share of requests that run and are answered 5.00, 0 to 100
 * @loss_percent: share of outgoing datagrams that are dropped, 0 to 100
 * @cold_start_ns: start of the cold phase
 * @cold_deadline_ns: end of the cold phase, 0 for none
 */
struct behaviour {
	struct rng rng;
	bool draining;
	bool silent;
	uint32_t work_factor;
	uint32_t shed_percent;
	uint32_t fail_percent;
	uint32_t loss_percent;
	uint64_t cold_start_ns;
	uint64_t cold_deadline_ns;
};

void behaviour_reset(struct behaviour *b);
void behaviour_start_cold(struct behaviour *b, uint64_t now_ns,
			  uint64_t length_ns);
uint64_t behaviour_work_ns(const struct behaviour *b, uint64_t work_ns,
			   uint64_t now_ns);
bool behaviour_draw(struct behaviour *b, uint32_t percent);

/* upload.c: incomplete block-wise uploads (RFC 7959). */

struct uploads;

/**
 * enum upload_verdict - result of uploads_add_block()
 * @UPLOAD_MORE: the block was accepted and more blocks must follow
 * @UPLOAD_COMPLETE: the block was the last one and the body is complete
 * @UPLOAD_GAP: the block was not the next one of the body
 */
enum upload_verdict { UPLOAD_MORE, UPLOAD_COMPLETE, UPLOAD_GAP };

struct uploads *uploads_new(uint64_t lifetime_ns);
void uploads_free(struct uploads *u);
enum upload_verdict uploads_add_block(struct uploads *u, uint64_t peer,
				      const char *id, uint32_t num, bool more,
				      uint64_t now_ns);

/* report.c: load that the target reports. */

/**
 * struct load - load of a target
 * @running: number of running requests
 * @waiting: number of queued requests
 * @connections: number of open feeds
 */
struct load {
	uint16_t running;
	uint16_t waiting;
	uint16_t connections;
};

/**
 * struct load_report - load that a target reports
 * @lag_ns: greatest age of the reported values
 * @constant: constant number of running requests to report, with all other
 *	values 0; negative to report the actual load
 * @sampled: values reported until @resample_deadline_ns
 * @resample_deadline_ns: time of the next sample
 */
struct load_report {
	uint64_t lag_ns;
	int32_t constant;
	struct load sampled;
	uint64_t resample_deadline_ns;
};

struct load load_report_get(struct load_report *r, const struct load *now,
			    uint64_t now_ns);
void load_encode(const struct load *l, uint8_t buf[LOAD_BYTES]);

/* observers.c: observers of the feed, in addition to libcoap's own list. */

/**
 * struct observer - an observer of the feed
 * @session: session of libcoap, referenced
 * @token_len: length of @token in bytes
 * @token: token of the request that opened the feed
 * @id: id of the request that opened the feed
 * @sequence: number of notifications sent
 * @round: last notification round in which libcoap notified it
 * @forgotten: simulated fault: the target sends it no more notifications
 */
struct observer {
	coap_session_t *session;
	uint8_t token_len;
	uint8_t token[TOKEN_MAX_BYTES];
	char id[ID_BYTES];
	uint32_t sequence;
	uint32_t round;
	bool forgotten;
};

struct observers;

struct observers *observers_new(void);
void observers_free(struct observers *observers);
struct observer *observers_find(struct observers *observers,
				coap_session_t *session,
				coap_bin_const_t token);
struct observer *observers_add(struct observers *observers,
			       coap_session_t *session, coap_bin_const_t token,
			       const char *id);
void observers_remove(struct observers *observers, struct observer *observer);
void observers_forget_all(struct observers *observers);
void observers_sweep(struct observers *observers, uint32_t round);
uint32_t observers_count(const struct observers *observers);

/* Counters, printed by the control command "stats". */
enum counter {
	COUNT_RUNS,
	COUNT_RETRANSMISSIONS,
	COUNT_REUSED_IDS,
	COUNT_SHED,
	COUNT_SHED_DRAINING,
	COUNT_EXPIRED,
	COUNT_CANCELLED,
	COUNT_FAILED,
	COUNT_GAPS,
	COUNT_NOTIFICATIONS,
	COUNTERS
};

struct target;
struct request;

/**
 * struct resource - a resource of the target
 * @name: Uri-Path
 * @serve: handles a request that is no retransmission; fills @out, or leaves
 *	its code 0 if the answer is sent later
 * @observable: the resource supports Observe
 */
struct resource {
	const char *name;
	void (*serve)(struct target *t, const struct request *r,
		      struct answer *out);
	bool observable;
};

/**
 * struct request - a parsed request
 * @resource: requested resource
 * @session: session of libcoap, not referenced
 * @key: identity at the message layer
 * @confirmable: the request is confirmable (CON)
 * @method: CoAP method
 * @observe: value of the Observe option, -1 if missing
 * @has_block: the request has a Block1 option
 * @block: value of Block1
 * @deadline_ns: monotonic time at which the caller gives up, from which the
 *	request must not start; NEVER_NS without the Timeout option
 * @id: value of the query parameter id, "-" if missing
 */
struct request {
	const struct resource *resource;
	coap_session_t *session;
	struct message_key key;
	bool confirmable;
	uint8_t method;
	int32_t observe;
	bool has_block;
	coap_block_t block;
	uint64_t deadline_ns;
	char id[ID_BYTES];
};

/**
 * struct target_options - command line
 * @addr: address of the CoAP endpoint
 * @control: address of the control port, or ADDR_NONE
 * @service: name of the service
 * @runs_path: path of the run log, or NULL
 * @n_slots: greatest number of running requests
 * @queue_max: greatest number of queued requests
 * @connections_max: greatest number of open feeds
 * @work_ns: duration of a request
 * @feed_ns: period of notifications
 * @load_lag_ns: greatest age of a load report
 * @load_constant: constant number of running requests to report, negative to
 *	report the actual load
 * @no_dedup: run retransmitted requests again
 * @seed: seed of the random faults
 */
struct target_options {
	uint64_t addr;
	uint64_t control;
	const char *service;
	const char *runs_path;
	uint32_t n_slots;
	uint32_t queue_max;
	uint32_t connections_max;
	uint64_t work_ns;
	uint64_t feed_ns;
	uint64_t load_lag_ns;
	int32_t load_constant;
	bool no_dedup;
	uint64_t seed;
};

/*
 * A target: a CoAP endpoint of libcoap, its jobs, observers and faults.
 * @sequence numbers the answers of finished jobs, @round the rounds of
 * notifications.
 */
struct target {
	struct target_options opt;
	char name[32];
	uv_loop_t loop;
	uv_poll_t coap_poll;
	uv_timer_t coap_timer;
	uv_timer_t work_timer;
	uv_timer_t feed_timer;
	uv_signal_t term;
	struct control control;
	coap_context_t *coap;
	coap_resource_t *feed_resource;
	FILE *runs;
	struct slots *slots;
	struct dedup *dedup;
	struct uploads *uploads;
	struct observers *observers;
	struct load_report report;
	struct behaviour behaviour;
	uint32_t sequence;
	uint32_t round;
	bool quitting;
	uint64_t quit_deadline_ns;
	uint64_t counts[COUNTERS];
};

int target_options_read(struct target_options *o, int argc, char **argv);
int target_open(struct target *t);
void target_close(struct target *t);
int target_serve_open(struct target *t);
void target_schedule(struct target *t);
void target_free_jobs(struct target *t);
void target_notify_observers(struct target *t);
void target_apply_packet_loss(const struct target *t);
void target_refuse(struct answer *out, const char *reason);
void target_write_body(struct target *t, const char *id, uint32_t sequence,
		       struct answer *out);
void target_log_run(struct target *t, const struct request *r);
void target_send(struct target *t, const struct request *r,
		 const struct answer *answer);
bool target_fill_pdu(struct target *t, coap_pdu_t *pdu,
		     const struct answer *answer);
void target_handle_work(struct target *t, const struct request *r,
			struct answer *out);
void target_handle_upload(struct target *t, const struct request *r,
			  struct answer *out);
void target_handle_feed(struct target *t, const struct request *r,
			struct answer *out);
void target_handle_load(struct target *t, const struct request *r,
			struct answer *out);
void target_handle_missing(struct target *t, const struct request *r,
			   struct answer *out);
bool target_cancel(struct target *t, const struct request *r);
struct load target_current_load(const struct target *t);
void target_quit_when_idle(struct target *t);
extern const struct control_command target_commands[];

#endif
