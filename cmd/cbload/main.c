/* cbload: sends the load of callers and reports the outcome of each request. */
#include "load.h"

#include <curl/curl.h>
#include <stdio.h>
#include <uv.h>

#define EXIT_FAULTS_FOUND 1
#define EXIT_USAGE 2

/* Resolution of arrivals, and period of the checks of libcoap's timers. */
#define TICK_MS 2
/* Time for cancellations of feeds and last acknowledgements to be exchanged. */
#define CLOSE_NS (300 * NS_PER_MS)

/**
 * struct run - state of the event loop
 * @options: options of the command line
 * @callers: callers; owned
 * @plan: struct arrival, sorted by time; owned
 * @start_ns: uv_hrtime() at the start; all other times are relative to it
 * @end_deadline_ns: end of the load
 * @close_deadline_ns: end of the run once feeds are closed, 0 before
 * @next_arrival: index in @plan of the first request not yet sent
 * @loop: event loop
 * @tick: periodic timer
 * @poll: readiness of libcoap's descriptor
 */
struct run {
	const struct options *options;
	struct callers *callers;
	GArray *plan;
	uint64_t start_ns;
	uint64_t end_deadline_ns;
	uint64_t close_deadline_ns;
	guint next_arrival;
	uv_loop_t loop;
	uv_timer_t tick;
	uv_poll_t poll;
};

static uint64_t elapsed_ns(const struct run *run)
{
	return uv_hrtime() - run->start_ns;
}

static void send_due(struct run *run, uint64_t now_ns)
{
	while (run->next_arrival < run->plan->len) {
		const struct arrival *arrival = &g_array_index(
			run->plan, struct arrival, run->next_arrival);

		if (arrival->at_ns > now_ns)
			return;
		callers_send(run->callers, arrival->kind, now_ns);
		run->next_arrival++;
	}
}

static void on_readable(uv_poll_t *poll, int status, int events)
{
	struct run *run = poll->data;

	(void)status;
	(void)events;
	callers_process(run->callers, elapsed_ns(run));
}

static void on_tick(uv_timer_t *tick)
{
	struct run *run = tick->data;
	uint64_t now_ns = elapsed_ns(run);

	send_due(run, now_ns);
	callers_process(run->callers, now_ns);
	if (now_ns < run->end_deadline_ns)
		return;
	callers_stop_retries(run->callers);
	if (run->close_deadline_ns) {
		if (now_ns >= run->close_deadline_ns)
			uv_stop(&run->loop);
		return;
	}
	if (callers_unanswered(run->callers))
		return;
	callers_close_feeds(run->callers, now_ns);
	run->close_deadline_ns = now_ns + CLOSE_NS;
}

static int run_load(struct run *run)
{
	int err = callers_open(run->options, &run->callers);

	if (err)
		return err;
	run->plan = plan_arrivals(run->options);
	run->end_deadline_ns = run->options->seconds * NS_PER_S;
	uv_loop_init(&run->loop);
	uv_timer_init(&run->loop, &run->tick);
	uv_poll_init(&run->loop, &run->poll, callers_fd(run->callers));
	run->tick.data = run;
	run->poll.data = run;
	run->start_ns = uv_hrtime();
	uv_timer_start(&run->tick, on_tick, TICK_MS, TICK_MS);
	uv_poll_start(&run->poll, UV_READABLE, on_readable);
	uv_run(&run->loop, UV_RUN_DEFAULT);
	uv_close((uv_handle_t *)&run->tick, NULL);
	uv_close((uv_handle_t *)&run->poll, NULL);
	uv_run(&run->loop, UV_RUN_DEFAULT);
	uv_loop_close(&run->loop);
	return 0;
}

static int report_run(const struct options *options, struct run *run,
		      const struct control_sample *begin)
{
	struct report report = { 0 };
	struct control_sample end;
	struct run_logs logs;
	double seconds = (double)elapsed_ns(run) / NS_PER_S;
	GArray *records = callers_records(run->callers);
	int err;

	control_sample_read(options, &end);
	control_rate_compute(options, begin, &end, seconds, &report.control);
	err = run_logs_read(options, &logs);
	if (!err)
		err = report_compute(options, records, &logs, &report);
	if (!err)
		report_print(options, &report, records);
	g_array_free(logs.runs, TRUE);
	return err || !tally_clean(&report.tally) ? EXIT_FAULTS_FOUND : 0;
}

static int run_and_report(const struct options *options)
{
	struct run run = { .options = options };
	struct control_sample begin;
	int status;
	int err;

	control_sample_read(options, &begin);
	err = run_load(&run);
	if (err) {
		fprintf(stderr, "cbload: libcoap: %s\n", g_strerror(-err));
		return EXIT_FAULTS_FOUND;
	}
	status = report_run(options, &run, &begin);
	callers_close(run.callers);
	g_array_free(run.plan, TRUE);
	return status;
}

int main(int argc, char **argv)
{
	struct options options;
	int status;
	int err = options_read(argc, argv, &options);

	if (err) {
		options_free(&options);
		return err > 0 ? 0 : EXIT_USAGE;
	}
	curl_global_init(CURL_GLOBAL_DEFAULT);
	if (options.wait_ready)
		status = wait_ready(options.wait_ready);
	else
		status = run_and_report(&options);
	curl_global_cleanup();
	options_free(&options);
	return status;
}
