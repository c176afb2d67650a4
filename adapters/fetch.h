/* Blocking HTTP GET on libcurl, for command line tools. */
#ifndef CB_FETCH_H
#define CB_FETCH_H

#include "types.h"

#include <glib.h>

/* At least CURL_ERROR_SIZE. */
#define FETCH_ERROR_BYTES 256

int fetch(const char *url, uint32_t timeout_ms, GString *body,
	  char error[FETCH_ERROR_BYTES]);

#endif
