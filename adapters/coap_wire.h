/*
 * Parses CoAP datagrams into the core's messages and encodes the core's actions
 * as CoAP datagrams, with libcoap.
 */
#ifndef CB_COAP_WIRE_H
#define CB_COAP_WIRE_H

#include "entry.h"

/*
 * Options of our own, numbered in the range for experiments (RFC 7252).
 * Timeout: how long the caller will wait for the answer, in milliseconds.
 * Load: running requests, waiting requests and connections of a target, each in
 * 16 bits.
 */
#define OPTION_TIMEOUT 65000
#define OPTION_LOAD 65004

int coap_wire_parse(const uint8_t *buf, uint32_t size_bytes,
		    struct message *msg);
int32_t coap_wire_rewrite(const struct action *a, uint8_t *buf,
			  uint32_t cap_bytes);
int32_t coap_wire_local_answer(const struct action *a, uint8_t *buf,
			       uint32_t cap_bytes);
int32_t coap_wire_empty(uint8_t type, uint16_t id, uint8_t *buf,
			uint32_t cap_bytes);
int32_t coap_wire_cancel(const struct action *a, uint8_t *buf,
			 uint32_t cap_bytes);
int32_t coap_wire_load_poll(uint16_t id, uint8_t *buf, uint32_t cap_bytes);
bool coap_wire_parse_load(const uint8_t *buf, uint32_t size_bytes,
			  struct load_report *out);

#endif
