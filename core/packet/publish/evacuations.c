#include "evacuations.h"

#include <errno.h>
#include <string.h>

static struct evacuation *find(struct evacuations *evacuations,
			       const char *name)
{
	for (uint32_t i = 0; i < evacuations->n; i++)
		if (!strcmp(evacuations->all[i].name, name))
			return &evacuations->all[i];
	return NULL;
}

/**
 * evacuations_begin() - evacuate a data centre
 * @evacuations: set of evacuated data centres
 * @name: name of the data centre; one that no target has is accepted as well
 *
 * Return: 0; -EALREADY when it is evacuated already; -ENAMETOOLONG when the
 * name takes NAME_MAX_BYTES or more; -ENOSPC when EVACUATIONS_MAX are
 * evacuated.
 */
int evacuations_begin(struct evacuations *evacuations, const char *name)
{
	struct evacuation *at = &evacuations->all[evacuations->n];
	size_t n = strnlen(name, NAME_MAX_BYTES);

	if (n == NAME_MAX_BYTES)
		return -ENAMETOOLONG;
	if (find(evacuations, name))
		return -EALREADY;
	if (evacuations->n == EVACUATIONS_MAX)
		return -ENOSPC;
	memcpy(at->name, name, n + 1);
	at->zone = (uint32_t)hash_text(name);
	evacuations->n++;
	return 0;
}

/**
 * evacuations_end() - end the evacuation of a data centre
 * @evacuations: set of evacuated data centres
 * @name: name of the data centre
 *
 * Return: 0; -EALREADY when it was not evacuated.
 */
int evacuations_end(struct evacuations *evacuations, const char *name)
{
	struct evacuation *at = find(evacuations, name);

	if (!at)
		return -EALREADY;
	*at = evacuations->all[--evacuations->n];
	return 0;
}
