/* cbload: load of callers, and what became of their requests. */
#include "load.h"

#include <curl/curl.h>
#include <stdio.h>
#include <uv.h>

#define EXIT_UNCLEAN 1
#define EXIT_USAGE 2

/* Arrivals are due to this; libcoap's own timers are checked as often. */
#define TICK_MS 2
/* Cancelled feeds and last acknowledgements are let through for this long. */
#define CLOSE_NS (300 * NS_PER_MS)

/**
 * struct run - the event loop's state
 * @begin_ns: uv_hrtime() at the begin; all other times count from it
 * @next: first planned request not yet sent
 * @close_deadline_ns: end of the run once feeds are closed, 0 before
 */
struct run {
	const struct options *o;
	struct callers *callers;
	GArray *plan;
	uint64_t begin_ns;
	uint64_t end_deadline_ns;
	uint64_t close_deadline_ns;
	guint next;
	uv_loop_t loop;
	uv_timer_t tick;
	uv_poll_t poll;
};

static uint64_t since_begin_ns(const struct run *r)
{
	return uv_hrtime() - r->begin_ns;
}

static void send_due(struct run *r, uint64_t now_ns)
{
	while (r->next < r->plan->len) {
		const struct planned *p =
			&g_array_index(r->plan, struct planned, r->next);

		if (p->at_ns > now_ns)
			return;
		callers_send(r->callers, p->kind, now_ns);
		r->next++;
	}
}

static void on_readable(uv_poll_t *poll, int status, int events)
{
	struct run *r = poll->data;

	(void)status;
	(void)events;
	callers_process(r->callers, since_begin_ns(r));
}

static void on_tick(uv_timer_t *tick)
{
	struct run *r = tick->data;
	uint64_t now_ns = since_begin_ns(r);

	send_due(r, now_ns);
	callers_process(r->callers, now_ns);
	if (now_ns < r->end_deadline_ns)
		return;
	callers_no_more(r->callers);
	if (r->close_deadline_ns) {
		if (now_ns >= r->close_deadline_ns)
			uv_stop(&r->loop);
		return;
	}
	if (callers_waiting(r->callers))
		return;
	callers_end_feeds(r->callers, now_ns);
	r->close_deadline_ns = now_ns + CLOSE_NS;
}

static int run_load(struct run *r)
{
	int err = callers_open(r->o, &r->callers);

	if (err)
		return err;
	r->plan = plan_make(r->o);
	r->end_deadline_ns = r->o->seconds * NS_PER_S;
	uv_loop_init(&r->loop);
	uv_timer_init(&r->loop, &r->tick);
	uv_poll_init(&r->loop, &r->poll, callers_fd(r->callers));
	r->tick.data = r;
	r->poll.data = r;
	r->begin_ns = uv_hrtime();
	uv_timer_start(&r->tick, on_tick, TICK_MS, TICK_MS);
	uv_poll_start(&r->poll, UV_READABLE, on_readable);
	uv_run(&r->loop, UV_RUN_DEFAULT);
	uv_close((uv_handle_t *)&r->tick, NULL);
	uv_close((uv_handle_t *)&r->poll, NULL);
	uv_run(&r->loop, UV_RUN_DEFAULT);
	uv_loop_close(&r->loop);
	return 0;
}

static int account(const struct options *o, struct run *run,
		   const struct control *begin)
{
	struct report report = { 0 };
	struct control end;
	struct logs logs;
	double seconds = (double)since_begin_ns(run) / NS_PER_S;
	GArray *records = callers_records(run->callers);
	int err;

	control_sample(o, &end);
	control_rate(o, begin, &end, seconds, &report.control);
	err = logs_read(o, &logs);
	if (!err)
		err = report_make(o, records, &logs, &report);
	if (!err)
		report_print(o, &report, records);
	g_array_free(logs.runs, TRUE);
	return err || !tally_is_clean(&report.tally) ? EXIT_UNCLEAN : 0;
}

static int load_and_account(const struct options *o)
{
	struct run run = { .o = o };
	struct control begin;
	int status;
	int err;

	control_sample(o, &begin);
	err = run_load(&run);
	if (err) {
		fprintf(stderr, "cbload: libcoap: %s\n", g_strerror(-err));
		return EXIT_UNCLEAN;
	}
	status = account(o, &run, &begin);
	callers_close(run.callers);
	g_array_free(run.plan, TRUE);
	return status;
}

int main(int argc, char **argv)
{
	struct options o;
	int status;
	int err = options_read(argc, argv, &o);

	if (err) {
		options_free(&o);
		return err > 0 ? 0 : EXIT_USAGE;
	}
	curl_global_init(CURL_GLOBAL_DEFAULT);
	if (o.wait_ready)
		status = wait_ready(o.wait_ready);
	else
		status = load_and_account(&o);
	curl_global_cleanup();
	options_free(&o);
	return status;
}
