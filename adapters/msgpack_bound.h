/* Checks the headers of msgpack bytes before msgpack-c allocates for them. */
#ifndef CB_MSGPACK_BOUND_H
#define CB_MSGPACK_BOUND_H

#include "types.h"

/**
 * msgpack_check_bounds() - check that the headers of a value fit its size
 * @buf: bytes
 * @size_bytes: number of bytes; all of them have to be one value
 *
 * msgpack-c allocates an array or map by the size in its header: a frame of a
 * few bytes could request 64 GB, and the process would be killed for lack of
 * memory. Maps, extension types and arrays nested deeper than 8 levels are
 * refused; no message contains them.
 *
 * Return: 0, or -EPROTO.
 */
int msgpack_check_bounds(const uint8_t *buf, uint32_t size_bytes);

#endif
