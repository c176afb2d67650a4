/* Settings of the programs, read from TOML and wholly checked. */
#ifndef CB_SETTINGS_H
#define CB_SETTINGS_H

#include "mistakes.h"
#include "types.h"

#define KEY_BYTES 32

enum callers_mode { CALLERS_FABRIC, CALLERS_DIRECT };
enum log_format { LOG_TEXT, LOG_JSON };

struct log_settings {
	char level[16];
	uint8_t format;
};

/* docs/PROTOCOLS.md names every key; durations are whole milliseconds. */
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
			struct mistakes *m);
int watch_settings_read(const char *path, struct watch_settings *out,
			struct mistakes *m);
int addr_parse(const char *text, uint64_t *addr);
const char *addr_text(uint64_t addr, char *buf, size_t size_bytes);

#endif
