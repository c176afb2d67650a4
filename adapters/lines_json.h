/* Converts the lines of /status, /flows and /explain to JSON. */
#ifndef CB_LINES_JSON_H
#define CB_LINES_JSON_H

#include "json_text.h"

void lines_append_json(GString *json, const char *body);

#endif
