/* Parser for the lines "REVISION KEY" of the platform's answers. */
#ifndef CB_READER_LINES_H
#define CB_READER_LINES_H

#include "reader.h"

bool lines_read_next(const char **cursor, const char *end, uint64_t *revision,
		     char key[PUBLISHED_KEY_MAX_BYTES], uint64_t *malformed);
uint64_t lines_highest_revision(const struct reader_answer *a);

#endif
