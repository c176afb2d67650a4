/*
 * Log lines about decisions, with a rate limit (decisions_per_s). A line names
 * the addresses and ports of the flow, so that it can be matched with the logs
 * of the client and of the target.
 */
#include "daemon.h"

#include "log.h"

static const char *const health_names[] = { "good", "doubted", "silent",
					    "dead" };

/* Lines beyond the limit are counted; the metrics count each verdict anyway. */
static bool take_log_token(struct packet_daemon *d)
{
	if (d->log_tokens >= 1) {
		d->log_tokens -= 1;
		return true;
	}
	d->counters.decisions_not_logged++;
	return false;
}

/* Age of the documents: time since the platform last answered any known
 * entry. */
static uint64_t platform_contact_age_ns(const struct packet_daemon *d)
{
	uint64_t now_ns = uv_hrtime();

	return now_ns - peer_set_last_contact_ns(d->node->peers);
}

static void log_decision(struct packet_daemon *d, const char *step,
			 const struct flow_key *flow, const char *reason,
			 const struct target *target)
{
	const struct route_table *table =
		directory_route_table(d->node->directory);
	char caller[32], vip[32], to[32];

	log_line(LOG_INFO, step,
		 addr_text(flow->caller, caller, sizeof(caller)),
		 "vip %s %s target %llx at %s health %s configuration %llu "
		 "revision %llu contact %llu ms ago",
		 addr_text(flow->vip, vip, sizeof(vip)), reason,
		 target ? (unsigned long long)target->advertised.id : 0ULL,
		 target ? addr_text(target->advertised.addr, to, sizeof(to))
			: "none",
		 target ? health_names[target->health] : "none",
		 table ? (unsigned long long)table->version : 0ULL,
		 (unsigned long long)documents_synced(d->node->documents)
			 .revision,
		 (unsigned long long)(platform_contact_age_ns(d) / NS_PER_MS));
}

/**
 * decision_log_packet() - log the verdict on a packet
 * @d: process
 * @packet: packet
 * @verdict: verdict
 *
 * Packets of established flows (PATH_pinned) are counted but not logged.
 */
void decision_log_packet(struct packet_daemon *d, const struct packet *packet,
			 const struct path_verdict *verdict)
{
	static const char *const steps[] = { "flow.drop", "flow.open",
					     "flow.reset", "flow.wait" };

	if (verdict->reason == PATH_pinned || !take_log_token(d))
		return;
	log_decision(d, steps[verdict->action], &packet->flow,
		     path_reason_names[verdict->reason], verdict->target);
}

/**
 * decision_log_health() - log a change of a target's health
 * @ctx: struct packet_daemon
 * @target: target, with its new health
 * @before: its previous health, enum target_health
 */
void decision_log_health(void *ctx, const struct target *target, uint8_t before)
{
	struct packet_daemon *d = ctx;
	uint64_t now_ns = uv_hrtime();
	char addr[32];

	if (target->health <= HEALTH_SUSPECTED && before <= HEALTH_SUSPECTED &&
	    !take_log_token(d))
		return;
	log_line(LOG_INFO, "target.health",
		 addr_text(target->advertised.addr, addr, sizeof(addr)),
		 "target %llx %s, was %s, last sign of life %lld ms ago, "
		 "%u flows",
		 (unsigned long long)target->advertised.id,
		 health_names[target->health], health_names[before],
		 target->last_alive_ns
			 ? (long long)((now_ns - target->last_alive_ns) /
				       NS_PER_MS)
			 : -1LL,
		 target->flows);
}

/**
 * decision_log_reset() - log the reset of a flow whose target is gone, or of an
 *	opening that was held
 * @d: process
 * @flow: flow; without a target when it was held
 */
void decision_log_reset(struct packet_daemon *d, const struct flow_state *flow)
{
	const char *reason = flow->target ? "swept" : "held_too_long";

	if (take_log_token(d))
		log_decision(d, "flow.reset", &flow->key, reason, flow->target);
}

/**
 * decision_log_resend() - log that the packet kept of a flow is sent again
 * @d: process
 * @flow: flow, with the target that gets the packet
 * @reason: why, enum path_reason
 */
void decision_log_resend(struct packet_daemon *d, const struct flow_state *flow,
			 uint8_t reason)
{
	if (take_log_token(d))
		log_decision(d, "flow.again", &flow->key,
			     path_reason_names[reason], flow->target);
}
