/* The plain lines of /status, /flows and /explain as JSON. */
#ifndef CB_LINES_JSON_H
#define CB_LINES_JSON_H

#include "json_text.h"

void lines_json(GString *to, const char *body);

#endif
