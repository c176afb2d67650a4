/* Header fields of a packet of an opaque flow. Its payload is never parsed. */
#ifndef CB_PACKET_H
#define CB_PACKET_H

#include "types.h"

enum packet_flag {
	PACKET_SYN = 1,
	PACKET_ACK = 2,
	PACKET_FIN = 4,
	PACKET_RST = 8,
};

/**
 * struct packet - one packet from a client
 * @flow: endpoint of the client and the VIP that it sends to
 * @cookie: routing cookie that the client echoes; 0 before it has received one
 * @seq: sequence number of the first payload byte
 * @ack: sequence number that the client expects next; in a SYN, the number of
 *	copies of it that were sent before
 * @size_bytes: size of the payload
 * @flags: bit set of enum packet_flag
 * @bytes: whole packet with its headers, as received; not owned
 * @n_bytes: size of @bytes
 */
struct packet {
	struct flow_key flow;
	uint32_t cookie;
	uint32_t seq;
	uint32_t ack;
	uint16_t size_bytes;
	uint8_t flags;
	const uint8_t *bytes;
	uint32_t n_bytes;
};

#endif
