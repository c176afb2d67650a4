/* Checks the values of a TOML table against a table of fields. */
#ifndef CB_FIELDS_H
#define CB_FIELDS_H

#include "mistakes.h"
#include "toml.h"
#include "types.h"

#define ENDPOINT_PREFIX "tcp://"
#define DOTTED_KEY_MAX_BYTES 128

/**
 * enum field_kind - how a value is written and kept
 * @FIELD_NAME: letters, digits, "-", "_" and "."
 * @FIELD_ADDR: "A.B.C.D:PORT" into uint64_t
 * @FIELD_IP: "A.B.C.D" into uint32_t
 * @FIELD_ENDPOINT: "tcp://A.B.C.D:PORT", kept as text
 * @FIELD_URL: "http://..." or "https://...", kept as text
 * @FIELD_KEY: hex digits into bytes; its value is never printed
 * @FIELD_CHOICE: one of the choices, its index into uint8_t
 * @FIELD_WORD: one of the choices, kept as text
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
 * struct field - one key; a table of them ends with a key of NULL
 * @key: its name
 * @kind: enum field_kind
 * @required: missing is a mistake
 * @keep: when missing, the member stays as it is
 * @offset: of the member
 * @size_bytes: of the member
 * @min: least integer
 * @max: greatest integer
 * @fallback: integer, bool, or index of the choice, when the key is missing
 * @choices: words, ends with NULL
 */
struct field {
	const char *key;
	uint8_t kind;
	bool required;
	bool keep;
	size_t offset;
	size_t size_bytes;
	int64_t min;
	int64_t max;
	int64_t fallback;
	const char *const *choices;
};

#define FIELD(type, name, how, member, ...)                                   \
	{                                                                     \
		.key = name, .kind = how,                                     \
		.offset = offsetof(struct type, member),                      \
		.size_bytes = sizeof(((struct type *)0)->member), __VA_ARGS__ \
	}
#define RANGE(low, high, usual) .min = low, .max = high, .fallback = usual

void field_parse(struct mistakes *m, const struct toml_node *parent,
		 const char *prefix, struct toml_node *table,
		 const struct field *f, void *out);
void fields_parse(struct mistakes *m, const char *prefix,
		  struct toml_node *table, const struct field *fields,
		  void *out);
void fields_report_unknown(struct mistakes *m, const char *prefix,
			   const struct toml_node *table);
void field_add_mistake(struct mistakes *m, const struct toml_node *node,
		       const char *prefix, const char *key, const char *problem,
		       const char *expected);
bool field_name_is_valid(const char *text);

#endif
