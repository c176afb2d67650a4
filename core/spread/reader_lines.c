#include "reader_lines.h"

#include <stdio.h>
#include <string.h>

/**
 * lines_next() - read a line and move past it; malformed ones are skipped
 * @at: where to read
 * @end: end of the answer
 * @revision: revision read
 * @key: key read
 * @malformed: counts malformed lines, or NULL
 *
 * Return: false at the end.
 */
bool lines_next(const char **at, const char *end, uint64_t *revision,
		char key[PUBLISHED_KEY_MAX_BYTES], uint64_t *malformed)
{
	while (*at < end) {
		const char *newline = memchr(*at, '\n', end - *at);
		const char *stop = newline ? newline : end;
		char line[PUBLISHED_KEY_MAX_BYTES + 24] = "";
		size_t size_bytes = stop - *at;
		int used = 0;

		if (size_bytes < sizeof(line))
			memcpy(line, *at, size_bytes);
		*at = newline ? newline + 1 : end;
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
 * lines_highest() - highest revision that an answer with lines shows
 * @a: answer
 *
 * Return: revision, 0 for an empty answer that does not say one.
 */
uint64_t lines_highest(const struct reader_answer *a)
{
	const char *at = a->body;
	char key[PUBLISHED_KEY_MAX_BYTES];
	uint64_t highest = a->revision;
	uint64_t revision;

	while (lines_next(&at, a->body + a->size_bytes, &revision, key, NULL))
		if (revision > highest)
			highest = revision;
	return highest;
}
