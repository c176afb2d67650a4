/*
 * Rendezvous hashing: each live VM has a score for each bucket, and the two
 * highest are the bucket's desired pair. A change of the live set is applied
 * incrementally.
 */
#include "ring_impl.h"

#include <stdlib.h>
#include <string.h>

static bool outranks(struct candidate a, struct candidate b)
{
	if (a.score != b.score)
		return a.score > b.score;
	return a.vm > b.vm;
}

static struct candidate make_candidate(uint64_t vm, uint32_t bucket)
{
	return (struct candidate){ .vm = vm, .score = hash_u64(bucket, vm) };
}

static void consider_candidate(struct bucket *b, struct candidate c)
{
	if (outranks(c, b->best[0])) {
		b->best[1] = b->best[0];
		b->best[0] = c;
	} else if (outranks(c, b->best[1])) {
		b->best[1] = c;
	}
}

static int compare_addresses(const void *a, const void *b)
{
	uint64_t x = *(const uint64_t *)a;
	uint64_t y = *(const uint64_t *)b;

	return (x > y) - (x < y);
}

static uint32_t sort_unique(uint64_t *vms, uint32_t n)
{
	uint32_t i, kept = 0;

	qsort(vms, n, sizeof(*vms), compare_addresses);
	for (i = 0; i < n; i++) {
		if (vms[i] == ADDR_NONE || (kept && vms[kept - 1] == vms[i]))
			continue;
		vms[kept++] = vms[i];
	}
	return kept;
}

static bool contains(const uint64_t *vms, uint32_t n, uint64_t vm)
{
	return bsearch(&vm, vms, n, sizeof(*vms), compare_addresses) != NULL;
}

static bool grow_array(uint64_t **vms, uint32_t n)
{
	uint64_t *longer = realloc(*vms, n * sizeof(**vms));

	if (longer)
		*vms = longer;
	return longer != NULL;
}

static bool reserve(struct ring *r, uint32_t n)
{
	if (n <= r->cap_vms)
		return true;
	if (!grow_array(&r->vms, n) || !grow_array(&r->next_vms, n) ||
	    !grow_array(&r->removed_vms, n))
		return false;
	r->cap_vms = n;
	return true;
}

static void rank_all_vms(struct ring *r, uint32_t i)
{
	struct bucket *b = &r->buckets[i];
	uint32_t v;

	memset(b->best, 0, sizeof(b->best));
	for (v = 0; v < r->n_vms; v++)
		consider_candidate(b, make_candidate(r->vms[v], i));
}

/* Only buckets with one of the removed VMs are ranked again. */
static void rerank_buckets_of(struct ring *r, const uint64_t *removed,
			      uint32_t n)
{
	const struct bucket *b;
	uint32_t i;

	for (i = 0; i < r->n_buckets; i++) {
		b = &r->buckets[i];
		if (contains(removed, n, b->best[0].vm) ||
		    contains(removed, n, b->best[1].vm))
			rank_all_vms(r, i);
	}
}

static void add_vm(struct ring *r, uint64_t vm)
{
	uint32_t i;

	for (i = 0; i < r->n_buckets; i++)
		consider_candidate(&r->buckets[i], make_candidate(vm, i));
}

/* Keep the VMs of @old that are in @next, move the others to @removed. */
static uint32_t split_kept_removed(uint64_t *old, uint32_t n_old,
				   const uint64_t *next, uint32_t n_next,
				   uint64_t *removed)
{
	uint32_t i, kept = 0, n_removed = 0;

	for (i = 0; i < n_old; i++) {
		if (contains(next, n_next, old[i]))
			old[kept++] = old[i];
		else
			removed[n_removed++] = old[i];
	}
	return kept;
}

/**
 * ring_set_live_vms() - set the live VMs and the desired pairs that they change
 * @r: ring
 * @vms: live VMs in any order, possibly with duplicates
 * @n: their number
 *
 * Return: true when the set differs from the last one; false when it does not,
 * or when memory is short and the old set stays.
 */
bool ring_set_live_vms(struct ring *r, const uint64_t *vms, uint32_t n)
{
	uint64_t *old;
	uint32_t i, kept, n_old = r->n_vms;

	if (!reserve(r, n + 1))
		return false;
	old = r->vms;
	memcpy(r->next_vms, vms, n * sizeof(*vms));
	n = sort_unique(r->next_vms, n);
	if (n == n_old && !memcmp(old, r->next_vms, n * sizeof(*old)))
		return false;
	kept = split_kept_removed(old, n_old, r->next_vms, n, r->removed_vms);
	r->n_vms = kept;
	if (kept < n_old)
		rerank_buckets_of(r, r->removed_vms, n_old - kept);
	for (i = 0; i < n; i++)
		if (!contains(old, kept, r->next_vms[i]))
			add_vm(r, r->next_vms[i]);
	r->vms = r->next_vms;
	r->next_vms = old;
	r->n_vms = n;
	return true;
}

/**
 * ring_is_live() - whether a VM is in the live set
 * @r: ring
 * @vm: address
 *
 * Return: true when it is.
 */
bool ring_is_live(const struct ring *r, uint64_t vm)
{
	return contains(r->vms, r->n_vms, vm);
}
