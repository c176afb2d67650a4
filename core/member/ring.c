/*
 * Pair of entries of each bucket. It follows the set of live entries by one
 * member per settle time. When the views of two entries differ only by updates
 * that are still in transit, their pairs then have a member in common, which
 * receives the claims of both.
 */
#include "ring_impl.h"

#include <stdlib.h>

static bool pair_contains(struct ring_pair p, uint64_t vm)
{
	return vm != ADDR_NONE && (p.owner == vm || p.second == vm);
}

static bool pair_equal(struct ring_pair a, struct ring_pair b)
{
	return a.owner == b.owner && a.second == b.second;
}

static struct ring_pair desired_pair(const struct bucket *b)
{
	return (struct ring_pair){ .owner = b->best[0].vm,
				   .second = b->best[1].vm };
}

/**
 * ring_new() - make a ring without live entries
 * @n_buckets: number of buckets, the same on every entry
 * @self: address of this VM
 * @settle_ns: least time between two changes of a bucket's pair; has to be
 *	longer than membership updates take to reach all entries
 * @cover_ns: longest time over which a caller retransmits a request
 * @observer: callback for changes, called by ring_update()
 *
 * Return: ring, to be freed with ring_free(); NULL when memory is short.
 */
struct ring *ring_new(uint32_t n_buckets, uint64_t self, uint64_t settle_ns,
		      uint64_t cover_ns, struct ring_observer observer)
{
	struct ring *r = calloc(1, sizeof(*r));
	uint32_t i;

	if (!r)
		return NULL;
	r->n_buckets = n_buckets;
	r->self = self;
	r->settle_ns = settle_ns;
	r->cover_ns = cover_ns;
	r->observer = observer;
	r->next_ns = DEADLINE_NEVER;
	r->buckets = calloc(n_buckets, sizeof(*r->buckets));
	r->pending = calloc(n_buckets, sizeof(*r->pending));
	if (!r->buckets || !r->pending) {
		ring_free(r);
		return NULL;
	}
	for (i = 0; i < n_buckets; i++)
		r->buckets[i].history_known_from_ns = DEADLINE_NEVER;
	return r;
}

void ring_free(struct ring *r)
{
	if (!r)
		return;
	free(r->vms);
	free(r->next_vms);
	free(r->removed_vms);
	free(r->buckets);
	free(r->pending);
	free(r);
}

/*
 * Next pair on the way to the desired one. If the current and the desired pair
 * have a member in common, the desired one changes a single member. Otherwise
 * the VM with the highest score becomes owner, and one old member stays as
 * second for a settle time: the one that is live; of two live ones the old
 * owner, which every view that lacks one of the two new members has kept too;
 * of two dead ones the old second, so that a live VM decides at once.
 */
static struct ring_pair next_pair(const struct ring *r, const struct bucket *b)
{
	struct ring_pair want = desired_pair(b);
	struct ring_pair old = b->pair;
	uint64_t kept = old.owner;

	if (old.owner == ADDR_NONE || want.owner == ADDR_NONE ||
	    pair_contains(old, want.owner) || pair_contains(old, want.second))
		return want;
	if (old.second != ADDR_NONE && !ring_is_live(r, old.owner))
		kept = old.second;
	return (struct ring_pair){ .owner = want.owner, .second = kept };
}

static void apply_pair(struct ring *r, uint32_t i, struct ring_pair after,
		       uint64_t now_ns)
{
	struct bucket *b = &r->buckets[i];
	struct ring_pair before = b->pair;
	bool was_member = pair_contains(before, r->self);
	bool is_member = pair_contains(after, r->self);

	b->pair = after;
	if (r->is_placed)
		b->earliest_change_ns = now_ns + r->settle_ns;
	/* The observer still gets the old value of ring_history_known(). */
	if (r->observer.changed)
		r->observer.changed(r->observer.ctx, i, before, after);
	if (is_member && !was_member)
		b->history_known_from_ns = now_ns + r->cover_ns;
	if (!is_member)
		b->history_known_from_ns = DEADLINE_NEVER;
}

static void collect_pending(struct ring *r)
{
	uint32_t i;

	r->n_pending = 0;
	for (i = 0; i < r->n_buckets; i++)
		if (!pair_equal(r->buckets[i].pair,
				desired_pair(&r->buckets[i])))
			r->pending[r->n_pending++] = i;
}

static void apply_due_changes(struct ring *r, uint64_t now_ns)
{
	uint32_t i, k, left = 0;
	struct bucket *b;

	r->next_ns = DEADLINE_NEVER;
	for (k = 0; k < r->n_pending; k++) {
		i = r->pending[k];
		b = &r->buckets[i];
		if (b->earliest_change_ns <= now_ns)
			apply_pair(r, i, next_pair(r, b), now_ns);
		if (pair_equal(b->pair, desired_pair(b)))
			continue;
		r->pending[left++] = i;
		if (b->earliest_change_ns < r->next_ns)
			r->next_ns = b->earliest_change_ns;
	}
	r->n_pending = left;
}

/**
 * ring_update() - set the live VMs, and change the pairs of due buckets by a
 *	member
 * @r: ring
 * @vms: VMs that may own buckets (alive or suspect, not leaving), in any order;
 *	this VM too unless it leaves
 * @n: their number
 * @now_ns: current time
 *
 * To be called when the set has changed, and at ring_next_ns(). The first
 * assignment is immediate. When memory is short the old set stays.
 */
void ring_update(struct ring *r, const uint64_t *vms, uint32_t n,
		 uint64_t now_ns)
{
	if (ring_set_live_vms(r, vms, n))
		collect_pending(r);
	apply_due_changes(r, now_ns);
	if (r->is_placed || !r->n_vms)
		return;
	r->is_placed = true;
	r->settled_from_ns = now_ns + r->settle_ns;
}

/**
 * ring_next_ns() - when ring_update() is due even if the set has not changed
 * @r: ring
 *
 * Return: deadline, or UINT64_MAX when every pair is the desired one.
 */
uint64_t ring_next_ns(const struct ring *r)
{
	return r->next_ns;
}

/**
 * ring_bucket() - bucket of a flow
 * @r: ring
 * @key: flow
 *
 * Return: index of the bucket, the same on every entry.
 */
uint32_t ring_bucket(const struct ring *r, const struct flow_key *key)
{
	return flow_hash(key) % r->n_buckets;
}

/**
 * ring_current_pair() - pair in force for a bucket
 * @r: ring
 * @bucket: index of the bucket
 *
 * Return: owner and second; both ADDR_NONE before the first assignment.
 */
struct ring_pair ring_current_pair(const struct ring *r, uint32_t bucket)
{
	return r->buckets[bucket].pair;
}

/**
 * ring_desired_pair() - pair to which a bucket moves, a member per settle time
 * @r: ring
 * @bucket: index of the bucket
 *
 * Return: the two live VMs with the highest scores.
 */
struct ring_pair ring_desired_pair(const struct ring *r, uint32_t bucket)
{
	return desired_pair(&r->buckets[bucket]);
}

/**
 * ring_is_settled() - whether this entry may claim with a bucket's pair
 * @r: ring
 * @bucket: index of the bucket
 * @now_ns: current time
 *
 * An entry that starts assigns its buckets at once; a running one changes a
 * member per settle time. While views change fast, as when all entries start,
 * the two can have pairs without a common member, and both would be granted a
 * claim. Two settled pairs without a common member would need views that differ
 * for longer than updates take to arrive.
 *
 * Return: true when the pair is the desired one, and has been for a settle
 * time.
 */
bool ring_is_settled(const struct ring *r, uint32_t bucket, uint64_t now_ns)
{
	const struct bucket *b = &r->buckets[bucket];

	return r->is_placed && r->settled_from_ns <= now_ns &&
	       b->earliest_change_ns <= now_ns &&
	       pair_equal(b->pair, desired_pair(b));
}

/**
 * ring_history_known() - whether this entry knows a bucket's complete claim
 *	history: every claim whose request a caller may still retransmit
 * @r: ring
 * @bucket: index of the bucket
 * @now_ns: current time
 *
 * Return: true when this entry has been in the bucket's pair for the cover
 * time, or has received the history from an entry that knew it.
 */
bool ring_history_known(const struct ring *r, uint32_t bucket, uint64_t now_ns)
{
	return r->buckets[bucket].history_known_from_ns <= now_ns;
}

/**
 * ring_mark_history_known() - record that this entry has received a bucket's
 *	complete claim history
 * @r: ring
 * @bucket: index of the bucket; ignored when this entry is not in its pair
 */
void ring_mark_history_known(struct ring *r, uint32_t bucket)
{
	struct bucket *b = &r->buckets[bucket];

	if (pair_contains(b->pair, r->self))
		b->history_known_from_ns = 0;
}

/**
 * ring_restart_cover_time() - start the cover time again in all pairs with this
 *	entry
 * @r: ring
 * @now_ns: current time
 *
 * To be called when this entry learns that others had declared it dead, for
 * example during a pause. Its own pairs have not changed, but claims were made
 * without it, and it would treat a retransmission of such a request as new.
 */
void ring_restart_cover_time(struct ring *r, uint64_t now_ns)
{
	uint32_t i;

	for (i = 0; i < r->n_buckets; i++)
		if (pair_contains(r->buckets[i].pair, r->self))
			r->buckets[i].history_known_from_ns =
				now_ns + r->cover_ns;
}

/**
 * ring_memory_bytes() - memory allocated by a ring
 * @r: ring
 *
 * Return: bytes.
 */
uint64_t ring_memory_bytes(const struct ring *r)
{
	return sizeof(*r) + 3ULL * r->cap_vms * sizeof(*r->vms) +
	       (uint64_t)r->n_buckets *
		       (sizeof(*r->buckets) + sizeof(*r->pending));
}
