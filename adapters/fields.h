/* Parses the values of a TOML table into a struct, by a table of fields. */
#ifndef CB_FIELDS_H
#define CB_FIELDS_H

#include "mistakes.h"
#include "toml.h"
#include "types.h"

#define ENDPOINT_PREFIX "tcp://"
#define DOTTED_KEY_MAX_BYTES 128

/**
 * enum field_kind - form of the value in TOML, and type of the member
 * @FIELD_NAME: letters, digits, "-", "_" and "." into an array of char
 * @FIELD_ADDR: "A.B.C.D:PORT" into uint64_t
 * @FIELD_IP: "A.B.C.D" into uint32_t
 * @FIELD_ENDPOINT: "tcp://A.B.C.D:PORT" into an array of char
 * @FIELD_URL: "http://..." or "https://..." into an array of char
 * @FIELD_KEY: hex digits into an array of bytes; secret, never printed
 * @FIELD_CHOICE: one of the choices; its index into uint8_t
 * @FIELD_WORD: one of the choices; its text into an array of char
 * @FIELD_U16: integer into uint16_t
 * @FIELD_U32: integer into uint32_t
 * @FIELD_U64: integer into uint64_t
 * @FIELD_MS: milliseconds into nanoseconds, uint64_t
 * @FIELD_SECONDS: seconds, with or without a fraction, into nanoseconds,
 *	uint64_t; its range and fallback are whole seconds
 * @FIELD_DECIMAL: a number, with or without a fraction, into double; its range
 *	and fallback are whole
 * @FIELD_BOOL: true or false into bool
 */
enum field_kind {
	FIELD_NAME,
	FIELD_ADDR,
	FIELD_IP,
	FIELD_ENDPOINT,
	FIELD_URL,
	FIELD_KEY,
	FIELD_CHOICE,
	FIELD_WORD,
	FIELD_U16,
	FIELD_U32,
	FIELD_U64,
	FIELD_MS,
	FIELD_SECONDS,
	FIELD_DECIMAL,
	FIELD_BOOL,
	FIELD_KIND_COUNT
};

/**
 * struct field - a key and the struct member for its value
 *
 * A table of fields ends with an element whose @key is NULL.
 *
 * @key: name of the key
 * @kind: enum field_kind
 * @required: report an error when the key is missing
 * @keep_if_missing: leave the member unchanged when the key is missing
 * @offset: offset of the member in its struct, in bytes
 * @size_bytes: size of the member
 * @min: smallest valid number
 * @max: largest valid number
 * @fallback: value when the key is missing: number, bool or index of the
 *	choice; text members stay unchanged
 * @choices: valid words, ends with NULL; NULL for other kinds
 */
struct field {
	const char *key;
	uint8_t kind;
	bool required;
	bool keep_if_missing;
	size_t offset;
	size_t size_bytes;
	int64_t min;
	int64_t max;
	int64_t fallback;
	const char *const *choices;
};

#define FIELD(type, name, field_kind, member, ...)                            \
	{                                                                     \
		.key = name, .kind = field_kind,                              \
		.offset = offsetof(struct type, member),                      \
		.size_bytes = sizeof(((struct type *)0)->member), __VA_ARGS__ \
	}
#define RANGE(min_value, max_value, fallback_value) \
	.min = min_value, .max = max_value, .fallback = fallback_value

void field_parse(struct mistakes *mistakes, const struct toml_node *parent,
		 const char *prefix, struct toml_node *table,
		 const struct field *field, void *out);
void fields_parse(struct mistakes *mistakes, const char *prefix,
		  struct toml_node *table, const struct field *fields,
		  void *out);
void fields_report_unknown(struct mistakes *mistakes, const char *prefix,
			   const struct toml_node *table);
void field_add_mistake(struct mistakes *mistakes, const struct toml_node *node,
		       const char *prefix, const char *key, const char *problem,
		       const char *expected);
bool field_name_is_valid(const char *text);

#endif
