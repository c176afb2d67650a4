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
void entry_check_pause(struct entry *e)
{
	if (e->ticked_ns && e->now_ns > e->ticked_ns + e->conf.member.lease_ns)
		e->stale = true;
}

static uint32_t live_vms(const struct entry *e, uint64_t *vms)
{
	const struct member *all;
	uint32_t n_all = member_all(e->members, &all);
	uint32_t n = 0;

	for (uint32_t i = 0; i < n_all && n < VMS_MAX; i++) {
		if (all[i].vm == e->conf.member.self && e->leaving)
			continue;
		if (all[i].state == MEMBER_ALIVE ||
		    all[i].state == MEMBER_SUSPECT)
			vms[n++] = all[i].vm;
	}
	return n;
}

static void update_balancer_peers(struct entry *e, const uint64_t *vms,
				  uint32_t n)
{
	uint32_t rank = 0;

	for (uint32_t i = 0; i < n; i++)
		rank += vms[i] < e->conf.member.self;
	balance_peers(e->balancer, n ? n : 1, rank);
}

/*
 * An entry owns no buckets before it knows the others: a majority of the roster
 * has answered, and gossip had a settle time to arrive. Without a majority it
 * joins nevertheless after JOIN_WAIT_NS, so that a data centre that is cut off
 * keeps serving.
 */
static void join_if_ready(struct entry *e)
{
	bool known = member_majority(e->members) &&
		     member_lease_valid(e->members, e->now_ns);

	if (e->joined || e->leaving || !e->roster_known)
		return;
	if (!known)
		e->join_deadline_ns = DEADLINE_NEVER;
	else if (e->join_deadline_ns == DEADLINE_NEVER)
		e->join_deadline_ns = e->now_ns + e->conf.settle_ns;
	if (e->now_ns < e->join_deadline_ns && e->now_ns < e->join_latest_ns)
		return;
	e->joined = true;
	e->join_deadline_ns = DEADLINE_NEVER;
	e->join_latest_ns = DEADLINE_NEVER;
	member_join(e->members, e->now_ns);
}

/*
 * entry_update_ring() - join if it is time to, and update the ring to the
 * membership view.
 */
void entry_update_ring(struct entry *e)
{
	uint64_t view;
	uint64_t vms[VMS_MAX];
	uint32_t n;

	join_if_ready(e);
	if (!e->joined)
		return;
	view = member_view(e->members);
	if (view == e->view && ring_next_ns(e->ring) > e->now_ns)
		return;
	n = live_vms(e, vms);
	if (view != e->view)
		update_balancer_peers(e, vms, n);
	e->view = view;
	ring_update(e->ring, vms, n, e->now_ns);
}

/*
 * If this entry had no majority for as long as it takes to be declared dead,
 * the other side of a partition may have claimed requests of its buckets. When
 * it has a majority again, for example because VMs of the other side are
 * replaced, its record of those buckets is not complete.
 */
static void check_majority(struct entry *e)
{
	if (!member_majority(e->members)) {
		if (e->minority_since_ns == DEADLINE_NEVER)
			e->minority_since_ns = e->now_ns;
		return;
	}
	if (e->minority_since_ns != DEADLINE_NEVER &&
	    e->now_ns >=
		    e->minority_since_ns + e->conf.member.suspect_timeout_ns)
		ring_uncover(e->ring, e->now_ns);
	e->minority_since_ns = DEADLINE_NEVER;
}

/*
 * An entry that was paused and declared dead was replaced in its pairs. Claims
 * may have been made without it, so it no longer counts as one that knows its
 * buckets' complete history.
 */
void entry_check_lease(struct entry *e)
{
	bool valid = member_lease_valid(e->members, e->now_ns);
	uint64_t deaths = member_deaths(e->members);

	if (!valid && !e->lease_lapsed)
		e->counters.lease_lapses++;
	if (valid)
		e->stale = false;
	e->lease_lapsed = !valid;
	if (deaths != e->deaths)
		ring_uncover(e->ring, e->now_ns);
	e->deaths = deaths;
	check_majority(e);
}
