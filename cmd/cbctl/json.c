/* Mistakes as JSON, and a line of JSON to standard output. */
#include "cbctl.h"

#include <stdio.h>

/**
 * mistakes_json() - write mistakes as members of the object that is open
 * @to: JSON
 * @m: mistakes
 */
void mistakes_json(GString *to, const struct mistakes *m)
{
	json_number(to, "errors", m->n_errors);
	json_number(to, "warnings", m->n - m->n_errors);
	json_open(to, "mistakes", '[');
	for (uint32_t i = 0; i < m->n; i++) {
		const struct mistake *x = &m->list[i];

		json_open(to, NULL, '{');
		json_string(to, "document", x->document);
		json_number(to, "line", x->line);
		json_string(to, "key", x->key);
		json_string(to, "problem", x->problem);
		json_string(to, "expected", x->expected);
		json_bool(to, "warning", x->is_warning);
		json_close(to, '}');
	}
	json_close(to, ']');
}

/**
 * print_json() - write a line and free it
 * @json: JSON
 */
void print_json(GString *json)
{
	puts(json->str);
	g_string_free(json, TRUE);
}

/**
 * finish_json() - print a line of JSON if it was asked for, and free it
 * @r: command line
 * @json: JSON
 */
void finish_json(const struct request *r, GString *json)
{
	if (r->json)
		puts(json->str);
	g_string_free(json, TRUE);
}
