/*
 * Test bed for the decisions on packets: a directory and a struct path whose
 * calls are recorded, with a clock that the test sets.
 */
#ifndef CB_TEST_PACKET_BED_H
#define CB_TEST_PACKET_BED_H

#include "path.h"

#define MS NS_PER_MS
#define ZONE "garda"
#define OTHER_ZONE "como"
#define SERVICE "forecast"
#define OTHER_SERVICE "readings"
#define VIP ADDR(0xc6120001, 443)
#define REPORT_VIP ADDR(0xc6120001, 8080)
#define OTHER_VIP ADDR(0xc6120002, 443)
#define NO_VIP ADDR(0xc6120009, 9)
#define BED_EVENTS_MAX 64

/* A connection attempt; @done when its outcome was passed to the path. */
struct bed_probe {
	struct incarnation who;
	uint64_t since_ns;
	bool done;
};

/* A packet forwarded from the queue: its client and its first byte. */
struct bed_sent {
	uint64_t caller;
	uint8_t first;
};

/*
 * The arrays record the last BED_EVENTS_MAX calls of each kind: probes, ids of
 * targets that kept packets were resent to, packets from the queue, clients of
 * flows that were reset, ids of targets found dead, ids of ejected targets.
 * @refusals is the last report of refusals, @n_refusals the number of reports.
 * @change is the result of the last publication, @probe_err what the port
 * returns for a probe.
 */
struct bed {
	struct directory *directory;
	struct path *path;
	uint64_t now_ns;
	struct bed_probe probes[BED_EVENTS_MAX];
	uint32_t n_probes;
	int probe_err;
	uint64_t resent_to[BED_EVENTS_MAX];
	uint32_t n_resent;
	struct bed_sent sent[BED_EVENTS_MAX];
	uint32_t n_sent;
	uint64_t resets[BED_EVENTS_MAX];
	uint32_t n_resets;
	uint64_t dead[BED_EVENTS_MAX];
	uint32_t n_dead;
	uint64_t ejected[BED_EVENTS_MAX];
	uint32_t n_ejected;
	struct path_refusals refusals;
	uint32_t n_refusals;
	enum target_change change;
};

void bed_open(struct bed *b);
void bed_open_with(struct bed *b, const struct policy *policy);
void bed_close(struct bed *b);
void bed_set_route_times(struct bed *b, uint32_t objective_ms,
			 uint32_t timeout_ms);
struct route_table *bed_table(struct bed *b, uint64_t version);
struct target *bed_target(struct bed *b, uint64_t id, const char *service,
			  const char *zone);
struct target *bed_publish(struct bed *b,
			   const struct target_advertisement *news);
void bed_remove_entry(struct bed *b, uint64_t id, uint64_t platform_failed_ns);
struct path_verdict bed_syn(struct bed *b, uint64_t caller, uint64_t vip,
			    uint32_t copies);
struct path_verdict bed_data(struct bed *b, uint64_t caller, uint64_t vip,
			     uint32_t cookie, uint32_t seq, uint32_t ack,
			     uint16_t size_bytes);
void bed_fin(struct bed *b, uint64_t caller, uint64_t vip, uint32_t cookie,
	     uint32_t seq, uint32_t ack);
struct path_verdict bed_open_flow(struct bed *b, uint64_t caller, uint64_t vip);
void bed_advance(struct bed *b, uint64_t ns);
void bed_end_probes(struct bed *b, uint64_t id, enum probe_outcome outcome);
void bed_end_first_probe_late(struct bed *b, uint64_t id,
			      enum probe_outcome outcome);
uint32_t bed_pending_probes(const struct bed *b);

#endif
