/* This entry's shares of the targets, and the candidates for its new work. */
#include "balance_state.h"

/* Seed for the rank of the entry that gets a service's first slot. */
#define SHARE_SEED 0x6465616cULL

static uint32_t count_up_slots(struct balancer *balancer, struct service *s)
{
	uint32_t slots = 0;

	s->n_up = 0;
	for (uint32_t i = 0; i < s->n_backends; i++) {
		const struct backend *be =
			&balancer->tables.backends[s->first_backend + i];

		if (be->state != TARGET_UP)
			continue;
		s->n_up++;
		slots += balancer->tables.targets[be->target].slots;
	}
	return slots;
}

static void allocate_service(struct balancer *balancer, struct service *s)
{
	uint64_t offset = hash_u64(s->vip, SHARE_SEED) % balancer->n_entries;
	struct share_params params = { .n_entries = balancer->n_entries,
				       .rank = balancer->rank };
	uint32_t nth = 0;

	params.n_slots = count_up_slots(balancer, s);
	params.n_targets = s->n_up;
	for (uint32_t i = 0; i < s->n_backends; i++) {
		struct backend *be =
			&balancer->tables.backends[s->first_backend + i];
		struct target *t = &balancer->tables.targets[be->target];

		if (be->state != TARGET_UP)
			continue;
		nth++;
		if (t->is_allocated)
			continue;
		t->is_allocated = true;
		t->share = target_share_compute(
			&params, t->slots, t->connections, offset, nth - 1);
		offset += t->slots;
	}
}

/*
 * A target that several services list is allocated by the first of them.
 * Another service that lists only some of the targets may leave this entry
 * without a share; then the entry may have one request at one target, selected
 * by rank.
 */
static void allocate_minimum(struct balancer *balancer, struct service *s)
{
	uint32_t nth = s->n_up ? balancer->rank % s->n_up : 0;

	for (uint32_t i = 0; i < s->n_backends; i++) {
		struct backend *be =
			&balancer->tables.backends[s->first_backend + i];
		struct target *t = &balancer->tables.targets[be->target];

		if (be->state != TARGET_UP || nth--)
			continue;
		t->share.own = 1;
		if (!t->share.connections && t->connections)
			t->share.connections = 1;
		return;
	}
}

static void list_candidates(struct balancer *balancer, struct service *s)
{
	s->n_candidates = 0;
	for (uint32_t i = 0; i < s->n_backends; i++) {
		uint32_t index = s->first_backend + i;
		struct backend *be = &balancer->tables.backends[index];
		struct target *t = &balancer->tables.targets[be->target];

		be->candidate = be->state == TARGET_UP &&
				t->share.own + t->share.extra > 0;
		if (!be->candidate)
			continue;
		balancer->tables
			.candidates[s->first_candidate + s->n_candidates] =
			index;
		s->n_candidates++;
	}
}

static bool has_own_share(const struct balancer *balancer,
			  const struct service *s)
{
	for (uint32_t i = 0; i < s->n_backends; i++) {
		const struct backend *be =
			&balancer->tables.backends[s->first_backend + i];

		if (be->state == TARGET_UP &&
		    balancer->tables.targets[be->target].share.own)
			return true;
	}
	return false;
}

/* Without a target that accepts work, queued work would only time out. */
static void refuse_stranded(struct balancer *balancer, struct service *s)
{
	while (!s->n_candidates && s->queue.n)
		admit_refuse_queued(balancer, s->queue.head, REFUSE_NO_TARGET);
}

/**
 * shares_allocate() - recompute the shares and candidates of this entry
 * @balancer: balancer; queued work of services without a candidate is refused
 */
void shares_allocate(struct balancer *balancer)
{
	for (uint32_t i = 0; i < balancer->tables.n_targets; i++) {
		struct target *t = &balancer->tables.targets[i];

		t->is_allocated = false;
		t->share = (struct target_share){ 0 };
	}
	for (uint32_t i = 0; i < balancer->tables.n_services; i++)
		allocate_service(balancer, &balancer->tables.services[i]);
	for (uint32_t i = 0; i < balancer->tables.n_services; i++)
		if (!has_own_share(balancer, &balancer->tables.services[i]))
			allocate_minimum(balancer,
					 &balancer->tables.services[i]);
	for (uint32_t i = 0; i < balancer->tables.n_services; i++)
		list_candidates(balancer, &balancer->tables.services[i]);
	for (uint32_t i = 0; i < balancer->tables.n_services; i++)
		refuse_stranded(balancer, &balancer->tables.services[i]);
	for (uint32_t i = 0; i < balancer->tables.n_targets; i++)
		fair_queue_recheck(balancer, i);
	eject_enforce_limits(balancer);
}
