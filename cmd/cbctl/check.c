/* check: validates all documents of a source, each alone and all together. */
#include "cbctl.h"

#include "settings.h"
#include "vips.h"

#include <stdio.h>
#include <string.h>

static void check_vm_line(const char *key, uint32_t line, const char *text,
			  GHashTable *seen, struct mistakes *mistakes)
{
	char **words = g_strsplit(text, " ", -1);
	guint n = g_strv_length(words);
	uint64_t addr = ADDR_NONE;

	if (n != 2 || addr_parse(words[0], &addr) ||
	    (strcmp(words[1], "live") && strcmp(words[1], "leaving")))
		mistake_add(mistakes, key, line, "", "not a VM",
			    "\"IP:PORT live\" or \"IP:PORT leaving\"");
	else if (!g_hash_table_add(seen, GSIZE_TO_POINTER(addr)))
		mistake_add(mistakes, key, line, words[0], "listed twice",
			    "each VM once");
	g_strfreev(words);
}

static void check_vms(const struct document *doc, struct mistakes *mistakes)
{
	char **lines = g_strsplit(doc->text, "\n", -1);
	GHashTable *seen = g_hash_table_new(NULL, NULL);

	for (uint32_t i = 0; lines[i]; i++)
		if (lines[i][0])
			check_vm_line(doc->key, i + 1, lines[i], seen,
				      mistakes);
	g_hash_table_destroy(seen);
	g_strfreev(lines);
}

/* Same checks as cb-watch makes when accounts come into force sorted by name. */
static void check_endpoints(struct documents *documents,
			    const struct account_set *set,
			    struct mistakes *mistakes)
{
	struct vips *vips = vips_new();

	for (guint i = 0; i < set->accounts->len; i++) {
		const struct account_conf *a =
			g_ptr_array_index(set->accounts, i);

		vips_check(vips, a->name,
			   documents_find(documents, "account", a->name),
			   documents_templates(documents), mistakes);
		vips_put(vips, a->name, a);
	}
	vips_free(vips);
}

static void check_documents(struct documents *documents,
			    struct mistakes *mistakes)
{
	struct account_set set;

	account_set_load(documents, &set, mistakes);
	check_endpoints(documents, &set, mistakes);
	for (guint i = 0; i < documents->list->len; i++) {
		const struct document *doc =
			g_ptr_array_index(documents->list, i);

		if (document_name(doc, "vms"))
			check_vms(doc, mistakes);
	}
	account_set_free(&set);
}

static void print_mistakes(const struct command_args *args,
			   const struct mistakes *mistakes)
{
	GString *json;

	if (!args->json) {
		mistakes_print(mistakes, stdout);
		return;
	}
	json = g_string_new(NULL);
	json_open(json, NULL, '{');
	json_mistakes(json, mistakes);
	json_close(json, '}');
	json_print_and_free(json);
}

enum exit_code check_run(const struct command_args *args)
{
	struct mistakes mistakes = { 0 };
	struct documents documents;
	enum exit_code code = documents_load(args->operands[0], &documents);

	if (code == EXIT_OK) {
		check_documents(&documents, &mistakes);
		print_mistakes(args, &mistakes);
		code = mistakes.n_errors ? EXIT_PROBLEMS : EXIT_OK;
	}
	mistakes_free(&mistakes);
	documents_free(&documents);
	return code;
}
