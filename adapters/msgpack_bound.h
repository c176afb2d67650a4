/* A look at msgpack bytes before the library allocates for them. */
#ifndef CB_MSGPACK_BOUND_H
#define CB_MSGPACK_BOUND_H

#include "types.h"

/**
 * msgpack_bound() - whether a value claims no more than its bytes can hold
 * @buf: one msgpack value
 * @size_bytes: its size
 *
 * msgpack-c allocates room for an array or map as its header claims it: a
 * frame of a few bytes could ask for 64 GB. One would see the process killed
 * for memory. Arrays may nest as deep as our messages do, maps are not used.
 *
 * Return: 0, or -EPROTO.
 */
int msgpack_bound(const uint8_t *buf, uint32_t size_bytes);

#endif
