/*
 * Round trip time of connection attempts and the probe timeout derived from it.
 *
 * While a large document arrives over a narrow link, answers queue behind it.
 * With a fixed timeout the targets would look silent in turn.
 */
#ifndef CB_CONNECT_RTT_H
#define CB_CONNECT_RTT_H

#include "policy.h"

/**
 * struct connect_rtt - longest recent round trip
 * @longest_ns: its duration
 * @recorded_ns: when it was recorded; 0 for never
 */
struct connect_rtt {
	uint64_t longest_ns;
	uint64_t recorded_ns;
};

void connect_rtt_record(struct connect_rtt *r, uint64_t rtt_ns,
			uint64_t now_ns);
uint64_t connect_rtt_timeout_ns(const struct connect_rtt *r,
				const struct policy *policy, uint64_t now_ns);

#endif
