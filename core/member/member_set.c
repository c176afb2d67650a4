/* The set of members: sorted by address, with what is counted over it. */
#include "member_impl.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>

#define VIEW_SEED 0x76696577ULL

/* First member whose address isn't below @vm. */
static uint32_t lower_bound(const struct membership *m, uint64_t vm)
{
	uint32_t low = 0, high = m->n, mid;

	while (low < high) {
		mid = (low + high) / 2;
		if (m->all[mid].vm < vm)
			low = mid + 1;
		else
			high = mid;
	}
	return low;
}

/**
 * member_index() - place of a member
 * @m: membership
 * @vm: its address
 *
 * Return: index into @m->all, or -ENOENT.
 */
int32_t member_index(const struct membership *m, uint64_t vm)
{
	uint32_t i = lower_bound(m, vm);

	if (i == m->n || m->all[i].vm != vm)
		return -ENOENT;
	return i;
}

/**
 * member_insert() - place of a member, added as never heard when it is new
 * @m: membership
 * @vm: its address
 *
 * Return: index, good until the next insertion or removal; -ENOSPC.
 */
int32_t member_insert(struct membership *m, uint64_t vm)
{
	uint32_t i = lower_bound(m, vm);
	uint32_t after = m->n - i;

	if (i < m->n && m->all[i].vm == vm)
		return i;
	if (m->n == m->cap)
		return -ENOSPC;
	memmove(&m->all[i + 1], &m->all[i], after * sizeof(*m->all));
	memmove(&m->trait[i + 1], &m->trait[i], after * sizeof(*m->trait));
	m->all[i] = (struct member){ .vm = vm, .state = MEMBER_DEAD };
	m->trait[i] = (struct trait){ 0 };
	m->n++;
	return i;
}

/**
 * member_remove() - forget a member
 * @m: membership
 * @i: its index
 */
void member_remove(struct membership *m, uint32_t i)
{
	uint32_t after = m->n - i - 1;

	memmove(&m->all[i], &m->all[i + 1], after * sizeof(*m->all));
	memmove(&m->trait[i], &m->trait[i + 1], after * sizeof(*m->trait));
	m->n--;
}

/**
 * member_is_live() - whether a member owns buckets
 * @e: member
 *
 * Return: true when alive, or suspect and not yet dead.
 */
bool member_is_live(const struct member *e)
{
	return e->state == MEMBER_ALIVE || e->state == MEMBER_SUSPECT;
}

/**
 * member_is_silent() - whether a member is dead, and may be back any moment
 * @m: membership
 * @i: its index
 *
 * Return: true unless it lives, or left and isn't listed any more.
 */
bool member_is_silent(const struct membership *m, uint32_t i)
{
	if (m->all[i].state != MEMBER_DEAD)
		return false;
	return m->all[i].listed || !m->trait[i].left;
}

/*
 * More than half of those listed that have not left; exactly half when the
 * lowest of them is on this side, so that of two halves one goes on. Members
 * that aren't listed don't count: during a partition both sides could take
 * in new ones and reach a majority each. Suspects don't count either: when
 * the first of the other side is declared dead and its buckets are taken
 * over, the rest of that side is only suspected yet, and both halves would
 * still believe in a majority and run the same request.
 */
static bool count_majority(const struct membership *m)
{
	uint32_t i, electors = 0, votes = 0;
	bool lowest_votes = false;

	for (i = 0; i < m->n; i++) {
		if (!m->all[i].listed || m->trait[i].left)
			continue;
		if (!electors)
			lowest_votes = m->all[i].state == MEMBER_ALIVE;
		electors++;
		votes += m->all[i].state == MEMBER_ALIVE;
	}
	if (!electors)
		return true;
	return 2 * votes > electors || (2 * votes == electors && lowest_votes);
}

/**
 * member_recount() - bring the sums over the set up to date after a change
 * @m: membership
 */
void member_recount(struct membership *m)
{
	uint32_t i;

	m->view = 0;
	m->n_live = 0;
	m->n_silent = 0;
	for (i = 0; i < m->n; i++) {
		m->n_silent += member_is_silent(m, i);
		if (!member_is_live(&m->all[i]))
			continue;
		m->view ^= hash_u64(m->all[i].vm, VIEW_SEED);
		m->n_live += m->all[i].vm != m->conf.self;
	}
	m->majority = count_majority(m);
	for (i = 0; i < m->n && m->majority; i++)
		m->trait[i].missed |= m->all[i].state == MEMBER_DEAD;
}

/**
 * member_random_live() - a live member other than self
 * @m: membership
 *
 * Return: address, or ADDR_NONE when there is none.
 */
uint64_t member_random_live(struct membership *m)
{
	uint32_t i, k, start = rng_next(&m->rng) % m->n;

	for (k = 0; k < m->n; k++) {
		i = (start + k) % m->n;
		if (m->all[i].vm != m->conf.self && member_is_live(&m->all[i]))
			return m->all[i].vm;
	}
	return ADDR_NONE;
}

static int grow(struct membership *m, uint32_t cap)
{
	struct member *all;
	struct trait *trait;
	uint64_t *order;

	if (cap <= m->cap)
		return 0;
	all = realloc(m->all, cap * sizeof(*all));
	if (!all)
		return -ENOMEM;
	m->all = all;
	trait = realloc(m->trait, cap * sizeof(*trait));
	if (!trait)
		return -ENOMEM;
	m->trait = trait;
	order = realloc(m->order, cap * sizeof(*order));
	if (!order)
		return -ENOMEM;
	m->order = order;
	m->cap = cap;
	return 0;
}

/**
 * member_roster() - the platform's list, which lags and may be stale
 * @m: membership
 * @vms: VMs it lists as live
 * @n: how many; a list beyond memory is taken in as far as it goes
 * @now_ns: now
 *
 * A listed VM is probed, and owns nothing before it was heard. A VM that is no
 * longer listed stays as long as it answers: what it says is newer than the
 * list.
 */
void member_roster(struct membership *m, const uint64_t *vms, uint32_t n,
		   uint64_t now_ns)
{
	struct member *e;
	uint32_t i;
	int32_t at;

	grow(m, m->n + n + MEMBERS_SPARE);
	for (i = 0; i < m->n; i++)
		m->all[i].listed = false;
	for (i = 0; i < n; i++) {
		if (vms[i] == ADDR_NONE)
			continue;
		at = member_insert(m, vms[i]);
		if (at >= 0)
			m->all[at].listed = true;
	}
	for (i = 0; i < m->n; i++) {
		e = &m->all[i];
		if (e->state != MEMBER_DEAD)
			continue;
		if (e->listed)
			e->deadline_ns = 0;
		else if (!e->deadline_ns)
			e->deadline_ns = now_ns + FORGET_NS;
		if (e->deadline_ns)
			member_due(m, e->deadline_ns);
	}
	member_recount(m);
	member_watch_majority(m, now_ns);
}
