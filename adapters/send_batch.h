/* Datagrams that are sent with one system call. */
#ifndef CB_SEND_BATCH_H
#define CB_SEND_BATCH_H

#include "platform_port.h"

#define DATAGRAM_BATCH 64

/**
 * struct send_batch - outgoing datagrams
 * @n: number of datagrams
 * @to: their destinations
 * @head: first part of each, copied
 * @head_bytes: size of each first part
 * @data: second part of each, not copied
 * @data_bytes: size of each second part, 0 for none
 */
struct send_batch {
	uint32_t n;
	uint64_t to[DATAGRAM_BATCH];
	uint8_t head[DATAGRAM_BATCH][RESET_MAX_BYTES];
	uint32_t head_bytes[DATAGRAM_BATCH];
	const uint8_t *data[DATAGRAM_BATCH];
	uint32_t data_bytes[DATAGRAM_BATCH];
};

uint32_t send_batch_flush(int fd, struct send_batch *batch);

#endif
