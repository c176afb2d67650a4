/* A line of our log, read back. */
#ifndef CB_LOG_ENTRY_H
#define CB_LOG_ENTRY_H

#include <stdint.h>

/**
 * struct log_entry - what a line of JSON says
 * @time_us: when, microseconds since 1970
 * @time: the same, as written
 * @step: its step, or ""
 * @peer: its peer, or ""
 * @message: its message, or ""
 */
struct log_entry {
	int64_t time_us;
	char *time;
	char *step;
	char *peer;
	char *message;
};

int log_entry_read(const char *json, struct log_entry *out);
void log_entry_clear(struct log_entry *e);

#endif
