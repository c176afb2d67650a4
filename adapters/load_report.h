/*
 * Load of services over several cb-packet processes, summed from the lines that
 * load_append_status() writes on their status pages.
 */
#ifndef CB_LOAD_REPORT_H
#define CB_LOAD_REPORT_H

#include "types.h"

#include <glib.h>

struct load_report;

struct load_report *load_report_new(void);
void load_report_free(struct load_report *report);
bool load_report_add(struct load_report *report, const char *body);
bool load_report_is_refusing(const struct load_report *report);
void load_report_append_lines(const struct load_report *report, GString *out);
void load_report_append_json(const struct load_report *report, GString *json);

#endif
