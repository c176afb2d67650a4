/*
 * What waits for this VM's own link.
 *
 * The load that this is for: a client sends sixteen packets of an upload at
 * once, and a link of a few Mbit/s takes longer for them than it keeps packets:
 * most are lost, all are repeated, and the requests of others behind them wait
 * or are lost too. Here packets are handed to the link as fast as it carries
 * them, the urgent ones first, and a repeat whose first copy still waits goes
 * no further.
 */
#ifndef CB_PACER_H
#define CB_PACER_H

#include "packet.h"
#include "policy.h"

/* An envelope and the largest packet. */
#define DATAGRAM_ROOM_BYTES 1280

/**
 * enum pacer_class - which packets go first
 * @PACER_CONTROL: no data: handshakes, acknowledgements, resets
 * @PACER_REQUEST: short requests
 * @PACER_BULK: uploads
 */
enum pacer_class { PACER_CONTROL, PACER_REQUEST, PACER_BULK, PACER_CLASSES };

/**
 * struct datagram - one on its way out, in two parts
 * @to: its destination
 * @name: the same for each copy of it; 0 when it has none
 * @head: first part
 * @head_bytes: its size
 * @data: second part
 * @data_bytes: its size
 */
struct datagram {
	uint64_t to;
	uint64_t name;
	const uint8_t *head;
	uint32_t head_bytes;
	const uint8_t *data;
	uint32_t data_bytes;
};

struct pacer;

struct pacer *pacer_new(const struct policy *policy, uint64_t link_bytes_per_s);
void pacer_free(struct pacer *p);
enum pacer_class pacer_class_of(const struct packet *k, uint8_t route_kind);
uint64_t pacer_name(const struct packet *k);
bool pacer_passes(struct pacer *p, enum pacer_class c, uint32_t n_bytes,
		  uint64_t now_ns);
int pacer_hold(struct pacer *p, enum pacer_class c, const struct datagram *d);
bool pacer_next(struct pacer *p, uint64_t now_ns, struct datagram *out);
void pacer_spent(struct pacer *p, uint32_t n_bytes, uint64_t now_ns);
uint64_t pacer_due_ns(const struct pacer *p);
uint64_t pacer_wait_ns(const struct pacer *p, enum pacer_class c,
		       uint64_t now_ns);
uint32_t pacer_waiting(const struct pacer *p);

#endif
