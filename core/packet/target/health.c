#include "health.h"

#include "track_record.h"

static void set_health(struct target *t, const struct health_context *c,
		       uint8_t health)
{
	uint8_t before = t->health;

	if (before == health)
		return;
	t->health = health;
	if (health >= HEALTH_SILENT && before < HEALTH_SILENT)
		track_record_avoid(t, c->now_ns);
	c->port->changed(c->port->ctx, t, before);
}

static void record_inconclusive(struct target *t,
				const struct health_context *c)
{
	t->probe_pending = false;
	if (t->health == HEALTH_SUSPECTED)
		set_health(t, c, HEALTH_GOOD);
}

/**
 * health_send_probe() - probe a target, unless a probe is pending
 * @t: target
 * @c: context
 */
void health_send_probe(struct target *t, const struct health_context *c)
{
	if (t->probe_pending)
		return;
	t->probe_pending = true;
	t->probe_sent_ns = c->now_ns;
	if (c->port->probe(c->port->ctx, t))
		record_inconclusive(t, c);
}

static void set_alive(struct target *t, const struct health_context *c)
{
	t->last_alive_ns = c->now_ns;
	t->probe_misses = 0;
	t->leaving_refused_ns = 0;
	if (t->health >= HEALTH_SILENT) {
		t->recovered_ns = c->now_ns;
		track_record_accepted(t, c->now_ns);
	}
	set_health(t, c, HEALTH_GOOD);
}

/**
 * health_record_answer() - record that a packet proved a target alive
 * @t: target
 * @c: context
 *
 * A packet is answered only by the target that it was sent to, so a later
 * process that was published at the same address is not running there.
 */
void health_record_answer(struct target *t, const struct health_context *c)
{
	t->successor_ns = 0;
	set_alive(t, c);
	track_record_answered(t);
}

/**
 * health_suspect() - record that a packet to a target was not answered
 * @t: target
 * @c: context
 * @since_ns: when the packet was sent; ignored if the target has been alive
 *	since
 *
 * Probes the target. Otherwise every flow of a dead target would wait until its
 * client's deadline. When a later process was published at the address, the
 * target counts as dead without a probe: the later process would accept the
 * connection.
 */
void health_suspect(struct target *t, const struct health_context *c,
		    uint64_t since_ns)
{
	if (t->health != HEALTH_GOOD || t->last_alive_ns > since_ns)
		return;
	if (t->successor_ns) {
		set_health(t, c, HEALTH_DEAD);
		return;
	}
	if (c->now_ns < t->next_probe_ns || !c->policy->probe)
		return;
	set_health(t, c, HEALTH_SUSPECTED);
	health_send_probe(t, c);
}

/**
 * health_mark_dead() - record that the process of a target has ended
 * @t: target
 * @c: context
 *
 * Does not notify peers.
 */
void health_mark_dead(struct target *t, const struct health_context *c)
{
	set_health(t, c, HEALTH_DEAD);
}

/*
 * Handles a probe without an answer. It may have been lost on this VM's own
 * link, full for a moment, and then a silent target would mean resets of live
 * flows. So the second attempt also probes another target, the witness, and @t
 * is marked silent only when that one answers, or after more misses when there
 * is no witness.
 */
static void record_miss(struct target *t, const struct health_context *c)
{
	if (t->health >= HEALTH_SILENT) {
		t->next_probe_ns = c->now_ns + c->policy->look_again_ns;
		return;
	}
	if (t->probe_misses < UINT8_MAX)
		t->probe_misses++;
	if (t->probe_misses >= c->policy->silent_misses &&
	    (c->witness_answered_ns >= t->probe_sent_ns ||
	     !c->policy->witness) &&
	    t->last_alive_ns + c->policy->silent_least_ns <= c->now_ns) {
		t->next_probe_ns = c->now_ns + c->policy->look_again_ns;
		set_health(t, c, HEALTH_SILENT);
		return;
	}
	health_send_probe(t, c);
	if (!c->probe_witness(c->witness_ctx, t) &&
	    t->probe_misses >= c->policy->silent_misses_alone)
		set_health(t, c, HEALTH_SILENT);
}

/*
 * Whether a refused connection may come from a target that still runs. A
 * leaving target closes its listening socket shortly before it ends and serves
 * the flows it has until then; a reset would break them. So it counts as dead
 * only when it refuses again after policy's look_again_ns.
 */
static bool may_still_serve(struct target *t, const struct health_context *c)
{
	if (t->stage != TARGET_LEAVING)
		return false;
	if (!t->leaving_refused_ns)
		t->leaving_refused_ns = c->now_ns;
	return c->now_ns < t->leaving_refused_ns + c->policy->look_again_ns;
}

/**
 * health_record_probe() - apply the outcome of a connection attempt
 * @t: target
 * @c: context
 * @outcome: result of the attempt
 *
 * May send the next probe.
 */
void health_record_probe(struct target *t, const struct health_context *c,
			 enum probe_outcome outcome)
{
	t->probe_pending = false;
	switch (outcome) {
	case PROBE_ACCEPTED:
		t->next_probe_ns = c->now_ns + c->policy->probe_pause_ns;
		if (!t->successor_ns)
			set_alive(t, c);
		break;
	case PROBE_REFUSED:
		t->next_probe_ns = c->now_ns + c->policy->look_again_ns;
		if (t->health == HEALTH_DEAD)
			break;
		if (may_still_serve(t, c)) {
			set_health(t, c, HEALTH_GOOD);
			break;
		}
		set_health(t, c, HEALTH_DEAD);
		c->port->dead(c->port->ctx, t);
		break;
	case PROBE_SILENT:
		record_miss(t, c);
		break;
	case PROBE_WAIT_TOO_SHORT:
		if (t->health < HEALTH_SILENT)
			health_send_probe(t, c);
		else
			t->next_probe_ns = c->now_ns + c->policy->look_again_ns;
		break;
	case PROBE_INCONCLUSIVE:
		record_inconclusive(t, c);
		break;
	}
}

static bool is_published(const struct target *t)
{
	return t->stage != TARGET_ABSENT || t->presumed_alive;
}

/**
 * health_tick() - probe a silent or dead target again when due
 * @t: target
 * @c: context
 */
void health_tick(struct target *t, const struct health_context *c)
{
	if (t->health >= HEALTH_SILENT && is_published(t) && !t->successor_ns &&
	    c->now_ns >= t->next_probe_ns)
		health_send_probe(t, c);
}
