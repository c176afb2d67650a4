/*
 * Placement by rendezvous hash: each live VM has a score for each bucket, the
 * two highest win. A change of the set is compared with what stands, not
 * computed anew.
 */
#include "ring_impl.h"

#include <stdlib.h>
#include <string.h>

static bool beats(struct candidate a, struct candidate b)
{
	if (a.score != b.score)
		return a.score > b.score;
	return a.vm > b.vm;
}

static struct candidate candidate_of(uint64_t vm, uint32_t bucket)
{
	return (struct candidate){ .vm = vm, .score = hash_u64(bucket, vm) };
}

static void offer(struct bucket *b, struct candidate c)
{
	if (beats(c, b->best[0])) {
		b->best[1] = b->best[0];
		b->best[0] = c;
	} else if (beats(c, b->best[1])) {
		b->best[1] = c;
	}
}

static int by_address(const void *a, const void *b)
{
	uint64_t x = *(const uint64_t *)a;
	uint64_t y = *(const uint64_t *)b;

	return (x > y) - (x < y);
}

static uint32_t sort_unique(uint64_t *vms, uint32_t n)
{
	uint32_t i, kept = 0;

	qsort(vms, n, sizeof(*vms), by_address);
	for (i = 0; i < n; i++) {
		if (vms[i] == ADDR_NONE || (kept && vms[kept - 1] == vms[i]))
			continue;
		vms[kept++] = vms[i];
	}
	return kept;
}

static bool among(const uint64_t *vms, uint32_t n, uint64_t vm)
{
	return bsearch(&vm, vms, n, sizeof(*vms), by_address) != NULL;
}

static bool lengthen(uint64_t **vms, uint32_t n)
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
	if (!lengthen(&r->vms, n) || !lengthen(&r->next_vms, n) ||
	    !lengthen(&r->gone, n))
		return false;
	r->cap_vms = n;
	return true;
}

static void place_anew(struct ring *r, uint32_t i)
{
	struct bucket *b = &r->bucket[i];
	uint32_t v;

	memset(b->best, 0, sizeof(b->best));
	for (v = 0; v < r->n_vms; v++)
		offer(b, candidate_of(r->vms[v], i));
}

/* Only buckets that had one of the VMs now gone have to look for another. */
static void drop_gone(struct ring *r, const uint64_t *gone, uint32_t n)
{
	const struct bucket *b;
	uint32_t i;

	for (i = 0; i < r->n_buckets; i++) {
		b = &r->bucket[i];
		if (among(gone, n, b->best[0].vm) ||
		    among(gone, n, b->best[1].vm))
			place_anew(r, i);
	}
}

static void add_new(struct ring *r, uint64_t vm)
{
	uint32_t i;

	for (i = 0; i < r->n_buckets; i++)
		offer(&r->bucket[i], candidate_of(vm, i));
}

/* Split the old set by the new one: who stays in front, who is gone behind. */
static uint32_t part(uint64_t *old, uint32_t n_old, const uint64_t *next,
		     uint32_t n_next, uint64_t *gone)
{
	uint32_t i, kept = 0, n_gone = 0;

	for (i = 0; i < n_old; i++) {
		if (among(next, n_next, old[i]))
			old[kept++] = old[i];
		else
			gone[n_gone++] = old[i];
	}
	return kept;
}

/**
 * ring_place() - take over the live set, place the buckets that it concerns
 * @r: ring
 * @vms: live VMs in any order
 * @n: how many
 *
 * Return: true when the set differs from the last; false also when memory is
 * short, and the old set stays.
 */
bool ring_place(struct ring *r, const uint64_t *vms, uint32_t n)
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
	kept = part(old, n_old, r->next_vms, n, r->gone);
	r->n_vms = kept;
	if (kept < n_old)
		drop_gone(r, r->gone, n_old - kept);
	for (i = 0; i < n; i++)
		if (!among(old, kept, r->next_vms[i]))
			add_new(r, r->next_vms[i]);
	r->vms = r->next_vms;
	r->next_vms = old;
	r->n_vms = n;
	return true;
}

/**
 * ring_is_live() - whether a VM is in the live set
 * @r: ring
 * @vm: VM
 *
 * Return: true when it is.
 */
bool ring_is_live(const struct ring *r, uint64_t vm)
{
	return among(r->vms, r->n_vms, vm);
}
