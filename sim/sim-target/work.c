#include "target.h"

#include <string.h>

#define SHED_MAX_AGE_S 1
#define FEEDS_WAIT_NS (4 * NS_PER_S)

/* A request that waits or runs; @session is held by a reference. */
struct job {
	struct request r;
	bool fails;
};

/**
 * target_refuse() - say that a request was not run
 * @out: filled with a 5.03
 * @reason: why
 */
void target_refuse(struct reply *out, const char *reason)
{
	out->code = COAP_RESPONSE_CODE_SERVICE_UNAVAILABLE;
	out->max_age_s = SHED_MAX_AGE_S;
	g_snprintf(out->body, sizeof(out->body), "not run: %s", reason);
}

/**
 * target_body() - say who answered whom
 * @t: target
 * @id: id of the request
 * @sequence: number of the answer
 * @out: its body is filled
 */
void target_body(struct target *t, const char *id, uint32_t sequence,
		 struct reply *out)
{
	g_snprintf(out->body, sizeof(out->body), "%s %s %s %u", id,
		   t->opt.service, t->name, sequence);
}

/**
 * target_log_run() - write down that a request runs
 * @t: target
 * @r: request
 *
 * Flushed at each line: a request that ran before a SIGKILL but is missing
 * here would hide that it ran twice.
 */
void target_log_run(struct target *t, const struct request *r)
{
	static const char *const methods[] = { "?", "GET", "POST", "PUT",
					       "DELETE" };

	t->counts[COUNT_RUNS]++;
	if (!t->runs)
		return;
	fprintf(t->runs, "run %s %s /%s %s %s %llu\n", r->id, t->opt.service,
		r->path->name, methods[r->method < 5 ? r->method : 0], t->name,
		(unsigned long long)(uv_hrtime() / NS_PER_MS));
	fflush(t->runs);
}

/**
 * target_load_now() - the load as it is
 * @t: target
 *
 * Return: the load.
 */
struct load target_load_now(const struct target *t)
{
	struct load l = {
		.running = (uint16_t)slots_running(t->slots),
		.waiting = (uint16_t)slots_waiting(t->slots),
		.connections = (uint16_t)observers_count(t->observers),
	};

	return l;
}

static void result(struct target *t, const struct job *job, struct reply *out)
{
	target_body(t, job->r.id, ++t->sequence, out);
	out->code = job->r.method == COAP_REQUEST_GET
			    ? COAP_RESPONSE_CODE_CONTENT
			    : COAP_RESPONSE_CODE_CHANGED;
	if (!job->fails)
		return;
	t->counts[COUNT_FAILED]++;
	out->code = COAP_RESPONSE_CODE_INTERNAL_ERROR;
}

static void job_free(struct job *job)
{
	coap_session_release(job->r.session);
	g_free(job);
}

static void job_answer(struct target *t, struct job *job, struct reply *out)
{
	out->has_block = job->r.has_block;
	out->block_num = job->r.block.num;
	out->block_more = job->r.block.m;
	out->block_szx = job->r.block.szx;
	dedup_answer(t->dedup, &job->r.key, out);
	target_send(t, &job->r, out);
	job_free(job);
}

static void finish(struct target *t, struct job *job)
{
	struct reply out = { 0 };

	result(t, job, &out);
	job_answer(t, job, &out);
}

static void expire(struct target *t, struct job *job)
{
	struct reply out = { 0 };

	t->counts[COUNT_EXPIRED]++;
	target_refuse(&out, "deadline");
	job_answer(t, job, &out);
}

static void start(struct target *t, struct job *job, uint64_t now_ns)
{
	uint64_t work_ns =
		behaviour_work_ns(&t->behaviour, t->opt.work_ns, now_ns);

	job->fails = behaviour_draw(&t->behaviour, t->behaviour.fail_percent);
	target_log_run(t, &job->r);
	slots_run(t->slots, job, now_ns + work_ns);
}

static void start_waiting(struct target *t, uint64_t now_ns)
{
	enum slots_verdict verdict;
	void *job;

	for (;;) {
		verdict = slots_next(t->slots, now_ns, &job);
		if (verdict == SLOTS_NONE)
			return;
		if (verdict == SLOTS_EXPIRED)
			expire(t, job);
		else
			start(t, job, now_ns);
	}
}

static void on_work(uv_timer_t *timer)
{
	target_step(timer->data);
}

static void arm(struct target *t, uint64_t now_ns)
{
	sim_timer_arm(&t->work_timer, on_work, slots_next_ns(t->slots), now_ns);
}

/*
 * Feeds are work too: one that is open when the target quits is cut. It waits
 * for them, but no longer than whoever stops it would.
 */
static bool may_quit(const struct target *t, uint64_t now_ns)
{
	if (slots_running(t->slots) || slots_waiting(t->slots))
		return false;
	return !observers_count(t->observers) || now_ns >= t->feeds_deadline_ns;
}

/**
 * target_step() - finish what is done, start what may start
 * @t: target
 */
void target_step(struct target *t)
{
	uint64_t now_ns = uv_hrtime();
	void *job;

	while (slots_done(t->slots, now_ns, &job))
		finish(t, job);
	start_waiting(t, now_ns);
	uv_update_time(&t->loop);
	arm(t, now_ns);
	if (t->leaving && may_quit(t, now_ns))
		uv_stop(&t->loop);
}

/**
 * target_quit_when_idle() - take no new work and leave when none is left
 * @t: target
 */
void target_quit_when_idle(struct target *t)
{
	t->behaviour.draining = true;
	if (!t->leaving)
		t->feeds_deadline_ns = uv_hrtime() + FEEDS_WAIT_NS;
	t->leaving = true;
	target_step(t);
}

/**
 * target_abandon() - forget every request that waits or runs
 * @t: target
 */
void target_abandon(struct target *t)
{
	void *job;

	while (slots_done(t->slots, NEVER_NS, &job))
		job_free(job);
	while (slots_next(t->slots, 0, &job) != SLOTS_NONE)
		job_free(job);
}

static bool refused(struct target *t, struct reply *out)
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
 * target_work() - take a request that needs a slot
 * @t: target
 * @r: request
 * @out: filled when it is refused
 */
void target_work(struct target *t, const struct request *r, struct reply *out)
{
	struct job *job;

	if (refused(t, out))
		return;
	job = g_new0(struct job, 1);
	job->r = *r;
	if (slots_offer(t->slots, job, r->deadline_ns)) {
		g_free(job);
		t->counts[COUNT_SHED]++;
		target_refuse(out, "queue full");
		return;
	}
	coap_session_reference(r->session);
}

/**
 * target_upload() - take a block of an upload
 * @t: target
 * @r: request
 * @out: filled, but for the last block
 */
void target_upload(struct target *t, const struct request *r, struct reply *out)
{
	enum upload_verdict verdict = UPLOAD_WHOLE;

	if (r->has_block)
		verdict = uploads_block(t->uploads, r->key.peer, r->id,
					r->block.num, r->block.m, uv_hrtime());
	if (verdict == UPLOAD_WHOLE) {
		target_work(t, r, out);
	} else if (verdict == UPLOAD_MORE) {
		out->code = COAP_RESPONSE_CODE_CONTINUE;
	} else {
		t->counts[COUNT_GAPS]++;
		out->code = COAP_RESPONSE_CODE_INCOMPLETE;
	}
}

/**
 * target_feed() - open a feed
 * @t: target
 * @r: request; without Observe it is a single reading
 * @out: filled
 *
 * A feed that is open and asked for again (RFC 7641 section 3.3.1) goes on,
 * also on a target that drains: refusing it would end it.
 */
void target_feed(struct target *t, const struct request *r, struct reply *out)
{
	coap_bin_const_t token = { r->key.token_len, r->key.token };
	struct observer *feed = observers_find(t->observers, r->session, token);

	out->code = COAP_RESPONSE_CODE_CONTENT;
	if (feed && !feed->lost && r->observe == COAP_OBSERVE_ESTABLISH) {
		target_body(t, feed->id, feed->sequence, out);
		return;
	}
	if (refused(t, out))
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
	target_body(t, r->id, 0, out);
}

/**
 * target_load() - the load as text
 * @t: target
 * @r: request
 * @out: filled
 */
void target_load(struct target *t, const struct request *r, struct reply *out)
{
	struct load now = target_load_now(t);
	struct load said = report_load(&t->report, &now, uv_hrtime());

	(void)r;
	out->code = COAP_RESPONSE_CODE_CONTENT;
	g_snprintf(out->body, sizeof(out->body), "%u %u %u", said.running,
		   said.waiting, said.connections);
}

/**
 * target_missing() - a path that is not there
 * @t: target
 * @r: request
 * @out: filled with a 4.04
 */
void target_missing(struct target *t, const struct request *r,
		    struct reply *out)
{
	(void)t;
	(void)r;
	out->code = COAP_RESPONSE_CODE_NOT_FOUND;
}

static bool same_request(const void *job, void *arg)
{
	const struct message_key *a = &((const struct job *)job)->r.key;
	const struct message_key *b = arg;

	return a->peer == b->peer && a->token_len == b->token_len &&
	       !memcmp(a->token, b->token, a->token_len);
}

/**
 * target_cancel() - give up what a GET with Observe 1 names by its token
 * @t: target
 * @r: request
 *
 * Return: whether there was a feed or a request that waited.
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
