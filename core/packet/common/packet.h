/*
 * A packet of an opaque flow, as the decisions see it. The bytes it carries
 * are never read.
 */
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
 * struct packet - head of one packet from a client
 * @flow: client's endpoint and the VIP it sends to
 * @cookie: routing cookie that the client returned; 0 when it has none yet
 * @seq: first byte that the packet carries
 * @ack: next byte that the client expects; in a SYN, copies sent before it
 * @size_bytes: bytes carried
 * @flags: enum packet_flag
 * @bytes: the whole packet as it came
 * @n_bytes: its size
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
