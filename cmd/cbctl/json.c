/* Mistakes as JSON, and a line of JSON to standard output. */
#include "cbctl.h"

#include <stdio.h>

/**
 * json_mistakes() - write mistakes as members of the object that is open
 * @json: JSON
 * @mistakes: mistakes
 */
void json_mistakes(GString *json, const struct mistakes *mistakes)
{
	json_number(json, "errors", mistakes->n_errors);
	json_number(json, "warnings", mistakes->n - mistakes->n_errors);
	json_open(json, "mistakes", '[');
	for (uint32_t i = 0; i < mistakes->n; i++) {
		const struct mistake *mistake = &mistakes->list[i];

		json_open(json, NULL, '{');
		json_string(json, "document", mistake->document);
		json_number(json, "line", mistake->line);
		json_string(json, "key", mistake->key);
		json_string(json, "problem", mistake->problem);
		json_string(json, "expected", mistake->expected);
		json_bool(json, "warning", mistake->warning);
		json_close(json, '}');
	}
	json_close(json, ']');
}

/**
 * json_print_and_free() - write a line and free it
 * @json: JSON
 */
void json_print_and_free(GString *json)
{
	puts(json->str);
	g_string_free(json, TRUE);
}

/**
 * json_finish() - print a line of JSON if it was asked for, and free it
 * @args: command line
 * @json: JSON
 */
void json_finish(const struct command_args *args, GString *json)
{
	if (args->json)
		puts(json->str);
	g_string_free(json, TRUE);
}
