/*
 * Pacing of the datagrams that this VM sends over its own link.
 *
 * A client sends sixteen packets of an upload in a burst. A link of a few
 * Mbit/s takes longer to carry them than its buffer keeps them: most are lost,
 * all are retransmitted, and requests of other clients behind them are delayed
 * or lost too. The pacer hands datagrams to the link only as fast as it carries
 * them, urgent ones first, and drops a retransmission while the first copy is
 * still queued.
 */
#ifndef CB_PACER_H
#define CB_PACER_H

#include "packet.h"
#include "policy.h"

/* Size of an envelope and the largest packet. */
#define PACER_DATAGRAM_MAX_BYTES 1280

/**
 * enum pacer_class - priority of a datagram, most urgent first
 * @PACER_CONTROL: packets without data: handshakes, acknowledgements, resets
 * @PACER_REQUEST: short requests
 * @PACER_BULK: uploads
 * @PACER_CLASS_COUNT: number of classes
 */
enum pacer_class {
	PACER_CONTROL,
	PACER_REQUEST,
	PACER_BULK,
	PACER_CLASS_COUNT
};

/**
 * struct datagram - an outgoing datagram in two parts
 * @destination: opaque to the pacer, returned by pacer_dequeue()
 * @copy_id: the same for all transmissions of a packet, see pacer_copy_id(); 0
 *	for a packet that is never taken for a retransmission
 * @head: first part
 * @head_bytes: size of @head
 * @data: second part, NULL when @data_bytes is 0
 * @data_bytes: size of @data
 */
struct datagram {
	uint64_t destination;
	uint64_t copy_id;
	const uint8_t *head;
	uint32_t head_bytes;
	const uint8_t *data;
	uint32_t data_bytes;
};

struct pacer;

struct pacer *pacer_new(const struct policy *policy, uint64_t link_bytes_per_s);
void pacer_free(struct pacer *pacer);
enum pacer_class pacer_classify(const struct packet *packet,
				uint8_t route_kind);
uint64_t pacer_copy_id(const struct packet *packet);
bool pacer_try_send(struct pacer *pacer, enum pacer_class c, uint32_t n_bytes,
		    uint64_t now_ns);
int pacer_enqueue(struct pacer *pacer, enum pacer_class c,
		  const struct datagram *d);
bool pacer_dequeue(struct pacer *pacer, uint64_t now_ns, struct datagram *out);
void pacer_charge(struct pacer *pacer, uint32_t n_bytes, uint64_t now_ns);
uint64_t pacer_due_ns(const struct pacer *pacer);
uint64_t pacer_delay_ns(const struct pacer *pacer, enum pacer_class c,
			uint64_t now_ns);
uint32_t pacer_queue_length(const struct pacer *pacer);

#endif
