/*
 * Trees of TOML documents with line numbers, parsed by toml11. Debian has no
 * TOML parser for C; the implementation is therefore in C++.
 */
#ifndef CB_TOML_H
#define CB_TOML_H

#ifdef __cplusplus
extern "C" {
#endif

#include "mistakes.h"

#include <stddef.h>

enum toml_kind {
	TOML_STRING,
	TOML_INTEGER,
	TOML_DECIMAL,
	TOML_BOOL,
	TOML_TABLE,
	TOML_ARRAY,
	TOML_OTHER
};

/**
 * struct toml_node - value in a document
 * @kind: enum toml_kind
 * @consumed: set by readers when they have used the value, so that unknown keys
 *	can be reported; 0 after parsing
 * @line: line from 1
 * @document: name that was passed to toml_parse(); not a copy
 * @key: key in its table; "" for the root and for items of arrays
 * @text: text of a string, otherwise NULL
 * @number: value of an integer; 0 or 1 for a boolean
 * @decimal: value of a number with a fraction
 * @items: values of a table sorted by key, or items of an array in order; owned
 * @n_items: number of @items
 */
struct toml_node {
	uint8_t kind;
	uint8_t consumed;
	uint32_t line;
	const char *document;
	char *key;
	char *text;
	int64_t number;
	double decimal;
	struct toml_node *items;
	uint32_t n_items;
};

struct toml_node *toml_parse(const char *document, const char *text,
			     size_t size_bytes, struct mistakes *mistakes);
void toml_free(struct toml_node *root);
void toml_clear(struct toml_node *node);
struct toml_node *toml_find(const struct toml_node *table, const char *key);
const char *toml_kind_name(enum toml_kind kind);

#ifdef __cplusplus
}
#endif

#endif
