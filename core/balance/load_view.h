/*
 * Estimate of a target's load, including requests of other entries, from its
 * load reports. The reports are averaged, and they are used only while they
 * agree with the requests that the entry itself has at the target.
 */
#ifndef CB_LOAD_VIEW_H
#define CB_LOAD_VIEW_H

#include "balance.h"

/* Reports older than this are ignored. */
#define REPORT_VALID_NS (500 * NS_PER_MS)
/* Trust in a target's reports, in 1/1000. */
#define TRUST_FULL 1000
/* Reports of a target with less trust are ignored. */
#define TRUST_MIN 500

/**
 * struct load_view - estimated load of one target
 * @reported_ns: time of the last report, 0 before the first
 * @others_milli: moving average of the requests of other entries, in 1/1000
 * @busy: running and waiting requests of the last report, corrected by this
 *	entry's requests sent and ended since
 * @connections: open feeds of the last report
 * @trust_milli: trust in the reports, 0 to TRUST_FULL
 * @reported_busy: running and waiting requests of the last report
 * @own_inflight: requests of this entry that the last report must include; 0
 *	when the report can't be checked
 * @last_send_ns: time at which this entry last sent a request
 */
struct load_view {
	uint64_t reported_ns;
	uint32_t others_milli;
	uint32_t busy;
	uint32_t connections;
	uint32_t trust_milli;
	uint32_t reported_busy;
	uint32_t own_inflight;
	uint64_t last_send_ns;
};

void load_view_init(struct load_view *view);
void load_view_record_report(struct load_view *view,
			     const struct load_report *report,
			     uint32_t inflight, uint64_t now_ns);
void load_view_record_send(struct load_view *view, uint64_t now_ns);
void load_view_record_end(struct load_view *view, enum outcome outcome,
			  uint32_t slots, uint64_t now_ns);
bool load_view_is_usable(const struct load_view *view, uint64_t now_ns);
uint32_t load_view_others_milli(const struct load_view *view, uint64_t now_ns);
bool load_view_may_be_idle(const struct load_view *view, uint32_t slots,
			   uint64_t mean_duration_ns, uint64_t now_ns);

#endif
