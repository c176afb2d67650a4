/*
 * One line for each decision that touches a flow, bounded a second: the flow's
 * four addresses and ports are what both ends and this log have in common.
 */
#include "daemon.h"

#include "log.h"

static const char *const health_names[] = { "good", "doubted", "silent",
					    "dead" };

/* Counted when there is no room: the metrics still have every reason. */
static bool allowed(struct packet_daemon *d)
{
	if (d->log_tokens >= 1) {
		d->log_tokens -= 1;
		return true;
	}
	d->counters.decisions_not_logged++;
	return false;
}

/* How old the view is: time since the platform answered anybody heard of. */
static uint64_t contact_age_ns(const struct packet_daemon *d)
{
	uint64_t now_ns = uv_hrtime();

	return now_ns - peer_set_last_contact_ns(d->node->peers);
}

static void line(struct packet_daemon *d, const char *step,
		 const struct flow_key *flow, const char *reason,
		 const struct target *t)
{
	const struct route_table *table =
		directory_route_table(d->node->directory);
	char caller[32], vip[32], to[32];

	log_line(LOG_INFO, step,
		 addr_text(flow->caller, caller, sizeof(caller)),
		 "vip %s %s target %llx at %s health %s configuration %llu "
		 "revision %llu contact %llu ms ago",
		 addr_text(flow->vip, vip, sizeof(vip)), reason,
		 t ? (unsigned long long)t->advertised.id : 0ULL,
		 t ? addr_text(t->advertised.addr, to, sizeof(to)) : "none",
		 t ? health_names[t->health] : "none",
		 table ? (unsigned long long)table->version : 0ULL,
		 (unsigned long long)documents_synced(d->node->documents)
			 .revision,
		 (unsigned long long)(contact_age_ns(d) / NS_PER_MS));
}

/**
 * decisions_packet() - log what became of a packet
 * @d: process
 * @k: packet
 * @v: verdict
 *
 * Packets of settled flows are only counted.
 */
void decisions_packet(struct packet_daemon *d, const struct packet *k,
		      const struct path_verdict *v)
{
	static const char *const steps[] = { "flow.drop", "flow.open",
					     "flow.reset", "flow.wait" };

	if (v->reason == PATH_pinned || !allowed(d))
		return;
	line(d, steps[v->action], &k->flow, path_reason_names[v->reason],
	     v->target);
}

/**
 * decisions_health() - log a change of a target's health
 * @ctx: process
 * @t: target
 * @before: its health before
 */
void decisions_health(void *ctx, const struct target *t, uint8_t before)
{
	struct packet_daemon *d = ctx;
	uint64_t now_ns = uv_hrtime();
	char addr[32];

	if (t->health <= HEALTH_SUSPECTED && before <= HEALTH_SUSPECTED &&
	    !allowed(d))
		return;
	log_line(LOG_INFO, "target.health",
		 addr_text(t->advertised.addr, addr, sizeof(addr)),
		 "target %llx %s, was %s, last sign of life %lld ms ago, "
		 "%u flows",
		 (unsigned long long)t->advertised.id, health_names[t->health],
		 health_names[before],
		 t->last_alive_ns
			 ? (long long)((now_ns - t->last_alive_ns) / NS_PER_MS)
			 : -1LL,
		 t->flows);
}

/**
 * decisions_reset() - log the end of a flow whose target is gone
 * @d: process
 * @f: flow
 */
void decisions_reset(struct packet_daemon *d, const struct flow_state *f)
{
	if (allowed(d))
		line(d, "flow.reset", &f->key, "swept", f->target);
}

/**
 * decisions_again() - log that a kept packet is sent
 * @d: process
 * @f: flow
 * @reason: enum path_reason
 */
void decisions_again(struct packet_daemon *d, const struct flow_state *f,
		     uint8_t reason)
{
	if (allowed(d))
		line(d, "flow.again", &f->key, path_reason_names[reason],
		     f->target);
}
