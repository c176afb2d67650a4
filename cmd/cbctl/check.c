/* check: all publications of a source, each by itself and all together. */
#include "cbctl.h"

#include "settings.h"
#include "vips.h"

#include <stdio.h>
#include <string.h>

static void vms_line(const char *key, uint32_t line, const char *text,
		     GHashTable *seen, struct mistakes *m)
{
	char **words = g_strsplit(text, " ", -1);
	guint n = g_strv_length(words);
	uint64_t addr = ADDR_NONE;

	if (n != 2 || addr_parse(words[0], &addr) ||
	    (strcmp(words[1], "live") && strcmp(words[1], "leaving")))
		mistake_add(m, key, line, "", "not a VM",
			    "\"IP:PORT live\" or \"IP:PORT leaving\"");
	else if (!g_hash_table_add(seen, GSIZE_TO_POINTER(addr)))
		mistake_add(m, key, line, words[0], "listed twice",
			    "each VM once");
	g_strfreev(words);
}

static void vms_check(const struct document *doc, struct mistakes *m)
{
	char **lines = g_strsplit(doc->text, "\n", -1);
	GHashTable *seen = g_hash_table_new(NULL, NULL);

	for (uint32_t i = 0; lines[i]; i++)
		if (lines[i][0])
			vms_line(doc->key, i + 1, lines[i], seen, m);
	g_hash_table_destroy(seen);
	g_strfreev(lines);
}

/* As cb-watch does it when the accounts come in force by name. */
static void endpoints_check(struct documents *d, const struct account_set *set,
			    struct mistakes *m)
{
	struct vips *v = vips_new();

	for (guint i = 0; i < set->accounts->len; i++) {
		const struct account_conf *a =
			g_ptr_array_index(set->accounts, i);

		vips_check(v, a->name, documents_find(d, "account", a->name),
			   documents_templates(d), m);
		vips_set(v, a->name, a);
	}
	vips_free(v);
}

static void check(struct documents *d, struct mistakes *m)
{
	struct account_set set;

	account_set_load(d, &set, m);
	endpoints_check(d, &set, m);
	for (guint i = 0; i < d->list->len; i++) {
		const struct document *doc = g_ptr_array_index(d->list, i);

		if (document_name(doc, "vms"))
			vms_check(doc, m);
	}
	account_set_free(&set);
}

static void report(const struct request *r, const struct mistakes *m)
{
	GString *json;

	if (!r->json) {
		mistakes_print(m, stdout);
		return;
	}
	json = g_string_new(NULL);
	json_open(json, NULL, '{');
	mistakes_json(json, m);
	json_close(json, '}');
	print_json(json);
}

enum exit_code check_run(const struct request *r)
{
	struct mistakes m = { 0 };
	struct documents d;
	enum exit_code code = documents_load(r->operands[0], &d);

	if (code == EXIT_OK) {
		check(&d, &m);
		report(r, &m);
		code = m.n_errors ? EXIT_PROBLEMS : EXIT_OK;
	}
	mistakes_free(&m);
	documents_free(&d);
	return code;
}
