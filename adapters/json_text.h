/*
 * Writes JSON without line breaks. Whether a comma is needed follows from the
 * last character written, so there is no state besides the text.
 */
#ifndef CB_JSON_TEXT_H
#define CB_JSON_TEXT_H

#include "types.h"

#include <glib.h>

void json_open(GString *out, const char *key, char bracket);
void json_close(GString *out, char bracket);
void json_string(GString *out, const char *key, const char *value);
void json_number(GString *out, const char *key, uint64_t value);
void json_bool(GString *out, const char *key, bool value);

#endif
