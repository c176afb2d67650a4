#include "health.h"

static void set(struct target *t, const struct health_context *c,
		uint8_t health)
{
	uint8_t before = t->health;

	if (before == health)
		return;
	t->health = health;
	c->port->changed(c->port->ctx, t, before);
}

/**
 * health_probe() - send a probe to a target, if none is out
 * @t: target
 * @c: context
 */
void health_probe(struct target *t, const struct health_context *c)
{
	if (t->probing)
		return;
	t->probing = true;
	t->probed_ns = c->now_ns;
	c->port->probe(c->port->ctx, t);
}

static void alive(struct target *t, const struct health_context *c)
{
	t->alive_ns = c->now_ns;
	t->misses = 0;
	t->refused_ns = 0;
	if (t->health >= HEALTH_SILENT)
		t->returned_ns = c->now_ns;
	set(t, c, HEALTH_GOOD);
}

/**
 * health_answered() - a packet showed that a target lives
 * @t: target
 * @c: context
 *
 * Only the target that a packet is meant for answers it. So whoever else was
 * published at its address is not there.
 */
void health_answered(struct target *t, const struct health_context *c)
{
	t->successor_ns = 0;
	alive(t, c);
}

/**
 * health_doubt() - a packet to a target went unanswered
 * @t: target
 * @c: context
 * @since_ns: when that packet went out; a later sign of life answers the doubt
 *
 * Without it each flow of a dead target waits out its client's deadline. Where
 * a later process has the address a connection attempt would be answered by
 * that one, and say nothing.
 */
void health_doubt(struct target *t, const struct health_context *c,
		  uint64_t since_ns)
{
	if (t->health != HEALTH_GOOD || t->alive_ns > since_ns)
		return;
	if (t->successor_ns) {
		set(t, c, HEALTH_DEAD);
		return;
	}
	if (c->now_ns < t->probe_ns || !c->policy->probe)
		return;
	set(t, c, HEALTH_DOUBTED);
	health_probe(t, c);
}

/**
 * health_dead() - a target's process is known to have ended
 * @t: target
 * @c: context
 */
void health_dead(struct target *t, const struct health_context *c)
{
	set(t, c, HEALTH_DEAD);
}

/*
 * A probe went unanswered. That may be this VM's own link, full for a moment:
 * resets of live flows would follow. Another target is asked at the same time
 * as the second try; only while that one answers is @t the one that is silent.
 */
static void missed(struct target *t, const struct health_context *c)
{
	if (t->health >= HEALTH_SILENT) {
		t->probe_ns = c->now_ns + c->policy->look_again_ns;
		return;
	}
	if (t->misses < UINT8_MAX)
		t->misses++;
	if (t->misses >= c->policy->silent_misses &&
	    (c->witnessed_ns >= t->probed_ns || !c->policy->witness) &&
	    t->alive_ns + c->policy->silent_least_ns <= c->now_ns) {
		t->probe_ns = c->now_ns + c->policy->look_again_ns;
		set(t, c, HEALTH_SILENT);
		return;
	}
	health_probe(t, c);
	if (!c->witness(c->witness_ctx, t) &&
	    t->misses >= c->policy->silent_misses_alone)
		set(t, c, HEALTH_SILENT);
}

/*
 * A target that leaves listens no more some moments before it ends, and serves
 * the flows that it has, which a reset would break. So it has to refuse once
 * more, when its end is over.
 */
static bool about_to_end(struct target *t, const struct health_context *c)
{
	if (t->stage != TARGET_LEAVING)
		return false;
	if (!t->refused_ns)
		t->refused_ns = c->now_ns;
	return c->now_ns < t->refused_ns + c->policy->look_again_ns;
}

/**
 * health_probed() - outcome of a connection attempt
 * @t: target
 * @c: context
 * @outcome: what it showed
 */
void health_probed(struct target *t, const struct health_context *c,
		   enum probe_outcome outcome)
{
	t->probing = false;
	switch (outcome) {
	case PROBE_OPEN:
		t->probe_ns = c->now_ns + c->policy->probe_pause_ns;
		if (!t->successor_ns)
			alive(t, c);
		break;
	case PROBE_REFUSED:
		t->probe_ns = c->now_ns + c->policy->look_again_ns;
		if (t->health == HEALTH_DEAD)
			break;
		if (about_to_end(t, c)) {
			set(t, c, HEALTH_GOOD);
			break;
		}
		set(t, c, HEALTH_DEAD);
		c->port->dead(c->port->ctx, t);
		break;
	case PROBE_SILENT:
		missed(t, c);
		break;
	case PROBE_EARLY:
		if (t->health < HEALTH_SILENT)
			health_probe(t, c);
		else
			t->probe_ns = c->now_ns + c->policy->look_again_ns;
		break;
	case PROBE_VOID:
		if (t->health == HEALTH_DOUBTED)
			set(t, c, HEALTH_GOOD);
		break;
	}
}

static bool published(const struct target *t)
{
	return t->stage != TARGET_ABSENT || t->presumed;
}

/**
 * health_tick() - probe a silent or dead target again
 * @t: target
 * @c: context
 */
void health_tick(struct target *t, const struct health_context *c)
{
	if (t->health >= HEALTH_SILENT && published(t) && !t->successor_ns &&
	    c->now_ns >= t->probe_ns)
		health_probe(t, c);
}
