#include "entry_state.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>

/*
 * A message ID towards a target must not be reused while an old answer or
 * acknowledgement with it may still arrive (EXCHANGE_LIFETIME in RFC 7252): a
 * caller would receive another caller's answer. IDs are allocated in sequence;
 * a block of them is entered only when its last use is older than that.
 */
#define ID_LIFETIME_NS (247 * NS_PER_S)
#define ID_BLOCKS 16
#define ID_BLOCK_SHIFT 12
#define ID_TARGETS_MAX 16384
#define ID_PROBES_MAX 32

/**
 * struct msg_id_space - message IDs towards one target
 * @target: address of the target, ADDR_NONE when never used
 * @block_used_ns: by block of IDs: time of the last allocation
 * @last_ns: time of the last allocation of any ID
 * @next_id: ID to allocate next
 */
struct msg_id_space {
	uint64_t target;
	uint64_t block_used_ns[ID_BLOCKS];
	uint64_t last_ns;
	uint16_t next_id;
};

/* msg_id_spaces_init() - allocate the ID spaces for a data centre's targets. */
int msg_id_spaces_init(struct entry *entry)
{
	entry->msg_ids = calloc(ID_TARGETS_MAX, sizeof(*entry->msg_ids));
	return entry->msg_ids ? 0 : -ENOMEM;
}

void msg_id_spaces_free(struct entry *entry)
{
	free(entry->msg_ids);
}

static bool space_is_reusable(const struct msg_id_space *s, uint64_t now_ns)
{
	return s->target == ADDR_NONE || s->last_ns + ID_LIFETIME_NS <= now_ns;
}

/*
 * Finds or assigns a target's ID space. A space that has been unused for a
 * whole lifetime is reassigned to another target.
 */
static struct msg_id_space *find_space(struct entry *entry, uint64_t target)
{
	uint64_t home = hash_u64(target, 0);
	struct msg_id_space *unused = NULL;

	for (uint32_t n = 0; n < ID_PROBES_MAX; n++) {
		struct msg_id_space *s =
			&entry->msg_ids[(home + n) % ID_TARGETS_MAX];

		if (s->target == target)
			return s;
		if (!unused && space_is_reusable(s, entry->now_ns))
			unused = s;
	}
	if (!unused)
		return NULL;
	memset(unused, 0, sizeof(*unused));
	unused->target = target;
	unused->next_id = (uint16_t)rng_next(&entry->rng);
	return unused;
}

/**
 * msg_id_next() - allocate a message ID towards a target
 * @entry: state of this entry
 * @target: address of the target
 * @id: set to the ID; unchanged on failure
 *
 * Return: false when the next IDs are too recent to be reused, or no ID space
 * is free; the target accepts no more messages from this entry for now.
 */
bool msg_id_next(struct entry *entry, uint64_t target, uint16_t *id)
{
	struct msg_id_space *s = find_space(entry, target);
	uint16_t next;
	uint32_t block;

	if (!s)
		return false;
	next = s->next_id;
	block = next >> ID_BLOCK_SHIFT;
	if ((next & ((1 << ID_BLOCK_SHIFT) - 1)) == 0 &&
	    s->block_used_ns[block] &&
	    s->block_used_ns[block] + ID_LIFETIME_NS > entry->now_ns)
		return false;
	s->block_used_ns[block] = entry->now_ns;
	s->last_ns = entry->now_ns;
	*id = next;
	s->next_id = (uint16_t)(next + 1);
	return true;
}
