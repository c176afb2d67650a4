/* Array of the members, sorted by address, and totals over it. */
#include "member_impl.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>

#define VIEW_SEED 0x76696577ULL

static uint32_t lower_bound(const struct membership *m, uint64_t vm)
{
	uint32_t low = 0, high = m->n, mid;

	while (low < high) {
		mid = (low + high) / 2;
		if (m->members[mid].vm < vm)
			low = mid + 1;
		else
			high = mid;
	}
	return low;
}

/**
 * member_find_index() - find the index of a member
 * @m: membership
 * @vm: address of the member
 *
 * Return: index into @m->members, or -ENOENT.
 */
int32_t member_find_index(const struct membership *m, uint64_t vm)
{
	uint32_t i = lower_bound(m, vm);

	if (i == m->n || m->members[i].vm != vm)
		return -ENOENT;
	return i;
}

/**
 * member_find_or_insert() - find a member, or add it as dead and never heard
 * @m: membership
 * @vm: address of the member
 *
 * Return: index, valid until the next insertion or removal; -ENOSPC.
 */
int32_t member_find_or_insert(struct membership *m, uint64_t vm)
{
	uint32_t i = lower_bound(m, vm);
	uint32_t after = m->n - i;

	if (i < m->n && m->members[i].vm == vm)
		return i;
	if (m->n == m->cap)
		return -ENOSPC;
	memmove(&m->members[i + 1], &m->members[i],
		after * sizeof(*m->members));
	memmove(&m->priv[i + 1], &m->priv[i], after * sizeof(*m->priv));
	m->members[i] = (struct member){ .vm = vm, .state = MEMBER_DEAD };
	m->priv[i] = (struct member_priv){ 0 };
	m->n++;
	return i;
}

/**
 * member_remove() - remove a member
 * @m: membership
 * @i: index of the member
 */
void member_remove(struct membership *m, uint32_t i)
{
	uint32_t after = m->n - i - 1;

	memmove(&m->members[i], &m->members[i + 1],
		after * sizeof(*m->members));
	memmove(&m->priv[i], &m->priv[i + 1], after * sizeof(*m->priv));
	m->n--;
}

/**
 * member_is_live() - whether a member may own buckets
 * @e: member
 *
 * Return: true when it is alive or suspect.
 */
bool member_is_live(const struct member *e)
{
	return e->state == MEMBER_ALIVE || e->state == MEMBER_SUSPECT;
}

/**
 * member_may_return() - whether a member is dead but still to be probed
 * @m: membership
 * @i: index of the member
 *
 * Return: true when it is dead and either listed or did not leave.
 */
bool member_may_return(const struct membership *m, uint32_t i)
{
	if (m->members[i].state != MEMBER_DEAD)
		return false;
	return m->members[i].listed || !m->priv[i].has_left;
}

/*
 * Majority: more than half of the listed members that have not left are alive,
 * or exactly half with the lowest address among them, so that one of two halves
 * can act. Members that are not listed do not count: during a partition both
 * sides could add new ones, and each would reach a majority. Suspects do not
 * count either: when the first member of the other side is declared dead and
 * its buckets are taken over, the rest of that side is still suspect, so both
 * halves would assume a majority and run the same request.
 */
static bool count_majority(const struct membership *m)
{
	uint32_t i, electors = 0, votes = 0;
	bool lowest_votes = false;

	for (i = 0; i < m->n; i++) {
		if (!m->members[i].listed || m->priv[i].has_left)
			continue;
		if (!electors)
			lowest_votes = m->members[i].state == MEMBER_ALIVE;
		electors++;
		votes += m->members[i].state == MEMBER_ALIVE;
	}
	if (!electors)
		return true;
	return 2 * votes > electors || (2 * votes == electors && lowest_votes);
}

/**
 * member_update_totals() - recompute the totals after a change of members
 * @m: membership
 */
void member_update_totals(struct membership *m)
{
	uint32_t i;

	m->view = 0;
	m->n_live = 0;
	m->n_may_return = 0;
	for (i = 0; i < m->n; i++) {
		m->n_may_return += member_may_return(m, i);
		if (!member_is_live(&m->members[i]))
			continue;
		m->view ^= hash_u64(m->members[i].vm, VIEW_SEED);
		m->n_live += m->members[i].vm != m->conf.self;
	}
	m->majority = count_majority(m);
	for (i = 0; i < m->n && m->majority; i++)
		m->priv[i].dead_under_majority |=
			m->members[i].state == MEMBER_DEAD;
}

/**
 * member_random_live() - select a random live member other than this entry
 * @m: membership
 *
 * Return: address, or ADDR_NONE when there is none.
 */
uint64_t member_random_live(struct membership *m)
{
	uint32_t i, k, start = rng_next(&m->rng) % m->n;

	for (k = 0; k < m->n; k++) {
		i = (start + k) % m->n;
		if (m->members[i].vm != m->conf.self &&
		    member_is_live(&m->members[i]))
			return m->members[i].vm;
	}
	return ADDR_NONE;
}

static int grow_arrays(struct membership *m, uint32_t cap)
{
	struct member *all;
	struct member_priv *priv;
	uint64_t *order;

	if (cap <= m->cap)
		return 0;
	all = realloc(m->members, cap * sizeof(*all));
	if (!all)
		return -ENOMEM;
	m->members = all;
	priv = realloc(m->priv, cap * sizeof(*priv));
	if (!priv)
		return -ENOMEM;
	m->priv = priv;
	order = realloc(m->probe_order, cap * sizeof(*order));
	if (!order)
		return -ENOMEM;
	m->probe_order = order;
	m->cap = cap;
	return 0;
}

/**
 * member_set_roster() - set the platform's list, which lags and may be stale
 * @m: membership
 * @vms: addresses of the VMs that are listed as live, in any order
 * @n: their number; when memory is short, part of the list is used
 * @now_ns: current time
 *
 * A listed VM is probed, and owns no buckets before it was heard. A VM that is
 * no longer listed stays a member while it answers, since its messages are
 * newer than the list.
 */
void member_set_roster(struct membership *m, const uint64_t *vms, uint32_t n,
		       uint64_t now_ns)
{
	struct member *e;
	uint32_t i;
	int32_t at;

	grow_arrays(m, m->n + n + MEMBERS_HEADROOM);
	for (i = 0; i < m->n; i++)
		m->members[i].listed = false;
	for (i = 0; i < n; i++) {
		if (vms[i] == ADDR_NONE)
			continue;
		at = member_find_or_insert(m, vms[i]);
		if (at >= 0)
			m->members[at].listed = true;
	}
	for (i = 0; i < m->n; i++) {
		e = &m->members[i];
		if (e->state != MEMBER_DEAD)
			continue;
		if (e->listed)
			e->deadline_ns = 0;
		else if (!e->deadline_ns)
			e->deadline_ns = now_ns + FORGET_NS;
		if (e->deadline_ns)
			member_schedule_tick(m, e->deadline_ns);
	}
	member_update_totals(m);
	member_track_majority(m, now_ns);
}
