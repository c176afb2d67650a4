#include "mistakes.h"

#include <glib.h>

static void put(struct mistakes *m, const char *document, uint32_t line,
		const char *key, const char *problem, const char *expected,
		uint8_t warning)
{
	struct mistake *x;

	if (m->n == m->capacity) {
		m->capacity = m->capacity ? m->capacity * 2 : 8;
		m->list = g_renew(struct mistake, m->list, m->capacity);
	}
	x = &m->list[m->n++];
	g_strlcpy(x->document, document, sizeof(x->document));
	g_strlcpy(x->key, key, sizeof(x->key));
	g_strlcpy(x->problem, problem, sizeof(x->problem));
	g_strlcpy(x->expected, expected, sizeof(x->expected));
	x->line = line;
	x->warning = warning;
	if (!warning)
		m->n_errors++;
}

/**
 * mistake_add() - note an error
 * @m: where to
 * @document: file or platform key
 * @line: line from 1, 0 when it has none
 * @key: dotted key
 * @problem: what is wrong
 * @expected: what would be right
 */
void mistake_add(struct mistakes *m, const char *document, uint32_t line,
		 const char *key, const char *problem, const char *expected)
{
	put(m, document, line, key, problem, expected, 0);
}

/**
 * mistake_warn() - note what may stand but the operator should know
 * @m: where to
 * @document: file or platform key
 * @line: line from 1, 0 when it has none
 * @key: dotted key
 * @problem: what will happen
 * @expected: what would avoid it
 */
void mistake_warn(struct mistakes *m, const char *document, uint32_t line,
		  const char *key, const char *problem, const char *expected)
{
	put(m, document, line, key, problem, expected, 1);
}

/**
 * mistakes_print() - one line each: DOCUMENT:LINE: KIND: KEY: PROBLEM; EXPECTED
 * @m: mistakes
 * @to: stream
 */
void mistakes_print(const struct mistakes *m, FILE *to)
{
	for (uint32_t i = 0; i < m->n; i++) {
		const struct mistake *x = &m->list[i];

		fprintf(to, "%s:%u: %s: ", x->document, x->line,
			x->warning ? "warning" : "error");
		if (x->key[0])
			fprintf(to, "%s: ", x->key);
		fprintf(to, "%s; expected %s\n", x->problem, x->expected);
	}
}

/**
 * mistakes_free() - free the list and empty it
 * @m: mistakes
 */
void mistakes_free(struct mistakes *m)
{
	g_free(m->list);
	*m = (struct mistakes){ 0 };
}
