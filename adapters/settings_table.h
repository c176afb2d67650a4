/* Reads a settings file by a table of its keys. */
#ifndef CB_SETTINGS_TABLE_H
#define CB_SETTINGS_TABLE_H

#include "settings.h"
#include "toml.h"

#define ENDPOINT_PREFIX "tcp://"

/**
 * enum setting_kind - how a key's value is written
 * @SET_NAME: letters, digits, "-", "_" and "."
 * @SET_ADDR: "A.B.C.D:PORT" into uint64_t
 * @SET_IP: "A.B.C.D" into uint32_t
 * @SET_ENDPOINT: "tcp://A.B.C.D:PORT", kept as text
 * @SET_URL: "http://..." or "https://...", kept as text
 * @SET_KEY: 64 hex digits into 32 bytes
 * @SET_U16: integer into uint16_t
 * @SET_U32: integer into uint32_t
 * @SET_CHOICE: one of the choices, its index into uint8_t
 * @SET_WORD: one of the choices, kept as text
 */
enum setting_kind {
	SET_NAME,
	SET_ADDR,
	SET_IP,
	SET_ENDPOINT,
	SET_URL,
	SET_KEY,
	SET_U16,
	SET_U32,
	SET_CHOICE,
	SET_WORD
};

enum setting_listens { LISTEN_NOT, LISTEN_UDP, LISTEN_TCP };

/**
 * struct setting - one key; a table of them ends with a key of NULL
 * @section: its table
 * @key: its name
 * @kind: enum setting_kind
 * @required: missing is a mistake
 * @listens: two keys of one value and the same @listens clash
 * @offset: of the member
 * @size_bytes: of the member
 * @min: least integer
 * @max: greatest integer
 * @fallback: integer, or index of the choice, when the key is missing
 * @choices: words, ends with NULL
 */
struct setting {
	const char *section;
	const char *key;
	uint8_t kind;
	bool required;
	uint8_t listens;
	size_t offset;
	size_t size_bytes;
	int64_t min;
	int64_t max;
	int64_t fallback;
	const char *const *choices;
};

/**
 * struct settings_reader - a file that is being read
 * @path: file
 * @root: its tree
 * @m: mistakes
 * @errors_before: errors that stood there before this file
 */
struct settings_reader {
	const char *path;
	struct toml_node *root;
	struct mistakes *m;
	uint32_t errors_before;
};

int settings_open(struct settings_reader *r, const char *path,
		  struct mistakes *m);
void settings_take(struct settings_reader *r, const struct setting *table,
		   void *out);
void settings_mistake(struct settings_reader *r, const char *section,
		      const char *key, const char *problem,
		      const char *expected);
uint32_t settings_errors(const struct settings_reader *r);
int settings_close(struct settings_reader *r);

#endif
