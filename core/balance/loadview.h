/*
 * What an entry believes of the work that others have at a target: damped
 * reports, trusted only as far as they agree with what the entry sees itself.
 */
#ifndef CB_LOADVIEW_H
#define CB_LOADVIEW_H

#include "balance.h"

/* A report older than this says nothing any more. */
#define VIEW_FRESH_NS (500 * NS_PER_MS)
/* Trust is in 1/1000; below this a target's reports are passed over. */
#define TRUST_FULL 1000
#define TRUST_MIN 500

/**
 * struct load_view - belief about one target
 * @heard_ns: time of the last report, 0 before the first
 * @others_milli: damped requests of other entries, in 1/1000
 * @busy: running and waiting by the last report, own sends since added
 * @connections: by the last report
 * @trust: 0 to TRUST_FULL
 * @said: running and waiting by the last report
 * @known: requests of this entry that it has to count; 0 judges nothing
 * @sent_ns: last send
 */
struct load_view {
	uint64_t heard_ns;
	uint32_t others_milli;
	uint32_t busy;
	uint32_t connections;
	uint32_t trust;
	uint32_t said;
	uint32_t known;
	uint64_t sent_ns;
};

void view_init(struct load_view *v);
void view_report(struct load_view *v, const struct load_report *r,
		 uint32_t inflight, uint64_t now_ns);
void view_sent(struct load_view *v, uint64_t now_ns);
void view_ended(struct load_view *v, enum outcome outcome, uint32_t slots,
		uint64_t now_ns);
bool view_usable(const struct load_view *v, uint64_t now_ns);
uint32_t view_others_milli(const struct load_view *v, uint64_t now_ns);
bool view_idle(const struct load_view *v, uint32_t slots, uint64_t took_ns,
	       uint64_t now_ns);

#endif
