/* Lookup of targets by routing cookie; several targets may share a cookie. */
#include "directory_impl.h"

#include "index.h"

#define COOKIE_SEED 0x636f6f6b6965ULL

/**
 * target_cookie() - routing cookie of a target
 * @id: id of the target
 *
 * An id is longer than the 32 bits that a packet carries, so the cookie is a
 * hash of it, the same at every entry.
 *
 * Return: cookie, never 0.
 */
uint32_t target_cookie(uint64_t id)
{
	uint32_t cookie = (uint32_t)hash_u64(id, COOKIE_SEED);

	return cookie ? cookie : 1;
}

/*
 * Orders targets by the start of their process, then by creation of their
 * record, then by id. A target without a start time sorts as the oldest.
 */
bool target_is_older(const struct target *a, const struct target *b)
{
	if (a->advertised.started_ms != b->advertised.started_ms)
		return a->advertised.started_ms < b->advertised.started_ms;
	if (position_compare(a->advertised.created, b->advertised.created))
		return position_after(b->advertised.created,
				      a->advertised.created);
	return a->advertised.id < b->advertised.id;
}

/* Inserts @t into the list of targets with its cookie, sorted oldest first. */
void cookie_add(struct directory *d, struct target *t)
{
	uint32_t head = index_get(d->by_cookie, t->cookie);
	struct target **at, *first;

	if (head == INDEX_NONE) {
		index_put(d->by_cookie, t->cookie, t->index);
		return;
	}
	first = d->targets[head];
	at = &first;
	while (*at && target_is_older(*at, t))
		at = &(*at)->next_same_cookie;
	t->next_same_cookie = *at;
	*at = t;
	if (first->index != head) {
		index_del(d->by_cookie, t->cookie, head);
		index_put(d->by_cookie, t->cookie, first->index);
	}
}

void cookie_remove(struct directory *d, struct target *t)
{
	uint32_t head = index_get(d->by_cookie, t->cookie);
	struct target **at, *first = d->targets[head];

	at = &first;
	while (*at && *at != t)
		at = &(*at)->next_same_cookie;
	if (*at)
		*at = t->next_same_cookie;
	t->next_same_cookie = NULL;
	index_del(d->by_cookie, t->cookie, head);
	if (first)
		index_put(d->by_cookie, t->cookie, first->index);
}

/* Points the cookie of @t at @index; the caller sets t->index afterwards. */
void cookie_set_index(struct directory *d, struct target *t, uint32_t index)
{
	if (index_get(d->by_cookie, t->cookie) != t->index)
		return;
	index_del(d->by_cookie, t->cookie, t->index);
	index_put(d->by_cookie, t->cookie, index);
}

/**
 * directory_by_cookie() - find the target of a routing cookie
 * @d: directory
 * @cookie: cookie of a packet
 *
 * When several targets have the cookie, it stands for the oldest of them, which
 * is the same one at every entry; assign_target() gives the others no flows.
 *
 * Return: target, or NULL.
 */
struct target *directory_by_cookie(const struct directory *d, uint32_t cookie)
{
	uint32_t i = index_get(d->by_cookie, cookie);

	return i == INDEX_NONE ? NULL : d->targets[i];
}
