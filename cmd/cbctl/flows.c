/* flows: requests, feeds, copies and pins of entries, page after page. */
#include "cbctl.h"

#include <stdlib.h>
#include <string.h>

/* An entry that always promises more would hold the tool for ever. */
#define PAGES_MAX 10000
#define NEXT_WORD "next "

/**
 * struct pages - rows of one entry
 * @rows: lines so far
 * @n_rows: how many
 * @limit: rows wanted
 * @after: where the next page begins; NULL at the end
 */
struct pages {
	GString *rows;
	uint32_t n_rows;
	uint32_t limit;
	char *after;
};

static void take_page(struct pages *p, const char *body)
{
	char **lines = g_strsplit(body, "\n", -1);

	g_clear_pointer(&p->after, g_free);
	for (char **l = lines; *l; l++) {
		if (g_str_has_prefix(*l, NEXT_WORD)) {
			p->after = g_strdup(*l + strlen(NEXT_WORD));
		} else if (**l && p->n_rows < p->limit) {
			g_string_append_printf(p->rows, "%s\n", *l);
			p->n_rows++;
		}
	}
	g_strfreev(lines);
}

static enum exit_code next_page(struct pages *p, const char *peer,
				GString *body)
{
	char *after = g_uri_escape_string(p->after, NULL, FALSE);
	char *path = g_strdup_printf("/flows?limit=%u&after=%s",
				     p->limit - p->n_rows, after);
	enum exit_code code = ask(peer, path, body);

	if (code == EXIT_OK)
		take_page(p, body->str);
	g_free(path);
	g_free(after);
	return code;
}

/* A page may be empty and yet not the last: the entry looks at a part each. */
static enum exit_code flows_load(const struct request *r, const char *peer,
				 GString *rows)
{
	struct pages p = { rows, 0, r->limit, g_strdup("0") };
	GString *body = g_string_new(NULL);
	enum exit_code code = EXIT_OK;

	for (uint32_t i = 0;
	     i < PAGES_MAX && p.after && code == EXIT_OK && p.n_rows < p.limit;
	     i++)
		code = next_page(&p, peer, body);
	g_free(p.after);
	g_string_free(body, TRUE);
	return code;
}

enum exit_code flows_run(const struct request *r)
{
	return each_peer(r, r->n_operands, flows_load);
}
