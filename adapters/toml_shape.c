#include "toml_shape.h"

#include <stdint.h>
#include <string.h>

/* Number of quotes around a multi-line string. */
#define MULTI_LINE_QUOTES 3

/* Syntactic context of a character. */
enum context { PLAIN, COMMENT, BASIC, LITERAL, MULTI_BASIC, MULTI_LITERAL };

/**
 * struct scan - state of the scan of a document
 * @at: next character
 * @end: end of the text
 * @context: enum context of @at
 * @line: line of @at, from 1
 * @line_bytes: bytes of the line before @at
 * @brackets: number of open brackets and braces
 * @dots: number of dots since the last line end outside of all brackets
 */
struct scan {
	const char *at;
	const char *end;
	uint8_t context;
	uint32_t line;
	uint32_t line_bytes;
	uint32_t brackets;
	uint32_t dots;
};

static bool is_multi_line_quote(const struct scan *scan, char quote)
{
	return scan->end - scan->at >= MULTI_LINE_QUOTES &&
	       scan->at[0] == quote && scan->at[1] == quote &&
	       scan->at[2] == quote;
}

static void skip(struct scan *scan, uint32_t n)
{
	scan->at += n;
	scan->line_bytes += n;
}

static void line_end(struct scan *scan)
{
	if (scan->context != MULTI_BASIC && scan->context != MULTI_LITERAL)
		scan->context = PLAIN;
	if (!scan->brackets)
		scan->dots = 0;
	scan->line++;
	scan->at++;
	scan->line_bytes = 0;
}

static void enter_string(struct scan *scan, char quote)
{
	bool basic = quote == '"';

	if (is_multi_line_quote(scan, quote)) {
		scan->context = basic ? MULTI_BASIC : MULTI_LITERAL;
		skip(scan, MULTI_LINE_QUOTES);
		return;
	}
	scan->context = basic ? BASIC : LITERAL;
	skip(scan, 1);
}

static void scan_plain(struct scan *scan)
{
	char c = *scan->at;

	if (c == '"' || c == '\'') {
		enter_string(scan, c);
		return;
	}
	if (c == '#')
		scan->context = COMMENT;
	else if (c == '[' || c == '{')
		scan->brackets++;
	else if ((c == ']' || c == '}') && scan->brackets)
		scan->brackets--;
	else if (c == '.')
		scan->dots++;
	skip(scan, 1);
}

/* Up to two quotes may precede the three that end a multi-line string. */
static void leave_multi_line(struct scan *scan, char quote)
{
	skip(scan, MULTI_LINE_QUOTES);
	for (uint32_t i = 0;
	     i < 2 && scan->at < scan->end && *scan->at == quote; i++)
		skip(scan, 1);
	scan->context = PLAIN;
}

static void scan_string(struct scan *scan)
{
	bool multi =
		scan->context == MULTI_BASIC || scan->context == MULTI_LITERAL;
	bool basic = scan->context == BASIC || scan->context == MULTI_BASIC;
	char quote = basic ? '"' : '\'';

	if (basic && scan->at[0] == '\\' && scan->at + 1 < scan->end &&
	    scan->at[1] != '\n') {
		skip(scan, 2);
		return;
	}
	if (multi && is_multi_line_quote(scan, quote)) {
		leave_multi_line(scan, quote);
		return;
	}
	if (!multi && *scan->at == quote)
		scan->context = PLAIN;
	skip(scan, 1);
}

static void scan_step(struct scan *scan)
{
	if (*scan->at == '\n')
		line_end(scan);
	else if (scan->context == PLAIN)
		scan_plain(scan);
	else if (scan->context == COMMENT)
		skip(scan, 1);
	else
		scan_string(scan);
}

static const char *problem_of(const struct scan *scan)
{
	if (scan->line_bytes > TOML_LINE_MAX_BYTES)
		return "line too long";
	if (scan->brackets + scan->dots > TOML_DEPTH_MAX)
		return "values nest too deep";
	return NULL;
}

/**
 * toml_check_limits() - check that a document can be parsed in bounded stack
 *	and time
 * @document: name of the document for the mistake
 * @text: text
 * @size_bytes: size of the text
 * @mistakes: a mistake is added when a limit is exceeded
 *
 * The parser recurses for each array, inline table and part of a dotted key;
 * very deep nesting overflows its stack and kills the process. For each value
 * it also goes back to the start of the line, which takes seconds on a line
 * with very many values. Published documents are far below the limits.
 *
 * Return: true when the document may be parsed.
 */
bool toml_check_limits(const char *document, const char *text,
		       size_t size_bytes, struct mistakes *mistakes)
{
	struct scan scan = { text, text + size_bytes, PLAIN, 1, 0, 0, 0 };
	const char *problem = NULL;

	if (size_bytes > TOML_MAX_BYTES) {
		mistake_add(mistakes, document, 0, "", "document too large",
			    "at most 1 MiB");
		return false;
	}
	while (scan.at < scan.end && !(problem = problem_of(&scan)))
		scan_step(&scan);
	if (problem)
		mistake_add(mistakes, document, scan.line, "", problem,
			    "lines of at most 1024 bytes, 64 levels");
	return !problem;
}
