/* This entry's shares of the targets, and where its new work may go. */
#include "balance_state.h"

#define DEAL_SEED 0x6465616cULL

static uint32_t count_up(struct balancer *b, struct service *s)
{
	uint32_t slots = 0;

	s->n_up = 0;
	for (uint32_t i = 0; i < s->n_places; i++) {
		const struct place *p = &b->t.places[s->first_place + i];

		if (p->state != TARGET_UP)
			continue;
		s->n_up++;
		slots += b->t.targets[p->target].slots;
	}
	return slots;
}

static void deal_service(struct balancer *b, struct service *s)
{
	uint64_t offset = hash_u64(s->vip, DEAL_SEED) % b->n_entries;

	struct deal_order o = { .n_entries = b->n_entries, .rank = b->rank };

	uint32_t nth = 0;

	o.n_slots = count_up(b, s);
	o.n_targets = s->n_up;
	for (uint32_t i = 0; i < s->n_places; i++) {
		struct place *p = &b->t.places[s->first_place + i];
		struct target *t = &b->t.targets[p->target];

		if (p->state != TARGET_UP)
			continue;
		nth++;
		if (t->dealt)
			continue;
		t->dealt = true;
		t->share = deal_target(&o, t->slots, t->connections, offset,
				       nth - 1);
		offset += t->slots;
	}
}

/*
 * A target that several services list is dealt by the first of them. Another
 * one that lists only some of its targets may leave an entry without a share;
 * that entry takes one request at one target, by rank.
 */
static void deal_floor(struct balancer *b, struct service *s)
{
	uint32_t nth = s->n_up ? b->rank % s->n_up : 0;

	for (uint32_t i = 0; i < s->n_places; i++) {
		struct place *p = &b->t.places[s->first_place + i];
		struct target *t = &b->t.targets[p->target];

		if (p->state != TARGET_UP || nth--)
			continue;
		t->share.own = 1;
		if (!t->share.connections && t->connections)
			t->share.connections = 1;
		return;
	}
}

static void list_candidates(struct balancer *b, struct service *s)
{
	s->n_candidates = 0;
	for (uint32_t i = 0; i < s->n_places; i++) {
		uint32_t index = s->first_place + i;
		struct place *p = &b->t.places[index];
		struct target *t = &b->t.targets[p->target];

		p->candidate = p->state == TARGET_UP &&
			       t->share.own + t->share.extra > 0;
		if (!p->candidate)
			continue;
		b->t.candidates[s->first_candidate + s->n_candidates] = index;
		s->n_candidates++;
	}
}

static bool has_own(const struct balancer *b, const struct service *s)
{
	for (uint32_t i = 0; i < s->n_places; i++) {
		const struct place *p = &b->t.places[s->first_place + i];

		if (p->state == TARGET_UP && b->t.targets[p->target].share.own)
			return true;
	}
	return false;
}

/* With no target left that takes work, waiting is of no use to the caller. */
static void doom_stranded(struct balancer *b, struct service *s)
{
	while (!s->n_candidates && s->queue.n)
		admit_doom(b, s->queue.head, REFUSE_NO_TARGET);
}

/**
 * shares_deal() - share out the targets anew
 * @b: balancer
 */
void shares_deal(struct balancer *b)
{
	for (uint32_t i = 0; i < b->t.n_targets; i++) {
		struct target *t = &b->t.targets[i];

		t->dealt = false;
		t->share = (struct deal){ 0 };
	}
	for (uint32_t i = 0; i < b->t.n_services; i++)
		deal_service(b, &b->t.services[i]);
	for (uint32_t i = 0; i < b->t.n_services; i++)
		if (!has_own(b, &b->t.services[i]))
			deal_floor(b, &b->t.services[i]);
	for (uint32_t i = 0; i < b->t.n_services; i++)
		list_candidates(b, &b->t.services[i]);
	for (uint32_t i = 0; i < b->t.n_services; i++)
		doom_stranded(b, &b->t.services[i]);
	for (uint32_t i = 0; i < b->t.n_targets; i++)
		fair_ready(b, i);
	eject_recount(b);
}
