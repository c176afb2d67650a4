/* List of all mistakes of a document, collected before any is printed. */
#ifndef CB_MISTAKES_H
#define CB_MISTAKES_H

#include <stdint.h>
#include <stdio.h>

/**
 * struct mistake - error or warning about a document
 * @document: file or key of the platform
 * @line: line from 1; 0 when there is none
 * @key: dotted key, or ""
 * @problem: what is wrong; of a warning, the effect
 * @expected: what would be valid
 * @is_warning: 1 for a warning, which does not make the document invalid
 */
struct mistake {
	char document[128];
	uint32_t line;
	char key[128];
	char problem[160];
	char expected[128];
	uint8_t is_warning;
};

/**
 * struct mistakes - list of mistakes; starts zeroed
 * @list: array, owned
 * @n: number of errors and warnings
 * @n_errors: number of errors
 * @capacity: allocated elements of @list
 */
struct mistakes {
	struct mistake *list;
	uint32_t n;
	uint32_t n_errors;
	uint32_t capacity;
};

void mistake_add(struct mistakes *mistakes, const char *document, uint32_t line,
		 const char *key, const char *problem, const char *expected);
void mistake_add_warning(struct mistakes *mistakes, const char *document,
			 uint32_t line, const char *key, const char *problem,
			 const char *expected);
void mistakes_print(const struct mistakes *mistakes, FILE *out);
void mistakes_free(struct mistakes *mistakes);

#endif
