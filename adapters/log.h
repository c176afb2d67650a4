/* Structured log through GLib: each line has a step and optionally a peer. */
#ifndef CB_LOG_H
#define CB_LOG_H

#include "settings.h"

enum log_level { LOG_ERROR, LOG_WARNING, LOG_INFO, LOG_DEBUG };

int log_open(const char *program, const struct log_settings *settings);
uint64_t log_lost_line_count(void);
void log_line(enum log_level level, const char *step, const char *peer,
	      const char *format, ...) __attribute__((format(printf, 4, 5)));

#endif
