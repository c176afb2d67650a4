/* Types of the stand-in for a target. */
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

/* slots.c: few requests run at once, a bounded queue waits. */

struct slots;

/**
 * enum slots_verdict - what slots_next() found
 * @SLOTS_NONE: nothing may start now
 * @SLOTS_START: the caller starts it with slots_run()
 * @SLOTS_EXPIRED: its deadline passed while it waited; not to be run
 */
enum slots_verdict { SLOTS_NONE, SLOTS_START, SLOTS_EXPIRED };

struct slots *slots_new(uint32_t n_slots, uint32_t queue_max);
void slots_free(struct slots *s);
int slots_offer(struct slots *s, void *job, uint64_t deadline_ns);
enum slots_verdict slots_next(struct slots *s, uint64_t now_ns, void **job);
void slots_run(struct slots *s, void *job, uint64_t finish_ns);
bool slots_done(struct slots *s, uint64_t now_ns, void **job);
bool slots_cancel(struct slots *s, bool (*match)(const void *job, void *arg),
		  void *arg, void **job);
uint64_t slots_next_ns(const struct slots *s);
uint32_t slots_running(const struct slots *s);
uint32_t slots_waiting(const struct slots *s);

/* dedup.c: repeats of a message within its exchange lifetime. */

/**
 * struct reply - an answer, as it can be sent again
 * @code: CoAP code
 * @max_age_s: Max-Age, sent when the code is 5.03
 * @has_block: the request carried Block1, the answer echoes it
 * @block_num: its number
 * @block_more: its more bit
 * @block_szx: its size exponent
 * @body: text
 */
struct reply {
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
 * @peer: sender's endpoint
 * @mid: message ID
 * @token_len: bytes of @token in use
 * @token: token
 */
struct message_key {
	uint64_t peer;
	uint16_t mid;
	uint8_t token_len;
	uint8_t token[TOKEN_MAX_BYTES];
};

/**
 * enum dedup_verdict - what the window knows of a message
 * @DEDUP_NEW: first seen
 * @DEDUP_PENDING: a repeat; its answer is not known yet
 * @DEDUP_ANSWERED: a repeat; its answer is known
 * @DEDUP_REUSED: the sender used a message ID again within its lifetime for
 *	another token; taken as new
 */
enum dedup_verdict { DEDUP_NEW, DEDUP_PENDING, DEDUP_ANSWERED, DEDUP_REUSED };

struct dedup;

struct dedup *dedup_new(uint32_t capacity, uint64_t window_ns);
void dedup_free(struct dedup *d);
enum dedup_verdict dedup_see(struct dedup *d, const struct message_key *key,
			     uint64_t now_ns, const struct reply **answer);
void dedup_answer(struct dedup *d, const struct message_key *key,
		  const struct reply *answer);

/* behaviour.c: how the target misbehaves at the moment. */

/**
 * struct behaviour - faults in force
 * @rng: source of the shares
 * @draining: refuses new work
 * @silent: neither runs nor answers anything
 * @crawl: work takes this many times as long
 * @shed_percent: share refused as not run
 * @fail_percent: share that runs and then answers 5.00
 * @lose_percent: share of outgoing datagrams that are lost on the way
 * @cold_start_ns: when the slow start began
 * @cold_deadline_ns: when it is over, 0 for none
 */
struct behaviour {
	struct rng rng;
	bool draining;
	bool silent;
	uint32_t crawl;
	uint32_t shed_percent;
	uint32_t fail_percent;
	uint32_t lose_percent;
	uint64_t cold_start_ns;
	uint64_t cold_deadline_ns;
};

void behaviour_reset(struct behaviour *b);
void behaviour_cold(struct behaviour *b, uint64_t now_ns, uint64_t length_ns);
uint64_t behaviour_work_ns(const struct behaviour *b, uint64_t work_ns,
			   uint64_t now_ns);
bool behaviour_draw(struct behaviour *b, uint32_t percent);

/* upload.c: block-wise bodies on their way in. */

struct uploads;

/**
 * enum upload_verdict - what became of a block
 * @UPLOAD_MORE: taken, the next is awaited
 * @UPLOAD_WHOLE: the last one, the body is whole
 * @UPLOAD_GAP: not the block that was awaited
 */
enum upload_verdict { UPLOAD_MORE, UPLOAD_WHOLE, UPLOAD_GAP };

struct uploads *uploads_new(uint64_t lifetime_ns);
void uploads_free(struct uploads *u);
enum upload_verdict uploads_block(struct uploads *u, uint64_t peer,
				  const char *id, uint32_t num, bool more,
				  uint64_t now_ns);

/* report.c: the load that the target says it has. */

/**
 * struct load - load of a target
 * @running: requests that run
 * @waiting: requests that wait
 * @connections: feeds open
 */
struct load {
	uint16_t running;
	uint16_t waiting;
	uint16_t connections;
};

/**
 * struct report - load as reported
 * @lag_ns: a report is up to this old
 * @lie: report this many running and nothing else; negative for the truth
 * @sampled: values reported until the next sample
 * @resample_deadline_ns: when to look again
 */
struct report {
	uint64_t lag_ns;
	int32_t lie;
	struct load sampled;
	uint64_t resample_deadline_ns;
};

struct load report_load(struct report *r, const struct load *now,
			uint64_t now_ns);
void load_encode(const struct load *l, uint8_t buf[LOAD_BYTES]);

/* observers.c: observers, beside libcoap's own list of them. */

/**
 * struct observer - an observer
 * @session: libcoap's session, a reference is held
 * @token_len: bytes of @token in use
 * @token: token of the request that opened it
 * @id: its id
 * @sequence: notifications so far
 * @round: last round of notifications that asked for it
 * @lost: the target forgot it; it is silent from now on
 */
struct observer {
	coap_session_t *session;
	uint8_t token_len;
	uint8_t token[TOKEN_MAX_BYTES];
	char id[ID_BYTES];
	uint32_t sequence;
	uint32_t round;
	bool lost;
};

struct observers;

struct observers *observers_new(void);
void observers_free(struct observers *f);
struct observer *observers_find(struct observers *f, coap_session_t *session,
				coap_bin_const_t token);
struct observer *observers_add(struct observers *f, coap_session_t *session,
			       coap_bin_const_t token, const char *id);
void observers_remove(struct observers *f, struct observer *feed);
void observers_lose(struct observers *f);
void observers_sweep(struct observers *f, uint32_t round);
uint32_t observers_count(const struct observers *f);

/* What the target counts; "stats" on the control port prints them. */
enum counter {
	COUNT_RUNS,
	COUNT_REPEATS,
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
 * struct path - what the target serves
 * @name: Uri-Path
 * @serve: answer a request that came for the first time; fill @out, or
 *	leave its code 0 when the answer comes later
 * @observable: takes Observe
 */
struct path {
	const char *name;
	void (*serve)(struct target *t, const struct request *r,
		      struct reply *out);
	bool observable;
};

/**
 * struct request - a request as the handlers see it
 * @path: where it goes
 * @session: libcoap's session
 * @key: its identity at the message layer
 * @confirmable: the request was a CON
 * @method: CoAP method
 * @observe: Observe option, or -1
 * @has_block: Block1 is there
 * @block: Block1
 * @deadline_ns: when the caller gives up, NEVER_NS when it did not say
 * @id: its id
 */
struct request {
	const struct path *path;
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
 * @addr: where it serves
 * @control: control port, ADDR_NONE for none
 * @service: name of its service
 * @runs_path: run log, NULL for none
 * @n_slots: requests that run at once
 * @queue_max: requests that wait
 * @connections_max: feeds
 * @work_ns: time that a request takes
 * @feed_ns: time between notifications
 * @load_lag_ns: age of a load report
 * @load_lie: constant reported, negative for the truth
 * @no_dedup: run repeats again
 * @seed: of the shares that are shed and failed
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
	int32_t load_lie;
	bool no_dedup;
	uint64_t seed;
};

/* A target: one endpoint of libcoap's, and what it has to do. */
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
	struct report report;
	struct behaviour behaviour;
	uint32_t sequence;
	uint32_t round;
	bool leaving;
	uint64_t feeds_deadline_ns;
	uint64_t counts[COUNTERS];
};

int target_options_read(struct target_options *o, int argc, char **argv);
int target_open(struct target *t);
void target_close(struct target *t);
int target_serve_open(struct target *t);
void target_step(struct target *t);
void target_abandon(struct target *t);
void target_notify(struct target *t);
void target_link(const struct target *t);
void target_refuse(struct reply *out, const char *reason);
void target_body(struct target *t, const char *id, uint32_t sequence,
		 struct reply *out);
void target_log_run(struct target *t, const struct request *r);
void target_send(struct target *t, const struct request *r,
		 const struct reply *reply);
bool target_fill(struct target *t, coap_pdu_t *pdu, const struct reply *reply);
void target_work(struct target *t, const struct request *r, struct reply *out);
void target_upload(struct target *t, const struct request *r,
		   struct reply *out);
void target_feed(struct target *t, const struct request *r, struct reply *out);
void target_load(struct target *t, const struct request *r, struct reply *out);
void target_missing(struct target *t, const struct request *r,
		    struct reply *out);
bool target_cancel(struct target *t, const struct request *r);
struct load target_load_now(const struct target *t);
void target_quit_when_idle(struct target *t);
extern const struct control_command target_commands[];

#endif
