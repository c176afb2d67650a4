#include "entry_state.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>

/*
 * A message ID towards a target may not come back while an old answer or
 * acknowledgement with it could still arrive (RFC 7252 EXCHANGE_LIFETIME).
 * Reuse would show as a caller getting another caller's answer. IDs go round
 * in blocks; a block is entered only when its last use is long enough ago.
 */
#define ID_LIFETIME_NS (247 * NS_PER_S)
#define ID_BLOCKS 16
#define ID_BLOCK_SHIFT 12
#define ID_TARGETS_MAX 16384
#define ID_PROBES 32

struct id_space {
	uint64_t target;
	uint64_t used_ns[ID_BLOCKS];
	uint64_t last_ns;
	uint16_t next;
};

/* id_spaces_init() - room for the targets of a data centre. */
int id_spaces_init(struct entry *e)
{
	e->ids = calloc(ID_TARGETS_MAX, sizeof(*e->ids));
	return e->ids ? 0 : -ENOMEM;
}

void id_spaces_free(struct entry *e)
{
	free(e->ids);
}

static bool reusable(const struct id_space *s, uint64_t now_ns)
{
	return s->target == ADDR_NONE || s->last_ns + ID_LIFETIME_NS <= now_ns;
}

/* Targets come and go; a space unused for a lifetime is given to another. */
static struct id_space *space_of(struct entry *e, uint64_t target)
{
	uint64_t home = hash_u64(target, 0);
	struct id_space *take = NULL;

	for (uint32_t n = 0; n < ID_PROBES; n++) {
		struct id_space *s = &e->ids[(home + n) % ID_TARGETS_MAX];

		if (s->target == target)
			return s;
		if (!take && reusable(s, e->now_ns))
			take = s;
	}
	if (!take)
		return NULL;
	memset(take, 0, sizeof(*take));
	take->target = target;
	take->next = (uint16_t)rng_next(&e->rng);
	return take;
}

/**
 * id_next() - next message ID towards a target
 * @e: entry
 * @target: target
 * @id: filled
 *
 * Return: false when all are too young to be used again; the target takes no
 * more from this entry for now.
 */
bool id_next(struct entry *e, uint64_t target, uint16_t *id)
{
	struct id_space *s = space_of(e, target);
	uint16_t next;
	uint32_t block;

	if (!s)
		return false;
	next = s->next;
	block = next >> ID_BLOCK_SHIFT;
	if ((next & ((1 << ID_BLOCK_SHIFT) - 1)) == 0 && s->used_ns[block] &&
	    s->used_ns[block] + ID_LIFETIME_NS > e->now_ns)
		return false;
	s->used_ns[block] = e->now_ns;
	s->last_ns = e->now_ns;
	*id = next;
	s->next = (uint16_t)(next + 1);
	return true;
}
