/* JSON output: lists of mistakes, and the closing line. */
#include "cbctl.h"

#include <stdio.h>

/**
 * json_mistakes() - append mistakes to the JSON object that is open
 * @json: JSON text
 * @mistakes: mistakes; their counts and list become members of the object
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
 * json_print_and_free() - print JSON as one line on standard output
 * @json: JSON text; freed
 */
void json_print_and_free(GString *json)
{
	puts(json->str);
	g_string_free(json, TRUE);
}

/**
 * json_finish() - print JSON as one line if --json was given, free it always
 * @args: arguments of the command
 * @json: JSON text; freed
 */
void json_finish(const struct command_args *args, GString *json)
{
	if (args->json)
		puts(json->str);
	g_string_free(json, TRUE);
}
