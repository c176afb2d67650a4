#include "health.h"

/* After a probe that found a target alive; a doubt in between is answered by
 * that probe. At 14 targets and 8 entries at most 0.4 probes a request. */
#define PROBE_PAUSE_NS (250 * NS_PER_MS)
/* A silent target may only be paused or cut off: look again this often. */
#define SILENT_PAUSE_NS (500 * NS_PER_MS)
/* One lost packet must not condemn a target with all its flows. */
#define SILENT_MISSES 2

static void set(struct target *t, const struct path_port *port, uint8_t health)
{
	uint8_t before = t->health;

	if (before == health || before == HEALTH_DEAD)
		return;
	t->health = health;
	port->health(port->ctx, t, before);
}

static void probe(struct target *t, const struct path_port *port)
{
	if (t->probing)
		return;
	t->probing = true;
	port->probe(port->ctx, t);
}

/**
 * health_alive() - a packet showed that a target lives
 * @t: target
 * @port: port of the path
 * @now_ns: time
 */
void health_alive(struct target *t, const struct path_port *port,
		  uint64_t now_ns)
{
	t->alive_ns = now_ns;
	t->misses = 0;
	set(t, port, HEALTH_GOOD);
}

/**
 * health_doubt() - a packet to a target went unanswered
 * @t: target
 * @port: port of the path
 * @since_ns: when that packet went out; a later sign of life answers the doubt
 * @now_ns: time
 *
 * Without it each flow of a dead target waits out its client's deadline.
 */
void health_doubt(struct target *t, const struct path_port *port,
		  uint64_t since_ns, uint64_t now_ns)
{
	if (t->health != HEALTH_GOOD || t->alive_ns > since_ns ||
	    now_ns < t->probe_ns)
		return;
	set(t, port, HEALTH_DOUBTED);
	probe(t, port);
}

/**
 * health_dead() - a target's process is known to have ended
 * @t: target
 * @port: port of the path
 */
void health_dead(struct target *t, const struct path_port *port)
{
	set(t, port, HEALTH_DEAD);
}

static void missed(struct target *t, const struct path_port *port,
		   uint64_t now_ns)
{
	if (t->misses < SILENT_MISSES)
		t->misses++;
	if (t->misses < SILENT_MISSES) {
		probe(t, port);
		return;
	}
	t->probe_ns = now_ns + SILENT_PAUSE_NS;
	set(t, port, HEALTH_SILENT);
}

/**
 * health_probed() - outcome of a connection attempt
 * @t: target
 * @port: port of the path
 * @outcome: what it showed
 * @now_ns: time
 */
void health_probed(struct target *t, const struct path_port *port,
		   enum probe_outcome outcome, uint64_t now_ns)
{
	t->probing = false;
	switch (outcome) {
	case PROBE_OPEN:
		t->probe_ns = now_ns + PROBE_PAUSE_NS;
		health_alive(t, port, now_ns);
		break;
	case PROBE_REFUSED:
		if (t->health == HEALTH_DEAD)
			break;
		set(t, port, HEALTH_DEAD);
		port->dead(port->ctx, t);
		break;
	case PROBE_SILENT:
		missed(t, port, now_ns);
		break;
	case PROBE_VOID:
		if (t->health == HEALTH_DOUBTED)
			set(t, port, HEALTH_GOOD);
		break;
	}
}

/**
 * health_tick() - probe a silent target again
 * @t: target
 * @port: port of the path
 * @now_ns: time
 */
void health_tick(struct target *t, const struct path_port *port,
		 uint64_t now_ns)
{
	if (t->health == HEALTH_SILENT && t->stage != TARGET_ABSENT &&
	    now_ns >= t->probe_ns)
		probe(t, port);
}
