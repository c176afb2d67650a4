#include "publication_merge.h"

#include "fields.h"

#include <glib.h>
#include <stdlib.h>
#include <string.h>

/* The account's own keys beside a template; the rest is the template's. */
static const char *const filled_keys[] = { "generation", "template",
					   "parameters", "target" };

static void take_keys(struct toml_node *account)
{
	for (size_t i = 0; i < G_N_ELEMENTS(filled_keys); i++) {
		struct toml_node *node = toml_find(account, filled_keys[i]);

		if (node)
			node->taken = 1;
	}
}

static const char *template_text(const struct toml_node *name,
				 struct template_source templates,
				 struct mistakes *m)
{
	const char *text = NULL;

	if (name->kind != TOML_STRING || !field_name_is_valid(name->text)) {
		field_add_mistake(m, name, "", "template", "not a name",
				  "a name of letters, digits, \"-\", \"_\" and "
				  "\".\"");
		return NULL;
	}
	if (templates.find)
		text = templates.find(templates.ctx, name->text);
	if (!text)
		field_add_mistake(m, name, "", "template", "no such template",
				  "a template that is published");
	return text;
}

static struct toml_node *template_read(struct merged *r,
				       const struct toml_node *name,
				       struct template_source templates,
				       struct mistakes *m)
{
	const char *text = template_text(name, templates, m);

	if (!text)
		return NULL;
	g_snprintf(r->template_document, sizeof(r->template_document),
		   "template/%s", name->text);
	return toml_read(r->template_document, text, strlen(text), m);
}

static struct toml_node *service_find(struct toml_node *services,
				      const char *name)
{
	for (uint32_t i = 0; i < services->n_items; i++) {
		const struct toml_node *n =
			toml_find(&services->items[i], "name");

		if (n && n->kind == TOML_STRING && !strcmp(n->text, name))
			return &services->items[i];
	}
	return NULL;
}

static struct toml_node *grow(struct toml_node *node)
{
	struct toml_node *items = realloc(
		node->items, (node->n_items + 1) * sizeof(*node->items));

	if (!items)
		abort();
	node->items = items;
	items[node->n_items] = (struct toml_node){ 0 };
	return &items[node->n_items++];
}

/* The array of a service's targets, made when the template gives none. */
static struct toml_node *targets_of(struct toml_node *service)
{
	struct toml_node *targets = toml_find(service, "target");

	if (targets)
		return targets->kind == TOML_ARRAY ? targets : NULL;
	targets = grow(service);
	targets->kind = TOML_ARRAY;
	targets->line = service->line;
	targets->document = service->document;
	targets->key = strdup("target");
	if (!targets->key)
		abort();
	return targets;
}

static void target_move(struct toml_node *target, struct toml_node *services,
			struct mistakes *m)
{
	struct toml_node *name = toml_find(target, "service");
	struct toml_node *service = NULL;
	struct toml_node *targets;

	if (target->kind != TOML_TABLE || !name || name->kind != TOML_STRING) {
		field_add_mistake(m, target, "target", "service", "missing",
				  "the name of the service that it serves");
		return;
	}
	name->taken = 1;
	if (services && services->kind == TOML_ARRAY)
		service = service_find(services, name->text);
	if (!service) {
		field_add_mistake(m, name, "target", "service",
				  "unknown service",
				  "the name of a service of this account");
		return;
	}
	targets = targets_of(service);
	if (!targets) /* not an array: told where the service is read */
		return;
	*grow(targets) = *target;
	*target = (struct toml_node){ 0 };
}

/* Account's own [[target]] tables go to their services. */
static void targets_move(struct toml_node *account, struct toml_node *body,
			 struct mistakes *m)
{
	struct toml_node *list = toml_find(account, "target");
	struct toml_node *services = toml_find(body, "service");

	if (!list)
		return;
	list->taken = 1;
	if (list->kind != TOML_ARRAY) {
		field_add_mistake(m, list, "", "target",
				  toml_kind_name(list->kind),
				  "tables [[target]]");
		return;
	}
	for (uint32_t i = 0; i < list->n_items; i++)
		target_move(&list->items[i], services, m);
}

/**
 * merge_open() - read an account's document and fill its template
 * @r: filled; to be closed with merge_close() in every case
 * @name: account's name
 * @text: its document
 * @templates: where templates come from
 * @m: mistakes
 */
void merge_open(struct merged *r, const char *name, const char *text,
		struct template_source templates, struct mistakes *m)
{
	struct toml_node *template;

	*r = (struct merged){ 0 };
	g_snprintf(r->account_document, sizeof(r->account_document),
		   "account/%s", name);
	r->account = toml_read(r->account_document, text, strlen(text), m);
	if (!r->account)
		return;
	template = toml_find(r->account, "template");
	if (!template) {
		r->body = r->account;
	} else {
		take_keys(r->account);
		fields_report_unknown(m, "", r->account);
		r->body = template_read(r, template, templates, m);
		if (!r->body)
			return;
		parameters_fill(r->account, r->body, m);
	}
	targets_move(r->account, r->body, m);
}

/**
 * merge_close() - free the trees
 * @r: from merge_open()
 */
void merge_close(struct merged *r)
{
	if (r->body != r->account)
		toml_free(r->body);
	toml_free(r->account);
	r->body = NULL;
	r->account = NULL;
}
