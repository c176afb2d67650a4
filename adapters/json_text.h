/*
 * Writes JSON on one line. A comma is put in where the text before calls for
 * one, so there is no state besides the text.
 */
#ifndef CB_JSON_TEXT_H
#define CB_JSON_TEXT_H

#include "types.h"

#include <glib.h>

void json_open(GString *to, const char *key, char bracket);
void json_close(GString *to, char bracket);
void json_string(GString *to, const char *key, const char *value);
void json_number(GString *to, const char *key, uint64_t value);
void json_bool(GString *to, const char *key, bool value);

#endif
