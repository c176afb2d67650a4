/*
 * This entry's part in the membership: whether it has joined, has a majority,
 * holds its lease, and has not just resumed after a pause.
 */
#include "entry_state.h"

#define VMS_MAX 1024

/*
 * After a pause the datagrams in the sockets are as old as the process's view:
 * retransmissions of requests that others have answered since, blocks of
 * transfers that continued elsewhere. Callers retransmit what is still needed,
 * so all of them are dropped until peers have answered again. Checked on every
 * event, since an event loop may deliver datagrams before it runs timers.
 */
void entry_check_pause(struct entry *entry)
{
	if (entry->ticked_ns &&
	    entry->now_ns > entry->ticked_ns + entry->conf.member.lease_ns)
		entry->stale = true;
}

static uint32_t live_vms(const struct entry *entry, uint64_t *vms)
{
	const struct member *all;
	uint32_t n_all = member_all(entry->members, &all);
	uint32_t n = 0;

	for (uint32_t i = 0; i < n_all && n < VMS_MAX; i++) {
		if (all[i].vm == entry->conf.member.self && entry->leaving)
			continue;
		if (all[i].state == MEMBER_ALIVE ||
		    all[i].state == MEMBER_SUSPECT)
			vms[n++] = all[i].vm;
	}
	return n;
}

static void update_balancer_peers(struct entry *entry, const uint64_t *vms,
				  uint32_t n)
{
	uint32_t rank = 0;

	for (uint32_t i = 0; i < n; i++)
		rank += vms[i] < entry->conf.member.self;
	balance_set_entries(entry->balancer, n ? n : 1, rank);
}

/*
 * An entry owns no buckets before it knows the others: a majority of the roster
 * has answered, and gossip had a settle time to arrive. Without a majority it
 * joins nevertheless after JOIN_WAIT_NS, so that an entry that is partitioned
 * from all others keeps serving.
 */
static void join_if_ready(struct entry *entry)
{
	bool known = member_has_majority(entry->members) &&
		     member_lease_valid(entry->members, entry->now_ns);

	if (entry->joined || entry->leaving || !entry->roster_known)
		return;
	if (!known)
		entry->join_deadline_ns = DEADLINE_NEVER;
	else if (entry->join_deadline_ns == DEADLINE_NEVER)
		entry->join_deadline_ns = entry->now_ns + entry->conf.settle_ns;
	if (entry->now_ns < entry->join_deadline_ns &&
	    entry->now_ns < entry->join_latest_ns)
		return;
	entry->joined = true;
	entry->join_deadline_ns = DEADLINE_NEVER;
	entry->join_latest_ns = DEADLINE_NEVER;
	member_join(entry->members, entry->now_ns);
}

/*
 * entry_update_ring() - join if it is time to, and update the ring to the
 * membership view.
 */
void entry_update_ring(struct entry *entry)
{
	uint64_t view;
	uint64_t vms[VMS_MAX];
	uint32_t n;

	join_if_ready(entry);
	if (!entry->joined)
		return;
	view = member_view_hash(entry->members);
	if (view == entry->view && ring_next_ns(entry->ring) > entry->now_ns)
		return;
	n = live_vms(entry, vms);
	if (view != entry->view)
		update_balancer_peers(entry, vms, n);
	entry->view = view;
	ring_update(entry->ring, vms, n, entry->now_ns);
}

/*
 * If this entry had no majority for as long as it takes to be declared dead,
 * the other side of a partition may have claimed requests of its buckets. When
 * it has a majority again, for example because VMs of the other side are
 * replaced, its record of those buckets is not complete.
 */
static void check_majority(struct entry *entry)
{
	if (!member_has_majority(entry->members)) {
		if (entry->minority_since_ns == DEADLINE_NEVER)
			entry->minority_since_ns = entry->now_ns;
		return;
	}
	if (entry->minority_since_ns != DEADLINE_NEVER &&
	    entry->now_ns >= entry->minority_since_ns +
				     entry->conf.member.suspect_timeout_ns)
		ring_restart_cover_time(entry->ring, entry->now_ns);
	entry->minority_since_ns = DEADLINE_NEVER;
}

/*
 * An entry that was paused and declared dead was replaced in its pairs. Claims
 * may have been made without it, so it no longer counts as one that knows its
 * buckets' complete history.
 */
void entry_check_lease(struct entry *entry)
{
	bool valid = member_lease_valid(entry->members, entry->now_ns);
	uint64_t deaths = member_self_deaths(entry->members);

	if (!valid && !entry->lease_lapsed)
		entry->counters.lease_lapses++;
	if (valid)
		entry->stale = false;
	entry->lease_lapsed = !valid;
	if (deaths != entry->deaths)
		ring_restart_cover_time(entry->ring, entry->now_ns);
	entry->deaths = deaths;
	check_majority(entry);
}
