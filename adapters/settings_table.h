/* Reads a settings file as a table of keys describes it. */
#ifndef CB_SETTINGS_TABLE_H
#define CB_SETTINGS_TABLE_H

#include "fields.h"
#include "settings.h"

/**
 * enum setting_listener - socket that a program binds to the endpoint of a key
 * @LISTEN_NONE: none
 * @LISTEN_UDP: UDP socket
 * @LISTEN_TCP: TCP socket
 */
enum setting_listener { LISTEN_NONE, LISTEN_UDP, LISTEN_TCP };

/**
 * struct setting - key of a settings file; a table ends with a section of NULL
 * @section: name of the section
 * @listener: enum setting_listener; two keys of one kind must not have the same
 *	endpoint
 * @field: key, its bounds and its place in the struct
 */
struct setting {
	const char *section;
	uint8_t listener;
	struct field field;
};

/**
 * struct settings_reader - settings file that is being read
 * @root: parsed file, owned
 * @mistakes: list to which mistakes are added
 * @errors_before: number of errors in @mistakes before this file
 */
struct settings_reader {
	struct toml_node *root;
	struct mistakes *mistakes;
	uint32_t errors_before;
};

int settings_open(struct settings_reader *reader, const char *path,
		  struct mistakes *mistakes);
void settings_parse_section(struct settings_reader *reader, const char *section,
			    const struct field *fields, void *out);
void settings_parse(struct settings_reader *reader, const struct setting *table,
		    void *out);
void settings_add_mistake(struct settings_reader *reader, const char *section,
			  const char *key, const char *problem,
			  const char *expected);
uint32_t settings_error_count(const struct settings_reader *reader);
int settings_close(struct settings_reader *reader);

#endif
