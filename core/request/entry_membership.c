/*
 * Whether this entry may act: joined, with a majority, with its lease, not just
 * back from a pause.
 */
#include "entry_state.h"

#define VMS_MAX 1024

/*
 * What a process that was paused finds in its sockets is as old as its view:
 * repeats of requests that others have answered since, blocks of transfers
 * that went on without it. Callers repeat what matters; so all of it is
 * dropped until peers have answered again. Noticed on any event, since a loop
 * may hand over datagrams before it runs timers.
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
 * Own nothing before the fleet is known: a majority of the list has answered,
 * and news had a settle time to arrive. An entry that finds no majority joins
 * all the same after a while, so that a data centre cut off goes on serving.
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

/* entry_update_ring() - let the ring follow the membership. */
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
 * Without a majority for as long as it takes to be declared dead, this entry's
 * buckets may have been claimed for by the other side of a partition. When the
 * majority comes over, say because VMs of that side are replaced, it may not
 * answer "never seen" for them.
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
 * A process that was paused and declared dead was replaced in its pairs. It
 * would answer "never seen" about claims made without it, so it no longer
 * counts as one that knows its buckets' history.
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
