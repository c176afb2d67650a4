/* Parser for the lines that log.h writes in format "json". */
#ifndef CB_LOG_ENTRY_H
#define CB_LOG_ENTRY_H

#include <stdint.h>

/**
 * struct log_entry - parsed line of a log
 * @time_us: time, microseconds since 1970
 * @time: time as written
 * @step: step, or ""
 * @peer: peer, or ""
 * @message: message, or ""
 */
struct log_entry {
	int64_t time_us;
	char *time;
	char *step;
	char *peer;
	char *message;
};

int log_entry_parse(const char *json, struct log_entry *out);
void log_entry_clear(struct log_entry *entry);

#endif
