#include "toml_shape.h"

#include <stdint.h>
#include <string.h>

#define TRIPLE 3

/* Where a character stands. */
enum place { PLAIN, COMMENT, BASIC, LITERAL, MULTI_BASIC, MULTI_LITERAL };

/**
 * struct scan - a document being looked through
 * @at: next character
 * @end: end of the text
 * @place: enum place of @at
 * @line: line of @at, from 1
 * @line_bytes: bytes of the line so far
 * @brackets: open brackets and braces
 * @dots: dots since the outermost bracket opened or the line began
 */
struct scan {
	const char *at;
	const char *end;
	uint8_t place;
	uint32_t line;
	uint32_t line_bytes;
	uint32_t brackets;
	uint32_t dots;
};

static bool is_triple(const struct scan *s, char quote)
{
	return s->end - s->at >= TRIPLE && s->at[0] == quote &&
	       s->at[1] == quote && s->at[2] == quote;
}

static void skip(struct scan *s, uint32_t n)
{
	s->at += n;
	s->line_bytes += n;
}

static void line_end(struct scan *s)
{
	if (s->place != MULTI_BASIC && s->place != MULTI_LITERAL)
		s->place = PLAIN;
	if (!s->brackets)
		s->dots = 0;
	s->line++;
	s->at++;
	s->line_bytes = 0;
}

static void open_string(struct scan *s, char quote)
{
	bool basic = quote == '"';

	if (is_triple(s, quote)) {
		s->place = basic ? MULTI_BASIC : MULTI_LITERAL;
		skip(s, TRIPLE);
		return;
	}
	s->place = basic ? BASIC : LITERAL;
	skip(s, 1);
}

static void plain(struct scan *s)
{
	char c = *s->at;

	if (c == '"' || c == '\'') {
		open_string(s, c);
		return;
	}
	if (c == '#')
		s->place = COMMENT;
	else if (c == '[' || c == '{')
		s->brackets++;
	else if ((c == ']' || c == '}') && s->brackets)
		s->brackets--;
	else if (c == '.')
		s->dots++;
	skip(s, 1);
}

/* Two quotes more may stand before the three that end such a string. */
static void close_triple(struct scan *s, char quote)
{
	skip(s, TRIPLE);
	for (uint32_t i = 0; i < 2 && s->at < s->end && *s->at == quote; i++)
		skip(s, 1);
	s->place = PLAIN;
}

static void in_string(struct scan *s)
{
	bool multi = s->place == MULTI_BASIC || s->place == MULTI_LITERAL;
	bool basic = s->place == BASIC || s->place == MULTI_BASIC;
	char quote = basic ? '"' : '\'';

	if (basic && s->at[0] == '\\' && s->at + 1 < s->end &&
	    s->at[1] != '\n') {
		skip(s, 2);
		return;
	}
	if (multi && is_triple(s, quote)) {
		close_triple(s, quote);
		return;
	}
	if (!multi && *s->at == quote)
		s->place = PLAIN;
	skip(s, 1);
}

static void step(struct scan *s)
{
	if (*s->at == '\n')
		line_end(s);
	else if (s->place == PLAIN)
		plain(s);
	else if (s->place == COMMENT)
		skip(s, 1);
	else
		in_string(s);
}

static const char *problem_of(const struct scan *s)
{
	if (s->line_bytes > TOML_LINE_MAX_BYTES)
		return "line too long";
	if (s->brackets + s->dots > TOML_DEPTH_MAX)
		return "values nest too deep";
	return NULL;
}

/**
 * toml_shape_check() - look at a document before it is parsed
 * @document: its name, for the mistake
 * @text: text
 * @size_bytes: its size
 * @m: a mistake is added
 *
 * The parser recurses for each array, inline table and part of a dotted key:
 * very many of them overflow its stack, and kill the process that was given the
 * document. And for each value it goes back to the start of the line, which
 * takes seconds where a line has very many. Nothing we publish comes near the
 * limits.
 *
 * Return: true when it may be parsed.
 */
bool toml_shape_check(const char *document, const char *text, size_t size_bytes,
		      struct mistakes *m)
{
	struct scan s = { text, text + size_bytes, PLAIN, 1, 0, 0, 0 };
	const char *problem = NULL;

	if (size_bytes > TOML_MAX_BYTES) {
		mistake_add(m, document, 0, "", "document too large",
			    "at most 1 MiB");
		return false;
	}
	while (s.at < s.end && !(problem = problem_of(&s)))
		step(&s);
	if (problem)
		mistake_add(m, document, s.line, "", problem,
			    "lines of at most 1024 bytes, 64 levels");
	return !problem;
}
