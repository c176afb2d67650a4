#include "evacuations.h"

#include <errno.h>
#include <string.h>

static struct evacuation *find(struct evacuations *e, const char *name)
{
	for (uint32_t i = 0; i < e->n; i++)
		if (!strcmp(e->all[i].name, name))
			return &e->all[i];
	return NULL;
}

/**
 * evacuations_begin() - a data centre is evacuated from now on
 * @e: evacuations
 * @name: its name; one that no target has evacuates nothing
 *
 * Return: 0; -EALREADY when it is; -ENAMETOOLONG; -ENOSPC when too many are.
 */
int evacuations_begin(struct evacuations *e, const char *name)
{
	struct evacuation *at = &e->all[e->n];
	size_t n = strnlen(name, NAME_MAX_BYTES);

	if (n == NAME_MAX_BYTES)
		return -ENAMETOOLONG;
	if (find(e, name))
		return -EALREADY;
	if (e->n == EVACUATIONS_MAX)
		return -ENOSPC;
	memcpy(at->name, name, n + 1);
	at->zone = (uint32_t)hash_text(name);
	e->n++;
	return 0;
}

/**
 * evacuations_end() - a data centre may be used again
 * @e: evacuations
 * @name: its name
 *
 * Return: 0; -EALREADY when it was not evacuated.
 */
int evacuations_end(struct evacuations *e, const char *name)
{
	struct evacuation *at = find(e, name);

	if (!at)
		return -EALREADY;
	*at = e->all[--e->n];
	return 0;
}
