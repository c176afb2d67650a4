#include "load_view.h"

/* Trust lost by a wrong report and regained by a plausible one, in 1/1000. */
#define TRUST_DECREASE 250
#define TRUST_INCREASE 20
/* A report may omit requests that were sent less than this before it. */
#define IN_TRANSIT_NS (20 * NS_PER_MS)

/**
 * load_view_init() - initialize a load view without reports and with full trust
 * @view: load view
 */
void load_view_init(struct load_view *view)
{
	*view = (struct load_view){ .trust_milli = TRUST_FULL };
}

static void decrease_trust(struct load_view *view)
{
	view->trust_milli = view->trust_milli > TRUST_DECREASE
				    ? view->trust_milli - TRUST_DECREASE
				    : 0;
}

static void increase_trust(struct load_view *view)
{
	view->trust_milli += TRUST_INCREASE;
	if (view->trust_milli > TRUST_FULL)
		view->trust_milli = TRUST_FULL;
}

/*
 * Update the trust by the last report. This happens at the next report, when it
 * is known whether an answer arrived together with the last one.
 */
static void check_last_report(struct load_view *view)
{
	if (!view->own_inflight)
		return;
	if (view->reported_busy < view->own_inflight)
		decrease_trust(view);
	else
		increase_trust(view);
	view->own_inflight = 0;
}

/**
 * load_view_record_report() - update the estimate with a load report
 * @view: load view of the target
 * @report: report
 * @inflight: requests that this entry has at the target
 * @now_ns: current time
 *
 * A report of fewer requests than this entry alone has at the target is wrong,
 * whatever the reason. If it were used, all entries would send their work to
 * this target. Trust decreases in steps, since a report may be overtaken by an
 * answer.
 */
void load_view_record_report(struct load_view *view,
			     const struct load_report *report,
			     uint32_t inflight, uint64_t now_ns)
{
	uint32_t busy = report->running + report->waiting;
	uint32_t others = busy > inflight ? busy - inflight : 0;

	check_last_report(view);
	view->others_milli = (view->others_milli + others * 1000) / 2;
	view->busy = busy;
	view->reported_busy = busy;
	if (now_ns > view->last_send_ns + IN_TRANSIT_NS)
		view->own_inflight = inflight;
	view->connections = report->connections;
	view->reported_ns = now_ns;
}

/**
 * load_view_record_send() - record that this entry sends a request
 * @view: load view of the target
 * @now_ns: current time
 */
void load_view_record_send(struct load_view *view, uint64_t now_ns)
{
	view->last_send_ns = now_ns;
	view->busy++;
}

/**
 * load_view_record_end() - record that a request of this entry ended
 * @view: load view of the target
 * @outcome: how the request ended
 * @slots: slots of the target
 * @now_ns: current time
 *
 * Trust decreases when a target sheds although its report shows an idle slot. A
 * report that arrived with the answer no longer includes the ended request.
 */
void load_view_record_end(struct load_view *view, enum outcome outcome,
			  uint32_t slots, uint64_t now_ns)
{
	if (outcome == OUTCOME_SHED && load_view_is_usable(view, now_ns) &&
	    view->busy < slots)
		decrease_trust(view);
	if (view->reported_ns == now_ns)
		view->own_inflight = 0;
	else if (view->busy)
		view->busy--;
}

/**
 * load_view_is_usable() - test for a recent and trusted report
 * @view: load view of the target
 * @now_ns: current time
 *
 * Return: true when the last report is recent and the target is trusted.
 */
bool load_view_is_usable(const struct load_view *view, uint64_t now_ns)
{
	return view->reported_ns &&
	       now_ns < view->reported_ns + REPORT_VALID_NS &&
	       view->trust_milli >= TRUST_MIN;
}

/**
 * load_view_others_milli() - estimated requests of other entries
 * @view: load view of the target
 * @now_ns: current time
 *
 * Return: requests, in 1/1000; decreases linearly with the age of the last
 * report, 0 without a usable report.
 */
uint32_t load_view_others_milli(const struct load_view *view, uint64_t now_ns)
{
	uint64_t left_ns;

	if (!load_view_is_usable(view, now_ns))
		return 0;
	left_ns = view->reported_ns + REPORT_VALID_NS - now_ns;
	return (uint32_t)(view->others_milli * (left_ns / NS_PER_MS) /
			  (REPORT_VALID_NS / NS_PER_MS));
}

/**
 * load_view_may_be_idle() - test whether the target may have an idle slot
 * @view: load view of the target
 * @slots: slots of the target
 * @mean_duration_ns: mean duration of the service's requests
 * @now_ns: current time
 *
 * A report of full slots is outdated after the mean duration of a request. For
 * a target that is not trusted, only the time of this entry's own last send is
 * used.
 *
 * Return: false while all slots are assumed to be busy.
 */
bool load_view_may_be_idle(const struct load_view *view, uint32_t slots,
			   uint64_t mean_duration_ns, uint64_t now_ns)
{
	if (view->trust_milli < TRUST_MIN)
		return now_ns > view->last_send_ns + mean_duration_ns;
	return view->busy < slots ||
	       now_ns > view->reported_ns + mean_duration_ns;
}
