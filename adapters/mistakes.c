#include "mistakes.h"

#include <glib.h>

static void append(struct mistakes *mistakes, const char *document,
		   uint32_t line, const char *key, const char *problem,
		   const char *expected, uint8_t is_warning)
{
	struct mistake *mistake;

	if (mistakes->n == mistakes->capacity) {
		mistakes->capacity =
			mistakes->capacity ? mistakes->capacity * 2 : 8;
		mistakes->list = g_renew(struct mistake, mistakes->list,
					 mistakes->capacity);
	}
	mistake = &mistakes->list[mistakes->n++];
	g_strlcpy(mistake->document, document, sizeof(mistake->document));
	g_strlcpy(mistake->key, key, sizeof(mistake->key));
	g_strlcpy(mistake->problem, problem, sizeof(mistake->problem));
	g_strlcpy(mistake->expected, expected, sizeof(mistake->expected));
	mistake->line = line;
	mistake->is_warning = is_warning;
	if (!is_warning)
		mistakes->n_errors++;
}

/**
 * mistake_add() - append an error
 * @mistakes: list
 * @document: file or key of the platform
 * @line: line from 1; 0 when there is none
 * @key: dotted key, or ""
 * @problem: what is wrong
 * @expected: what would be valid
 *
 * Texts that exceed the fields of struct mistake are cut.
 */
void mistake_add(struct mistakes *mistakes, const char *document, uint32_t line,
		 const char *key, const char *problem, const char *expected)
{
	append(mistakes, document, line, key, problem, expected, 0);
}

/**
 * mistake_add_warning() - append a warning: the document is valid, with an
 *	effect that the operator may not want
 * @mistakes: list
 * @document: file or key of the platform
 * @line: line from 1; 0 when there is none
 * @key: dotted key, or ""
 * @problem: the effect
 * @expected: what would avoid it
 */
void mistake_add_warning(struct mistakes *mistakes, const char *document,
			 uint32_t line, const char *key, const char *problem,
			 const char *expected)
{
	append(mistakes, document, line, key, problem, expected, 1);
}

/**
 * mistakes_print() - print a list, a line each: DOCUMENT:LINE: KIND: KEY:
 *	PROBLEM; expected EXPECTED
 * @mistakes: list
 * @out: stream
 */
void mistakes_print(const struct mistakes *mistakes, FILE *out)
{
	for (uint32_t i = 0; i < mistakes->n; i++) {
		const struct mistake *mistake = &mistakes->list[i];

		fprintf(out, "%s:%u: %s: ", mistake->document, mistake->line,
			mistake->is_warning ? "warning" : "error");
		if (mistake->key[0])
			fprintf(out, "%s: ", mistake->key);
		fprintf(out, "%s; expected %s\n", mistake->problem,
			mistake->expected);
	}
}

/**
 * mistakes_free() - free a list
 * @mistakes: list; empty afterwards
 */
void mistakes_free(struct mistakes *mistakes)
{
	g_free(mistakes->list);
	*mistakes = (struct mistakes){ 0 };
}
