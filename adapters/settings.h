/* Settings of cb-entry and cb-watch, read from TOML files and checked. */
#ifndef CB_SETTINGS_H
#define CB_SETTINGS_H

#include "mistakes.h"
#include "types.h"

#define KEY_BYTES 32

/**
 * enum callers_mode - how the datagrams of callers arrive
 * @CALLERS_FABRIC: from the fabric, with a PROXY header
 * @CALLERS_DIRECT: from the callers, at the VIPs, which are bound on this VM
 */
enum callers_mode { CALLERS_FABRIC, CALLERS_DIRECT };
enum log_format { LOG_TEXT, LOG_JSON };

/**
 * struct log_settings - settings of the log
 * @level: name of the highest level that is logged
 * @format: enum log_format
 */
struct log_settings {
	char level[16];
	uint8_t format;
};

/**
 * struct entry_settings - settings of cb-entry; docs/PROTOCOLS.md describes
 *	each key
 * @data_centre: name of the data centre of this VM
 * @peer: endpoint for other entries, UDP; identifies this VM
 * @http: endpoint of the pages for operators
 * @watch: endpoint of the cb-watch on this VM, tcp://IP:PORT
 * @key: shared key of the processes
 * @callers_mode: enum callers_mode
 * @callers_listen: endpoint for datagrams with a PROXY header from the fabric
 * @fabric: endpoint to which answers for callers are sent
 * @target_source_ip: source address of requests to targets; by default that of
 *	@peer
 * @requests: capacity of the table of requests
 * @feeds: capacity of the table of feeds
 * @claims: capacity of the table of claim records
 * @flows: capacity of the table of flows
 * @peer_bytes_per_s: budget for second copies and claim records
 * @probe_period_ms: time between two rounds of probes of other entries
 * @probe_timeout_ms: time to wait for an answer before other entries are asked
 *	to probe
 * @suspect_timeout_ms: time from suspicion to death of an entry
 * @lease_ms: an entry that was paused for this long has to be validated by a
 *	peer
 * @settle_ms: minimum time between two changes of the entries of a bucket
 * @cover_ms: longest time over which a caller retransmits a request
 * @claim_timeout_ms: time to wait for a grant before asking again
 * @probe_idle_ms: silence of a feed after which it is revalidated at its target
 * @drain_ms: longest duration of a planned stop
 * @log: settings of the log
 */
struct entry_settings {
	char data_centre[NAME_MAX_BYTES];
	uint64_t peer;
	uint64_t http;
	char watch[NAME_MAX_BYTES];
	uint8_t key[KEY_BYTES];
	uint8_t callers_mode;
	uint64_t callers_listen;
	uint64_t fabric;
	uint32_t target_source_ip;
	uint32_t requests;
	uint32_t feeds;
	uint32_t claims;
	uint32_t flows;
	uint32_t peer_bytes_per_s;
	uint32_t probe_period_ms;
	uint32_t probe_timeout_ms;
	uint32_t suspect_timeout_ms;
	uint32_t lease_ms;
	uint32_t settle_ms;
	uint32_t cover_ms;
	uint32_t claim_timeout_ms;
	uint32_t probe_idle_ms;
	uint32_t drain_ms;
	struct log_settings log;
};

/**
 * struct watch_settings - settings of cb-watch; docs/PROTOCOLS.md describes
 *	each key
 * @data_centre: name of the data centre of this VM
 * @peer: endpoint of the cb-entry on this VM for other entries; identifies the
 *	VM
 * @listen: endpoint for entries and other cb-watch, tcp://IP:PORT
 * @port: port on which the cb-watch of the other VMs listen
 * @http: endpoint of the pages for operators
 * @key: shared key of the processes
 * @platform_url: base URL of the platform, http://IP:PORT
 * @readers: number of VMs of a data centre that read the platform
 * @log: settings of the log
 */
struct watch_settings {
	char data_centre[NAME_MAX_BYTES];
	uint64_t peer;
	char listen[NAME_MAX_BYTES];
	uint16_t port;
	uint64_t http;
	uint8_t key[KEY_BYTES];
	char platform_url[256];
	uint32_t readers;
	struct log_settings log;
};

int entry_settings_read(const char *path, struct entry_settings *out,
			struct mistakes *mistakes);
int watch_settings_read(const char *path, struct watch_settings *out,
			struct mistakes *mistakes);
int addr_parse(const char *text, uint64_t *addr);
const char *addr_text(uint64_t addr, char *buf, size_t size_bytes);

#endif
