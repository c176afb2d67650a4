/* Every mistake of a document, gathered before any is printed. */
#ifndef CB_MISTAKES_H
#define CB_MISTAKES_H

#include <stdint.h>
#include <stdio.h>

/**
 * struct mistake - one mistake: where, what was found, what was expected
 * @document: file or platform key
 * @line: line from 1, 0 when it has none
 * @key: dotted key
 * @problem: what is wrong
 * @expected: what would be right
 * @warning: may stand, but the operator is told
 */
struct mistake {
	char document[128];
	uint32_t line;
	char key[128];
	char problem[160];
	char expected[128];
	uint8_t warning;
};

struct mistakes {
	struct mistake *list;
	uint32_t n;
	uint32_t n_errors;
	uint32_t capacity;
};

void mistake_add(struct mistakes *m, const char *document, uint32_t line,
		 const char *key, const char *problem, const char *expected);
void mistake_warn(struct mistakes *m, const char *document, uint32_t line,
		  const char *key, const char *problem, const char *expected);
void mistakes_print(const struct mistakes *m, FILE *to);
void mistakes_free(struct mistakes *m);

#endif
