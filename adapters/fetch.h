/* One HTTP GET that waits for its answer, by libcurl; for operators' tools. */
#ifndef CB_FETCH_H
#define CB_FETCH_H

#include "types.h"

#include <glib.h>

#define FETCH_ERROR_BYTES 256

int fetch(const char *url, uint32_t timeout_ms, GString *body,
	  char error[FETCH_ERROR_BYTES]);

#endif
