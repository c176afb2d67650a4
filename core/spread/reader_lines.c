#include "reader_lines.h"

#include <stdio.h>
#include <string.h>

/**
 * lines_read_next() - parse the next line; malformed lines are skipped
 * @cursor: start of the line; moved past it
 * @end: end of the answer
 * @revision: set to the revision of the line
 * @key: set to its key
 * @malformed: incremented for each malformed line, or NULL
 *
 * Return: false when there is no further line.
 */
bool lines_read_next(const char **cursor, const char *end, uint64_t *revision,
		     char key[PUBLISHED_KEY_MAX_BYTES], uint64_t *malformed)
{
	while (*cursor < end) {
		const char *newline = memchr(*cursor, '\n', end - *cursor);
		const char *stop = newline ? newline : end;
		char line[PUBLISHED_KEY_MAX_BYTES + 24] = "";
		size_t size_bytes = stop - *cursor;
		int used = 0;

		if (size_bytes < sizeof(line))
			memcpy(line, *cursor, size_bytes);
		*cursor = newline ? newline + 1 : end;
		if (!size_bytes)
			continue;
		if (sscanf(line, "%lu %79s%n", revision, key, &used) == 2 &&
		    used == (int)strlen(line))
			return true;
		if (malformed)
			++*malformed;
	}
	return false;
}

/**
 * lines_highest_revision() - highest revision in an answer's lines or header
 * @a: answer
 *
 * Return: revision, 0 for an empty answer without the header.
 */
uint64_t lines_highest_revision(const struct reader_answer *a)
{
	const char *cursor = a->body;
	char key[PUBLISHED_KEY_MAX_BYTES];
	uint64_t highest = a->revision;
	uint64_t revision;

	while (lines_read_next(&cursor, a->body + a->size_bytes, &revision, key,
			       NULL))
		if (revision > highest)
			highest = revision;
	return highest;
}
