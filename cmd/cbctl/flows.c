/* flows: requests, feeds, feed copies and pins of entries, read by pages. */
#include "cbctl.h"

#include <stdlib.h>
#include <string.h>

/* Bounds the loop over pages in case an entry always announces another. */
#define PAGES_MAX 10000
#define NEXT_PREFIX "next "

/**
 * struct pages - rows of one entry
 * @rows: lines read so far, owned by the caller
 * @n_rows: number of lines in @rows
 * @limit: most rows to read
 * @after: cursor of the next page; NULL after the last
 */
struct pages {
	GString *rows;
	uint32_t n_rows;
	uint32_t limit;
	char *after;
};

static void add_page(struct pages *pages, const char *body)
{
	char **lines = g_strsplit(body, "\n", -1);

	g_clear_pointer(&pages->after, g_free);
	for (char **l = lines; *l; l++) {
		if (g_str_has_prefix(*l, NEXT_PREFIX)) {
			pages->after = g_strdup(*l + strlen(NEXT_PREFIX));
		} else if (**l && pages->n_rows < pages->limit) {
			g_string_append_printf(pages->rows, "%s\n", *l);
			pages->n_rows++;
		}
	}
	g_strfreev(lines);
}

static enum exit_code fetch_next_page(struct pages *pages, const char *peer,
				      GString *body)
{
	char *after = g_uri_escape_string(pages->after, NULL, FALSE);
	char *path = g_strdup_printf("/flows?limit=%u&after=%s",
				     pages->limit - pages->n_rows, after);
	enum exit_code code = fetch_page(peer, path, body);

	if (code == EXIT_OK)
		add_page(pages, body->str);
	g_free(path);
	g_free(after);
	return code;
}

/* A page may be empty but not the last: the entry scans part of a table each. */
static enum exit_code flows_load(const struct command_args *args,
				 const char *peer, GString *rows)
{
	struct pages pages = { rows, 0, args->limit, g_strdup("0") };
	GString *body = g_string_new(NULL);
	enum exit_code code = EXIT_OK;

	for (uint32_t i = 0; i < PAGES_MAX && pages.after && code == EXIT_OK &&
			     pages.n_rows < pages.limit;
	     i++)
		code = fetch_next_page(&pages, peer, body);
	g_free(pages.after);
	g_string_free(body, TRUE);
	return code;
}

enum exit_code flows_run(const struct command_args *args)
{
	return print_peers(args, args->n_operands, flows_load);
}
