/*
 * The pair of entries that holds each bucket. It follows the live set by one
 * member per settle time: two entries whose views differ only by what is still
 * on its way then have a member in common, which sees the claims of both.
 */
#include "ring_impl.h"

#include <stdlib.h>

static bool in_pair(struct ring_pair p, uint64_t vm)
{
	return vm != ADDR_NONE && (p.owner == vm || p.second == vm);
}

static bool same_pair(struct ring_pair a, struct ring_pair b)
{
	return a.owner == b.owner && a.second == b.second;
}

static struct ring_pair wanted(const struct bucket *b)
{
	return (struct ring_pair){ .owner = b->best[0].vm,
				   .second = b->best[1].vm };
}

/**
 * ring_new() - ring without members; every pair is empty
 * @n_buckets: buckets, the same on every entry
 * @self: this VM
 * @settle_ns: shortest time between two changes of one bucket's pair; has to
 *	be longer than news takes to reach all entries
 * @cover_ns: longest time over which a caller repeats one request
 * @watch: told of every change, from within ring_update()
 *
 * Return: ring, or NULL when memory is short.
 */
struct ring *ring_new(uint32_t n_buckets, uint64_t self, uint64_t settle_ns,
		      uint64_t cover_ns, struct ring_watch watch)
{
	struct ring *r = calloc(1, sizeof(*r));
	uint32_t i;

	if (!r)
		return NULL;
	r->n_buckets = n_buckets;
	r->self = self;
	r->settle_ns = settle_ns;
	r->cover_ns = cover_ns;
	r->watch = watch;
	r->next_ns = NEVER;
	r->bucket = calloc(n_buckets, sizeof(*r->bucket));
	r->pending = calloc(n_buckets, sizeof(*r->pending));
	if (!r->bucket || !r->pending) {
		ring_free(r);
		return NULL;
	}
	for (i = 0; i < n_buckets; i++)
		r->bucket[i].cover_deadline_ns = NEVER;
	return r;
}

/**
 * ring_free() - give back a ring
 * @r: ring, or NULL
 */
void ring_free(struct ring *r)
{
	if (!r)
		return;
	free(r->vms);
	free(r->next_vms);
	free(r->gone);
	free(r->bucket);
	free(r->pending);
	free(r);
}

/*
 * Next pair on the way to the wanted one. When they have a member in common,
 * going there changes one member. Otherwise the best live VM comes in as
 * owner and one old member stays as second for a settle time: the live one;
 * of two live ones the old owner, which every view that lacks one of the two
 * joins has kept as well; of two gone ones the old second, so that a live VM
 * decides at once.
 */
static struct ring_pair step(const struct ring *r, const struct bucket *b)
{
	struct ring_pair want = wanted(b);
	struct ring_pair old = b->pair;
	uint64_t kept = old.owner;

	if (old.owner == ADDR_NONE || want.owner == ADDR_NONE ||
	    in_pair(old, want.owner) || in_pair(old, want.second))
		return want;
	if (old.second != ADDR_NONE && !ring_is_live(r, old.owner))
		kept = old.second;
	return (struct ring_pair){ .owner = want.owner, .second = kept };
}

static void change(struct ring *r, uint32_t i, struct ring_pair after,
		   uint64_t now_ns)
{
	struct bucket *b = &r->bucket[i];
	struct ring_pair before = b->pair;
	bool was = in_pair(before, r->self);
	bool is = in_pair(after, r->self);

	b->pair = after;
	if (r->placed)
		b->change_deadline_ns = now_ns + r->settle_ns;
	/* The watch still sees whether self was covered until now. */
	if (r->watch.changed)
		r->watch.changed(r->watch.ctx, i, before, after);
	if (is && !was)
		b->cover_deadline_ns = now_ns + r->cover_ns;
	if (!is)
		b->cover_deadline_ns = NEVER;
}

static void list_pending(struct ring *r)
{
	uint32_t i;

	r->n_pending = 0;
	for (i = 0; i < r->n_buckets; i++)
		if (!same_pair(r->bucket[i].pair, wanted(&r->bucket[i])))
			r->pending[r->n_pending++] = i;
}

static void apply_due(struct ring *r, uint64_t now_ns)
{
	uint32_t i, k, left = 0;
	struct bucket *b;

	r->next_ns = NEVER;
	for (k = 0; k < r->n_pending; k++) {
		i = r->pending[k];
		b = &r->bucket[i];
		if (b->change_deadline_ns <= now_ns)
			change(r, i, step(r, b), now_ns);
		if (same_pair(b->pair, wanted(b)))
			continue;
		r->pending[left++] = i;
		if (b->change_deadline_ns < r->next_ns)
			r->next_ns = b->change_deadline_ns;
	}
	r->n_pending = left;
}

/**
 * ring_update() - follow the live set, one step a bucket that is due
 * @r: ring
 * @vms: live VMs that own buckets (alive or suspect, not leaving), in any
 *	order; self too unless it leaves
 * @n: how many
 * @now_ns: now
 *
 * To be called when the set changed and at ring_next_ns(). The first
 * placement is immediate. When memory is short the old set stays.
 */
void ring_update(struct ring *r, const uint64_t *vms, uint32_t n,
		 uint64_t now_ns)
{
	if (ring_place(r, vms, n))
		list_pending(r);
	apply_due(r, now_ns);
	if (r->placed || !r->n_vms)
		return;
	r->placed = true;
	r->steady_deadline_ns = now_ns + r->settle_ns;
}

/**
 * ring_next_ns() - when ring_update() has to be called next, set changed or not
 * @r: ring
 *
 * Return: deadline, or UINT64_MAX when every pair is as wanted.
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
 * Return: bucket, the same on every entry.
 */
uint32_t ring_bucket(const struct ring *r, const struct flow_key *key)
{
	return flow_hash(key) % r->n_buckets;
}

/**
 * ring_at() - pair in force for a bucket
 * @r: ring
 * @bucket: bucket
 *
 * Return: owner and second; both ADDR_NONE before the first placement.
 */
struct ring_pair ring_at(const struct ring *r, uint32_t bucket)
{
	return r->bucket[bucket].pair;
}

/**
 * ring_wanted() - pair that a bucket is moving to, a settle time at a step
 * @r: ring
 * @bucket: bucket
 *
 * Return: owner and second as the live set has them now.
 */
struct ring_pair ring_wanted(const struct ring *r, uint32_t bucket)
{
	return wanted(&r->bucket[bucket]);
}

/**
 * ring_steady() - whether self may claim by a bucket's pair
 * @r: ring
 * @bucket: bucket
 * @now_ns: now
 *
 * An entry that starts places its buckets at once, one that runs goes there
 * by steps. While views change fast, as when a fleet starts, the two can hold
 * pairs without a common member, and both be told to go on. Two pairs that
 * have both stood for a settle time, and are where they are to be, come from
 * views that have differed for longer than news takes.
 *
 * Return: true when the pair is as wanted, and has been for a settle time.
 */
bool ring_steady(const struct ring *r, uint32_t bucket, uint64_t now_ns)
{
	const struct bucket *b = &r->bucket[bucket];

	return r->placed && r->steady_deadline_ns <= now_ns &&
	       b->change_deadline_ns <= now_ns && same_pair(b->pair, wanted(b));
}

/**
 * ring_covered() - whether self knows every claim that a caller may repeat
 * @r: ring
 * @bucket: bucket
 * @now_ns: now
 *
 * Return: true when self has been in the bucket's pair for the cover time, or
 * was handed the bucket's records by an entry that had.
 */
bool ring_covered(const struct ring *r, uint32_t bucket, uint64_t now_ns)
{
	return r->bucket[bucket].cover_deadline_ns <= now_ns;
}

/**
 * ring_cover() - a covered entry has handed over all records of a bucket
 * @r: ring
 * @bucket: bucket; nothing changes when self isn't in its pair
 */
void ring_cover(struct ring *r, uint32_t bucket)
{
	struct bucket *b = &r->bucket[bucket];

	if (in_pair(b->pair, r->self))
		b->cover_deadline_ns = 0;
}

/**
 * ring_uncover() - self was out of the others' pairs without noticing
 * @r: ring
 * @now_ns: now
 *
 * A process that was paused and declared dead finds its pairs as it left
 * them, while claims were made without it. It would answer "never seen" to a
 * repeat of one of them; so its cover starts anew.
 */
void ring_uncover(struct ring *r, uint64_t now_ns)
{
	uint32_t i;

	for (i = 0; i < r->n_buckets; i++)
		if (in_pair(r->bucket[i].pair, r->self))
			r->bucket[i].cover_deadline_ns = now_ns + r->cover_ns;
}

/**
 * ring_bytes() - memory of the ring
 * @r: ring
 *
 * Return: bytes.
 */
uint64_t ring_bytes(const struct ring *r)
{
	return sizeof(*r) + 3ULL * r->cap_vms * sizeof(*r->vms) +
	       (uint64_t)r->n_buckets *
		       (sizeof(*r->bucket) + sizeof(*r->pending));
}
