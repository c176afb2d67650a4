/* Targets by routing cookie; a few have the same one. */
#include "directory_impl.h"

#include "index.h"

#define COOKIE_SEED 0x636f6f6b6965ULL

/**
 * target_cookie() - routing cookie of a target
 * @id: its id
 *
 * An id is longer than the 32 bits that a packet carries, so the cookie is a
 * hash of it; every entry computes the same.
 *
 * Return: cookie, never 0.
 */
uint32_t target_cookie(uint64_t id)
{
	uint32_t cookie = (uint32_t)hash_u64(id, COOKIE_SEED);

	return cookie ? cookie : 1;
}

/* Who started first; where that is not told, whose entry was created first. */
bool target_older(const struct target *a, const struct target *b)
{
	if (a->news.started_ms != b->news.started_ms)
		return a->news.started_ms < b->news.started_ms;
	if (position_compare(a->news.created, b->news.created))
		return position_after(b->news.created, a->news.created);
	return a->news.id < b->news.id;
}

/* Put @t among the targets of its cookie, the oldest first. */
void cookie_add(struct directory *d, struct target *t)
{
	uint32_t head = index_get(d->by_cookie, t->cookie);
	struct target **at, *first;

	if (head == INDEX_NONE) {
		index_put(d->by_cookie, t->cookie, t->slot);
		return;
	}
	first = d->slots[head];
	at = &first;
	while (*at && target_older(*at, t))
		at = &(*at)->twin;
	t->twin = *at;
	*at = t;
	if (first->slot != head) {
		index_del(d->by_cookie, t->cookie, head);
		index_put(d->by_cookie, t->cookie, first->slot);
	}
}

void cookie_remove(struct directory *d, struct target *t)
{
	uint32_t head = index_get(d->by_cookie, t->cookie);
	struct target **at, *first = d->slots[head];

	at = &first;
	while (*at && *at != t)
		at = &(*at)->twin;
	if (*at)
		*at = t->twin;
	t->twin = NULL;
	index_del(d->by_cookie, t->cookie, head);
	if (first)
		index_put(d->by_cookie, t->cookie, first->slot);
}

/* @t moves to another slot of the directory, which still has its old number. */
void cookie_renumber(struct directory *d, struct target *t, uint32_t slot)
{
	if (index_get(d->by_cookie, t->cookie) != t->slot)
		return;
	index_del(d->by_cookie, t->cookie, t->slot);
	index_put(d->by_cookie, t->cookie, slot);
}

/**
 * directory_by_cookie() - target that a cookie names
 * @d: directory
 * @cookie: cookie
 *
 * Of several targets with one cookie it is the oldest, which all entries see
 * alike; place_target() gives the others no flows.
 *
 * Return: target, or NULL.
 */
struct target *directory_by_cookie(const struct directory *d, uint32_t cookie)
{
	uint32_t slot = index_get(d->by_cookie, cookie);

	return slot == INDEX_NONE ? NULL : d->slots[slot];
}
