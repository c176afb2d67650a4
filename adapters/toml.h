/*
 * TOML documents as a C tree with line numbers; toml11 parses. Debian packages
 * no TOML parser for C, so this one adapter is C++ inside.
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
 * struct toml_node - a value
 * @kind: enum toml_kind
 * @document: name given to toml_read(); not a copy
 * @line: line from 1
 * @key: name in its table; empty for an array's item and for the root
 * @text: a string's text, else NULL
 * @number: an integer, or 0 or 1 of a bool
 * @decimal: a number with a fraction
 * @items: a table's values sorted by key, or an array's in order
 * @n_items: how many
 * @taken: for the reader's own use; 0 at first
 */
struct toml_node {
	uint8_t kind;
	uint8_t taken;
	uint32_t line;
	const char *document;
	char *key;
	char *text;
	int64_t number;
	double decimal;
	struct toml_node *items;
	uint32_t n_items;
};

struct toml_node *toml_read(const char *document, const char *text,
			    size_t size_bytes, struct mistakes *m);
void toml_free(struct toml_node *root);
void toml_clear(struct toml_node *node);
struct toml_node *toml_find(const struct toml_node *table, const char *key);
const char *toml_kind_name(enum toml_kind kind);

#ifdef __cplusplus
}
#endif

#endif
