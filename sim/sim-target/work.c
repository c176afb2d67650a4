#include "target.h"

#include <string.h>

#define SHED_MAX_AGE_S 1
#define FEEDS_WAIT_NS (4 * NS_PER_S)

/* A queued or running request; its session is referenced. */
struct job {
	struct request request;
	bool fails;
};

/**
 * target_refuse() - write a 5.03 answer to a request that was not run
 * @out: receives the answer
 * @reason: reason for the body, in a few words
 */
void target_refuse(struct answer *out, const char *reason)
{
	out->code = COAP_RESPONSE_CODE_SERVICE_UNAVAILABLE;
	out->max_age_s = SHED_MAX_AGE_S;
	g_snprintf(out->body, sizeof(out->body), "not run: %s", reason);
}

/**
 * target_write_body() - write a body "ID SERVICE TARGET SEQUENCE"
 * @t: target
 * @id: id of the request
 * @sequence: sequence number of the answer or notification
 * @out: receives the body
 */
void target_write_body(struct target *t, const char *id, uint32_t sequence,
		       struct answer *out)
{
	g_snprintf(out->body, sizeof(out->body), "%s %s %s %u", id,
		   t->opt.service, t->name, sequence);
}

/**
 * target_log_run() - count a started request and append it to the run log
 * @t: target
 * @r: request
 *
 * Each line is flushed: if a SIGKILL lost the line of a request that ran, the
 * log would not show that it ran twice.
 */
void target_log_run(struct target *t, const struct request *r)
{
	static const char *const methods[] = { "?", "GET", "POST", "PUT",
					       "DELETE" };

	t->counts[COUNT_RUNS]++;
	if (!t->runs)
		return;
	fprintf(t->runs, "run %s %s /%s %s %s %llu\n", r->id, t->opt.service,
		r->resource->name, methods[r->method < 5 ? r->method : 0],
		t->name, (unsigned long long)(uv_hrtime() / NS_PER_MS));
	fflush(t->runs);
}

/**
 * target_current_load() - current load, as opposed to the reported load
 * @t: target
 *
 * Return: current load.
 */
struct load target_current_load(const struct target *t)
{
	struct load l = {
		.running = (uint16_t)slots_running(t->slots),
		.waiting = (uint16_t)slots_queued(t->slots),
		.connections = (uint16_t)observers_count(t->observers),
	};

	return l;
}

static void fill_result(struct target *t, const struct job *job,
			struct answer *out)
{
	target_write_body(t, job->request.id, ++t->sequence, out);
	out->code = job->request.method == COAP_REQUEST_GET
			    ? COAP_RESPONSE_CODE_CONTENT
			    : COAP_RESPONSE_CODE_CHANGED;
	if (!job->fails)
		return;
	t->counts[COUNT_FAILED]++;
	out->code = COAP_RESPONSE_CODE_INTERNAL_ERROR;
}

static void job_free(struct job *job)
{
	coap_session_release(job->request.session);
	g_free(job);
}

static void job_answer(struct target *t, struct job *job, struct answer *out)
{
	out->has_block = job->request.has_block;
	out->block_num = job->request.block.num;
	out->block_more = job->request.block.m;
	out->block_szx = job->request.block.szx;
	dedup_record_answer(t->dedup, &job->request.key, out);
	target_send(t, &job->request, out);
	job_free(job);
}

static void finish_job(struct target *t, struct job *job)
{
	struct answer out = { 0 };

	fill_result(t, job, &out);
	job_answer(t, job, &out);
}

static void expire_job(struct target *t, struct job *job)
{
	struct answer out = { 0 };

	t->counts[COUNT_EXPIRED]++;
	target_refuse(&out, "deadline");
	job_answer(t, job, &out);
}

static void start_job(struct target *t, struct job *job, uint64_t now_ns)
{
	uint64_t work_ns =
		behaviour_work_ns(&t->behaviour, t->opt.work_ns, now_ns);

	job->fails = behaviour_draw(&t->behaviour, t->behaviour.fail_percent);
	target_log_run(t, &job->request);
	slots_start(t->slots, job, now_ns + work_ns);
}

static void start_queued_jobs(struct target *t, uint64_t now_ns)
{
	enum slots_verdict verdict;
	void *job;

	for (;;) {
		verdict = slots_dequeue(t->slots, now_ns, &job);
		if (verdict == SLOTS_NONE)
			return;
		if (verdict == SLOTS_EXPIRED)
			expire_job(t, job);
		else
			start_job(t, job, now_ns);
	}
}

static void on_work_timer(uv_timer_t *timer)
{
	target_schedule(timer->data);
}

static void arm_work_timer(struct target *t, uint64_t now_ns)
{
	sim_timer_arm(&t->work_timer, on_work_timer,
		      slots_next_finish_ns(t->slots), now_ns);
}

/*
 * Quitting interrupts open feeds, so the target waits until they close, but for
 * FEEDS_WAIT_NS at most: the program that stops it does not wait longer.
 */
static bool can_quit(const struct target *t, uint64_t now_ns)
{
	if (slots_running(t->slots) || slots_queued(t->slots))
		return false;
	return !observers_count(t->observers) || now_ns >= t->quit_deadline_ns;
}

/**
 * target_schedule() - answer finished jobs, start queued ones, quit if idle
 * @t: target
 */
void target_schedule(struct target *t)
{
	uint64_t now_ns = uv_hrtime();
	void *job;

	while (slots_pop_finished(t->slots, now_ns, &job))
		finish_job(t, job);
	start_queued_jobs(t, now_ns);
	uv_update_time(&t->loop);
	arm_work_timer(t, now_ns);
	if (t->quitting && can_quit(t, now_ns))
		uv_stop(&t->loop);
}

/**
 * target_quit_when_idle() - refuse new work and stop the loop once idle
 * @t: target
 */
void target_quit_when_idle(struct target *t)
{
	t->behaviour.draining = true;
	if (!t->quitting)
		t->quit_deadline_ns = uv_hrtime() + FEEDS_WAIT_NS;
	t->quitting = true;
	target_schedule(t);
}

/**
 * target_free_jobs() - free all queued and running jobs without answers
 * @t: target
 */
void target_free_jobs(struct target *t)
{
	void *job;

	while (slots_pop_finished(t->slots, NEVER_NS, &job))
		job_free(job);
	while (slots_dequeue(t->slots, 0, &job) != SLOTS_NONE)
		job_free(job);
}

static bool refuse_by_fault(struct target *t, struct answer *out)
{
	if (t->behaviour.draining) {
		t->counts[COUNT_SHED_DRAINING]++;
		target_refuse(out, "draining");
		return true;
	}
	if (behaviour_draw(&t->behaviour, t->behaviour.shed_percent)) {
		t->counts[COUNT_SHED]++;
		target_refuse(out, "shed");
		return true;
	}
	return false;
}

/**
 * target_handle_work() - queue a request that needs a slot
 * @t: target
 * @r: request
 * @out: receives the answer if the request is refused
 */
void target_handle_work(struct target *t, const struct request *r,
			struct answer *out)
{
	struct job *job;

	if (refuse_by_fault(t, out))
		return;
	job = g_new0(struct job, 1);
	job->request = *r;
	if (slots_enqueue(t->slots, job, r->deadline_ns)) {
		g_free(job);
		t->counts[COUNT_SHED]++;
		target_refuse(out, "queue full");
		return;
	}
	coap_session_reference(r->session);
}

/**
 * target_handle_upload() - handle a block of an upload
 * @t: target
 * @r: request
 * @out: receives the answer, unless the block completes the body and the
 *	request is queued
 */
void target_handle_upload(struct target *t, const struct request *r,
			  struct answer *out)
{
	enum upload_verdict verdict = UPLOAD_COMPLETE;

	if (r->has_block)
		verdict = uploads_add_block(t->uploads, r->key.peer, r->id,
					    r->block.num, r->block.m,
					    uv_hrtime());
	if (verdict == UPLOAD_COMPLETE) {
		target_handle_work(t, r, out);
	} else if (verdict == UPLOAD_MORE) {
		out->code = COAP_RESPONSE_CODE_CONTINUE;
	} else {
		t->counts[COUNT_GAPS]++;
		out->code = COAP_RESPONSE_CODE_INCOMPLETE;
	}
}

/**
 * target_handle_feed() - open a feed, or read it once without Observe
 * @t: target
 * @r: request
 * @out: receives the answer
 *
 * The renewal of an open feed (RFC 7641 section 3.3.1) is accepted even while
 * the target drains: a refusal would end the feed.
 */
void target_handle_feed(struct target *t, const struct request *r,
			struct answer *out)
{
	coap_bin_const_t token = { r->key.token_len, r->key.token };
	struct observer *feed = observers_find(t->observers, r->session, token);

	out->code = COAP_RESPONSE_CODE_CONTENT;
	if (feed && !feed->forgotten && r->observe == COAP_OBSERVE_ESTABLISH) {
		target_write_body(t, feed->id, feed->sequence, out);
		return;
	}
	if (refuse_by_fault(t, out))
		return;
	if (r->observe == COAP_OBSERVE_ESTABLISH &&
	    observers_count(t->observers) >= t->opt.connections_max) {
		t->counts[COUNT_SHED]++;
		target_refuse(out, "connections");
		return;
	}
	target_log_run(t, r);
	if (r->observe == COAP_OBSERVE_ESTABLISH) {
		feed = observers_add(t->observers, r->session, token, r->id);
		feed->round = t->round;
	}
	target_write_body(t, r->id, 0, out);
}

/**
 * target_handle_load() - answer with the reported load as text
 * @t: target
 * @r: request, unused
 * @out: receives the answer
 */
void target_handle_load(struct target *t, const struct request *r,
			struct answer *out)
{
	struct load now = target_current_load(t);
	struct load reported = load_report_get(&t->report, &now, uv_hrtime());

	(void)r;
	out->code = COAP_RESPONSE_CODE_CONTENT;
	g_snprintf(out->body, sizeof(out->body), "%u %u %u", reported.running,
		   reported.waiting, reported.connections);
}

/**
 * target_handle_missing() - answer 4.04, as for a resource that does not exist
 * @t: target, unused
 * @r: request, unused
 * @out: receives the answer
 */
void target_handle_missing(struct target *t, const struct request *r,
			   struct answer *out)
{
	(void)t;
	(void)r;
	out->code = COAP_RESPONSE_CODE_NOT_FOUND;
}

static bool same_request(const void *job, void *arg)
{
	const struct message_key *a = &((const struct job *)job)->request.key;
	const struct message_key *b = arg;

	return a->peer == b->peer && a->token_len == b->token_len &&
	       !memcmp(a->token, b->token, a->token_len);
}

/**
 * target_cancel() - close the feed or the queued request of a cancellation
 * @t: target
 * @r: GET with Observe 1 and the token of the feed or request
 *
 * Return: true if a feed or a queued request was found.
 */
bool target_cancel(struct target *t, const struct request *r)
{
	struct message_key key = r->key;
	coap_bin_const_t token = { key.token_len, key.token };
	struct observer *feed = observers_find(t->observers, r->session, token);
	void *job;

	if (feed) {
		observers_remove(t->observers, feed);
		return true;
	}
	if (!slots_cancel(t->slots, same_request, &key, &job))
		return false;
	t->counts[COUNT_CANCELLED]++;
	job_free(job);
	return true;
}
