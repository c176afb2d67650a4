/* PROXY protocol version 2 header of a datagram over IPv4. */
#ifndef CB_PROXY2_H
#define CB_PROXY2_H

#include "types.h"

#define PROXY2_BYTES 28

void proxy2_write(uint8_t buf[PROXY2_BYTES], uint64_t source,
		  uint64_t destination);
int proxy2_read(const uint8_t *buf, uint32_t size_bytes, uint64_t *source,
		uint64_t *destination);

#endif
