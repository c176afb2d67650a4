#include "publication.h"

#include "publication_merge.h"

#include <glib.h>
#include <string.h>

/* Only what passed its checks is written: no string needs an escape. */
static void scalar_write(GString *out, const struct toml_node *node)
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

static void scalars_write(GString *out, const struct toml_node *table,
			  const char *skip)
{
	for (uint32_t i = 0; i < table->n_items; i++)
		if (strcmp(table->items[i].key, skip))
			scalar_write(out, &table->items[i]);
}

static void targets_write(GString *out, const struct toml_node *service)
{
	const struct toml_node *list = toml_find(service, "target");

	for (uint32_t i = 0; list && i < list->n_items; i++) {
		g_string_append(out, "\n[[service.target]]\n");
		scalars_write(out, &list->items[i], "service");
	}
}

static void body_write(GString *out, const struct toml_node *body)
{
	const struct toml_node *list = toml_find(body, "service");

	scalars_write(out, body, "generation");
	for (uint32_t i = 0; list && i < list->n_items; i++) {
		g_string_append(out, "\n[[service]]\n");
		scalars_write(out, &list->items[i], "");
		targets_write(out, &list->items[i]);
	}
}

char *publication_text(const char *name, const char *text,
		       struct template_source templates,
		       struct mistakes *mistakes)
{
	struct account_conf *checked =
		publication_render(name, text, templates, NULL, mistakes);
	struct mistakes again = { 0 };
	struct merged merged;
	GString *out;

	if (!checked)
		return NULL;
	account_free(checked);
	merge_open(&merged, name, text, templates, &again);
	out = g_string_new(NULL);
	scalar_write(out, toml_find(merged.account, "generation"));
	body_write(out, merged.body);
	merge_close(&merged);
	mistakes_free(&again);
	return g_string_free(out, FALSE);
}
