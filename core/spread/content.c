#include "content.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

static int item_compare(const struct item *a, const struct item *b)
{
	uint32_t common =
		a->size_bytes < b->size_bytes ? a->size_bytes : b->size_bytes;
	int order = common ? memcmp(a->data, b->data, common) : 0;

	if (order)
		return order;
	return (a->size_bytes > b->size_bytes) -
	       (a->size_bytes < b->size_bytes);
}

static int compare_items(const void *a, const void *b)
{
	return item_compare(a, b);
}

static uint64_t content_hash(const struct content *c)
{
	uint64_t hash = c->n;

	for (uint32_t i = 0; i < c->n; i++)
		hash = XXH3_64bits_withSeed(c->items[i].data,
					    c->items[i].size_bytes, hash);
	return hash;
}

/**
 * content_new() - make a content of copies of items
 * @items: items in any order; duplicates are dropped
 * @n: their number
 *
 * Return: content, to be freed with content_free(); NULL when memory is short.
 */
struct content *content_new(const struct item *items, uint32_t n)
{
	struct item *sorted = malloc((n ? n : 1) * sizeof(*sorted));
	size_t size_bytes = 0;
	struct content *c;
	uint8_t *bytes;

	if (!sorted)
		return NULL;
	if (n)
		memcpy(sorted, items, n * sizeof(*sorted));
	qsort(sorted, n, sizeof(*sorted), compare_items);
	for (uint32_t i = 0; i < n; i++)
		size_bytes += sorted[i].size_bytes;
	c = malloc(sizeof(*c) + n * sizeof(*sorted) + size_bytes);
	if (!c) {
		free(sorted);
		return NULL;
	}
	bytes = (uint8_t *)&c->items[n];
	c->n = 0;
	c->size_bytes = 0;
	for (uint32_t i = 0; i < n; i++) {
		if (i && !item_compare(&sorted[i - 1], &sorted[i]))
			continue;
		memcpy(bytes, sorted[i].data, sorted[i].size_bytes);
		c->items[c->n].data = bytes;
		c->items[c->n++].size_bytes = sorted[i].size_bytes;
		c->size_bytes += sorted[i].size_bytes;
		bytes += sorted[i].size_bytes;
	}
	c->hash = content_hash(c);
	free(sorted);
	return c;
}

void content_free(struct content *c)
{
	free(c);
}

/**
 * content_diff() - compute the delta from one content to another
 * @from: base; NULL is the empty content
 * @to: new content; must outlive @out, whose added items point into it
 * @out: delta, to be cleared with delta_clear()
 *
 * Return: 0 or -ENOMEM.
 */
int content_diff(const struct content *from, const struct content *to,
		 struct delta *out)
{
	uint32_t n_from = from ? from->n : 0;
	uint32_t i = 0, j = 0;

	*out = (struct delta){ 0 };
	out->removed = malloc((n_from + 1) * sizeof(*out->removed));
	out->added = malloc((to->n + 1) * sizeof(*out->added));
	if (!out->removed || !out->added) {
		delta_clear(out);
		return -ENOMEM;
	}
	while (i < n_from || j < to->n) {
		int order = i == n_from	 ? 1
			    : j == to->n ? -1
					 : item_compare(&from->items[i],
							&to->items[j]);

		if (order < 0)
			out->removed[out->n_removed++] = i;
		if (order > 0)
			out->added[out->n_added++] = to->items[j];
		i += order <= 0;
		j += order >= 0;
	}
	return 0;
}

void delta_clear(struct delta *d)
{
	free(d->removed);
	free(d->added);
	*d = (struct delta){ 0 };
}

/**
 * content_patch() - apply a delta
 * @from: base; NULL is the empty content
 * @d: delta, possibly malformed or for another base
 *
 * The caller compares the hash of the result with the expected one.
 *
 * Return: new content; NULL when memory is short or @d does not fit the base.
 */
struct content *content_patch(const struct content *from, const struct delta *d)
{
	uint32_t n_from = from ? from->n : 0;
	uint32_t n = 0, r = 0;
	struct content *c;
	struct item *items;

	if (d->n_removed > n_from || d->n_added > CONTENT_ITEMS_MAX)
		return NULL;
	items = malloc((n_from + d->n_added + 1) * sizeof(*items));
	if (!items)
		return NULL;
	for (uint32_t i = 0; i < n_from; i++) {
		if (r < d->n_removed && d->removed[r] == i)
			r++;
		else
			items[n++] = from->items[i];
	}
	if (r != d->n_removed) {
		free(items);
		return NULL;
	}
	for (uint32_t i = 0; i < d->n_added; i++)
		items[n++] = d->added[i];
	c = content_new(items, n);
	free(items);
	return c;
}
