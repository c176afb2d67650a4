/* Accessors for the fields of a decoded msgpack array. */
#ifndef CB_MSGPACK_FIELDS_H
#define CB_MSGPACK_FIELDS_H

#include "types.h"

#include <msgpack.h>

/**
 * msgpack_get_uint() - read an unsigned integer
 * @object: field
 * @max: upper bound, inclusive
 * @out: set to the value; unchanged when false is returned
 *
 * Return: whether @object is an unsigned integer of at most @max.
 */
static inline bool msgpack_get_uint(const msgpack_object *object, uint64_t max,
				    uint64_t *out)
{
	if (object->type != MSGPACK_OBJECT_POSITIVE_INTEGER ||
	    object->via.u64 > max)
		return false;
	*out = object->via.u64;
	return true;
}

/**
 * msgpack_is_array() - test for an array of bounded size
 * @object: field
 * @max: maximum number of elements
 *
 * Return: whether @object is an array of at most @max elements.
 */
static inline bool msgpack_is_array(const msgpack_object *object, uint32_t max)
{
	return object->type == MSGPACK_OBJECT_ARRAY &&
	       object->via.array.size <= max;
}

#endif
