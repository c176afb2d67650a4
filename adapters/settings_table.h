/* Reads a settings file by a table of its keys. */
#ifndef CB_SETTINGS_TABLE_H
#define CB_SETTINGS_TABLE_H

#include "fields.h"
#include "settings.h"

enum setting_listens { LISTEN_NOT, LISTEN_UDP, LISTEN_TCP };

/**
 * struct setting - one key; a table of them ends with a section of NULL
 * @section: its table
 * @listens: two keys of one value and the same @listens clash
 * @field: the key
 */
struct setting {
	const char *section;
	uint8_t listens;
	struct field field;
};

/**
 * struct settings_reader - a file that is being read
 * @root: its tree
 * @m: mistakes
 * @errors_before: errors that stood there before this file
 */
struct settings_reader {
	struct toml_node *root;
	struct mistakes *m;
	uint32_t errors_before;
};

int settings_open(struct settings_reader *r, const char *path,
		  struct mistakes *m);
void settings_section(struct settings_reader *r, const char *section,
		      const struct field *fields, void *out);
void settings_take(struct settings_reader *r, const struct setting *table,
		   void *out);
void settings_mistake(struct settings_reader *r, const char *section,
		      const char *key, const char *problem,
		      const char *expected);
uint32_t settings_errors(const struct settings_reader *r);
int settings_close(struct settings_reader *r);

#endif
