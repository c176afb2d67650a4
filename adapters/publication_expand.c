#include "publication.h"

#include "publication_merge.h"

#include <glib.h>
#include <string.h>

/*
 * All strings have passed the checks of publication_render() and need no
 * escapes.
 */
static void write_scalar(GString *out, const struct toml_node *node)
{
	if (node->kind == TOML_STRING)
		g_string_append_printf(out, "%s = \"%s\"\n", node->key,
				       node->text);
	else if (node->kind == TOML_BOOL)
		g_string_append_printf(out, "%s = %s\n", node->key,
				       node->number ? "true" : "false");
	else if (node->kind == TOML_INTEGER)
		g_string_append_printf(out, "%s = %lld\n", node->key,
				       (long long)node->number);
}

static void write_scalars(GString *out, const struct toml_node *table,
			  const char *skip)
{
	for (uint32_t i = 0; i < table->n_items; i++)
		if (strcmp(table->items[i].key, skip))
			write_scalar(out, &table->items[i]);
}

static void write_targets(GString *out, const struct toml_node *service)
{
	const struct toml_node *list = toml_find(service, "target");

	for (uint32_t i = 0; list && i < list->n_items; i++) {
		g_string_append(out, "\n[[service.target]]\n");
		write_scalars(out, &list->items[i], "service");
	}
}

static void write_body(GString *out, const struct toml_node *body)
{
	const struct toml_node *list = toml_find(body, "service");

	write_scalars(out, body, "generation");
	for (uint32_t i = 0; list && i < list->n_items; i++) {
		g_string_append(out, "\n[[service]]\n");
		write_scalars(out, &list->items[i], "");
		write_targets(out, &list->items[i]);
	}
}

char *publication_expand(const char *name, const char *text,
			 struct template_source templates,
			 struct mistakes *mistakes)
{
	struct account_conf *account =
		publication_render(name, text, templates, NULL, mistakes);
	struct mistakes ignored = { 0 };
	struct merged_account merged;
	GString *out;

	if (!account)
		return NULL;
	account_free(account);
	merge_open(&merged, name, text, templates, &ignored);
	out = g_string_new(NULL);
	write_scalar(out, toml_find(merged.account, "generation"));
	write_body(out, merged.body);
	merge_close(&merged);
	mistakes_free(&ignored);
	return g_string_free(out, FALSE);
}
