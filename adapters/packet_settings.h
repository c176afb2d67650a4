/* Settings of cb-packet. */
#ifndef CB_PACKET_SETTINGS_H
#define CB_PACKET_SETTINGS_H

#include "policy.h"
#include "settings.h"

#define PACKET_SEEDS_MAX 3

/**
 * struct packet_settings - settings of cb-packet; docs/PROTOCOLS.md describes
 *	each key
 * @data_centre: name of the data centre of this VM
 * @link_mbps: bandwidth of the VM's link, Mbit/s; 0 when it is unknown
 * @cold_overrun: factor on the rate of new flows to a cold target
 * @cold_slack: new flows per second to a cold target on top of that
 * @peer: endpoint for other entries, UDP; identifies this entry
 * @http: endpoint of the pages for operators
 * @listen: endpoint for the packets of clients, UDP
 * @ready: endpoint of the readiness page
 * @platform: endpoint of the platform
 * @seeds: addresses of entries that are contacted first; their ports are not
 *	used. 0 for none
 * @flows: capacity of the table of flows
 * @flow_lifetime_ns: maximum lifetime of an open flow
 * @grace_ns: time from the signal to stop until the process is killed
 * @decisions_per_s: maximum number of log lines per second about single flows
 * @policy: limits and switches of the decisions
 * @log: settings of the log
 */
struct packet_settings {
	char data_centre[NAME_MAX_BYTES];
	double link_mbps;
	double cold_overrun;
	double cold_slack;
	uint64_t peer;
	uint64_t http;
	uint64_t listen;
	uint64_t ready;
	uint64_t platform;
	uint64_t seeds[PACKET_SEEDS_MAX];
	uint32_t flows;
	uint64_t flow_lifetime_ns;
	uint64_t grace_ns;
	uint32_t decisions_per_s;
	struct policy policy;
	struct log_settings log;
};

int packet_settings_read(const char *path, struct packet_settings *out,
			 struct mistakes *mistakes);

#endif
