/* Fields of a decoded msgpack array. */
#ifndef CB_MSGPACK_FIELDS_H
#define CB_MSGPACK_FIELDS_H

#include "types.h"

#include <msgpack.h>

/**
 * msgpack_number() - a whole number from 0
 * @o: field
 * @max: greatest that is taken
 * @out: set to it
 *
 * Return: whether it is one.
 */
static inline bool msgpack_number(const msgpack_object *o, uint64_t max,
				  uint64_t *out)
{
	if (o->type != MSGPACK_OBJECT_POSITIVE_INTEGER || o->via.u64 > max)
		return false;
	*out = o->via.u64;
	return true;
}

/**
 * msgpack_list() - a list
 * @o: field
 * @max: most items that are taken
 *
 * Return: whether it is one.
 */
static inline bool msgpack_list(const msgpack_object *o, uint32_t max)
{
	return o->type == MSGPACK_OBJECT_ARRAY && o->via.array.size <= max;
}

#endif
