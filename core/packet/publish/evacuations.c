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
 * evacuations_begin() - evacuate a data centre
 * @e: evacuations
 * @name: name of the data centre; one that no target has is accepted as well
 *
 * Return: 0; -EALREADY when it is evacuated already; -ENAMETOOLONG when the
 * name takes NAME_MAX_BYTES or more; -ENOSPC when EVACUATIONS_MAX are
 * evacuated.
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
 * evacuations_end() - end the evacuation of a data centre
 * @e: evacuations
 * @name: name of the data centre
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
