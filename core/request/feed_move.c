/*
 * Moves feeds away from draining targets while these still serve them. A
 * draining target eventually stops; a feed that stayed until then would deliver
 * nothing until its silence is detected.
 */
#include "entry_state.h"

/*
 * Covers 2^18 slots in 0.7 s. A change that comes during a sweep waits for its
 * end, and the draining target must not be gone by then.
 */
#define SWEEP_BUDGET 8192
#define SWEEP_PACE_NS (20 * NS_PER_MS)
#define SWEEP_AGAIN_NS (2 * NS_PER_S)

/* target_is_leaving() - whether a target drains or was withdrawn. */
bool target_is_leaving(const struct entry *entry, uint64_t vip, uint64_t target)
{
	const struct service_conf *s = service_find(entry, vip);

	for (uint32_t i = 0; s && i < s->n_targets; i++) {
		if (s->targets[i].addr == target)
			return s->targets[i].state == TARGET_DRAINING;
	}
	return true;
}

static uint64_t digest_of_service(const struct service_conf *s)
{
	uint64_t digest = 0;

	for (uint32_t i = 0; i < s->n_targets; i++) {
		if (s->targets[i].state == TARGET_UP)
			digest ^= hash_u64(s->targets[i].addr, s->vip);
	}
	return digest;
}

/**
 * moves_check_config() - schedule a sweep if the targets in service changed
 * @entry: entry, with its new configuration in force
 */
void moves_check_config(struct entry *entry)
{
	uint64_t digest = 0;

	for (uint32_t i = 0; i < entry->n_services; i++)
		digest ^= digest_of_service(entry->service_list[i]);
	if (digest != entry->targets_up_digest)
		entry->sweep_deadline_ns = entry->now_ns;
	entry->targets_up_digest = digest;
}

/* moves_schedule() - schedule a sweep for a feed on a draining target. */
void moves_schedule(struct entry *entry)
{
	if (entry->sweep_deadline_ns == DEADLINE_NEVER)
		entry->sweep_deadline_ns = entry->now_ns + SWEEP_AGAIN_NS;
}

static bool needs_move(const struct entry *entry, const struct feed *feed)
{
	return feed->state == FEED_OPEN && feed->request == SLOT_NONE &&
	       feed->size_bytes &&
	       target_is_leaving(entry, feed->key.vip, feed->target);
}

static void start_sweep_if_due(struct entry *entry)
{
	if (entry->sweeping || entry->now_ns < entry->sweep_deadline_ns)
		return;
	entry->sweep_deadline_ns = DEADLINE_NEVER;
	entry->sweeping = entry->feed_slots_used > 0;
	entry->sweep_next = 0;
}

/**
 * moves_tick() - move a limited number of feeds off draining targets
 * @entry: state of this entry
 *
 * The old target serves a feed until the new one has accepted it.
 */
void moves_tick(struct entry *entry)
{
	uint32_t budget = SWEEP_BUDGET;

	start_sweep_if_due(entry);
	while (entry->sweeping && budget-- && emit_has_capacity(entry)) {
		struct feed *feed = &entry->feeds[entry->sweep_next];

		if (entry->n_feeds_renewing >= RENEWING_MAX)
			return;
		if (needs_move(entry, feed))
			feed_renew(entry, feed, feed->target);
		entry->sweeping = ++entry->sweep_next < entry->feed_slots_used;
	}
}

uint64_t moves_next_ns(const struct entry *entry)
{
	return entry->sweeping ? entry->now_ns + SWEEP_PACE_NS
			       : entry->sweep_deadline_ns;
}
