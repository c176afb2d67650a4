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
#define ID_PROBES_MAX 32

struct msg_id_space {
	uint64_t target;
	uint64_t block_used_ns[ID_BLOCKS];
	uint64_t last_ns;
	uint16_t next_id;
};

/* msg_id_spaces_init() - room for the targets of a data centre. */
int msg_id_spaces_init(struct entry *e)
{
	e->msg_ids = calloc(ID_TARGETS_MAX, sizeof(*e->msg_ids));
	return e->msg_ids ? 0 : -ENOMEM;
}

void msg_id_spaces_free(struct entry *e)
{
	free(e->msg_ids);
}

static bool space_is_reusable(const struct msg_id_space *s, uint64_t now_ns)
{
	return s->target == ADDR_NONE || s->last_ns + ID_LIFETIME_NS <= now_ns;
}

/* Targets come and go; a space unused for a lifetime is given to another. */
static struct msg_id_space *find_space(struct entry *e, uint64_t target)
{
	uint64_t home = hash_u64(target, 0);
	struct msg_id_space *unused = NULL;

	for (uint32_t n = 0; n < ID_PROBES_MAX; n++) {
		struct msg_id_space *s =
			&e->msg_ids[(home + n) % ID_TARGETS_MAX];

		if (s->target == target)
			return s;
		if (!unused && space_is_reusable(s, e->now_ns))
			unused = s;
	}
	if (!unused)
		return NULL;
	memset(unused, 0, sizeof(*unused));
	unused->target = target;
	unused->next_id = (uint16_t)rng_next(&e->rng);
	return unused;
}

/**
 * msg_id_next() - next message ID towards a target
 * @e: entry
 * @target: target
 * @id: filled
 *
 * Return: false when all are too young to be used again; the target takes no
 * more from this entry for now.
 */
bool msg_id_next(struct entry *e, uint64_t target, uint16_t *id)
{
	struct msg_id_space *s = find_space(e, target);
	uint16_t next;
	uint32_t block;

	if (!s)
		return false;
	next = s->next_id;
	block = next >> ID_BLOCK_SHIFT;
	if ((next & ((1 << ID_BLOCK_SHIFT) - 1)) == 0 &&
	    s->block_used_ns[block] &&
	    s->block_used_ns[block] + ID_LIFETIME_NS > e->now_ns)
		return false;
	s->block_used_ns[block] = e->now_ns;
	s->last_ns = e->now_ns;
	*id = next;
	s->next_id = (uint16_t)(next + 1);
	return true;
}
