#include "publication_merge.h"

#include "fields.h"

#include <glib.h>
#include <stdlib.h>
#include <string.h>

/* Keys of an account that has a template; all others come from the template. */
static const char *const account_keys[] = { "generation", "template",
					    "parameters", "target" };

static void mark_account_keys(struct toml_node *account)
{
	for (size_t i = 0; i < G_N_ELEMENTS(account_keys); i++) {
		struct toml_node *node = toml_find(account, account_keys[i]);

		if (node)
			node->consumed = 1;
	}
}

static const char *find_template(const struct toml_node *name,
				 struct template_source templates,
				 struct mistakes *mistakes)
{
	const char *text = NULL;

	if (name->kind != TOML_STRING || !field_name_is_valid(name->text)) {
		field_add_mistake(mistakes, name, "", "template", "not a name",
				  "a name of letters, digits, \"-\", \"_\" and "
				  "\".\"");
		return NULL;
	}
	if (templates.find)
		text = templates.find(templates.ctx, name->text);
	if (!text)
		field_add_mistake(mistakes, name, "", "template",
				  "no such template",
				  "a template that is published");
	return text;
}

static struct toml_node *parse_template(struct merged_account *merged,
					const struct toml_node *name,
					struct template_source templates,
					struct mistakes *mistakes)
{
	const char *text = find_template(name, templates, mistakes);

	if (!text)
		return NULL;
	g_snprintf(merged->template_document, sizeof(merged->template_document),
		   "template/%s", name->text);
	return toml_parse(merged->template_document, text, strlen(text),
			  mistakes);
}

static struct toml_node *find_service(struct toml_node *services,
				      const char *name)
{
	for (uint32_t i = 0; i < services->n_items; i++) {
		const struct toml_node *node =
			toml_find(&services->items[i], "name");

		if (node && node->kind == TOML_STRING &&
		    !strcmp(node->text, name))
			return &services->items[i];
	}
	return NULL;
}

static struct toml_node *append_item(struct toml_node *node)
{
	struct toml_node *items = realloc(
		node->items, (node->n_items + 1) * sizeof(*node->items));

	if (!items)
		abort();
	node->items = items;
	items[node->n_items] = (struct toml_node){ 0 };
	return &items[node->n_items++];
}

/*
 * Array of the targets of a service, created when the template has none; NULL
 * when the value is no array.
 */
static struct toml_node *target_array_of(struct toml_node *service)
{
	struct toml_node *targets = toml_find(service, "target");

	if (targets)
		return targets->kind == TOML_ARRAY ? targets : NULL;
	targets = append_item(service);
	targets->kind = TOML_ARRAY;
	targets->line = service->line;
	targets->document = service->document;
	targets->key = strdup("target");
	if (!targets->key)
		abort();
	return targets;
}

static void move_target(struct toml_node *target, struct toml_node *services,
			struct mistakes *mistakes)
{
	struct toml_node *name = toml_find(target, "service");
	struct toml_node *service = NULL;
	struct toml_node *targets;

	if (target->kind != TOML_TABLE || !name || name->kind != TOML_STRING) {
		field_add_mistake(mistakes, target, "target", "service",
				  "missing",
				  "the name of the service that it serves");
		return;
	}
	name->consumed = 1;
	if (services && services->kind == TOML_ARRAY)
		service = find_service(services, name->text);
	if (!service) {
		field_add_mistake(mistakes, name, "target", "service",
				  "unknown service",
				  "the name of a service of this account");
		return;
	}
	targets = target_array_of(service);
	if (!targets) /* reported when the service is parsed */
		return;
	*append_item(targets) = *target;
	*target = (struct toml_node){ 0 };
}

/* Moves the [[target]] tables of the account to the services that they name. */
static void move_targets(struct toml_node *account, struct toml_node *body,
			 struct mistakes *mistakes)
{
	struct toml_node *list = toml_find(account, "target");
	struct toml_node *services = toml_find(body, "service");

	if (!list)
		return;
	list->consumed = 1;
	if (list->kind != TOML_ARRAY) {
		field_add_mistake(mistakes, list, "", "target",
				  toml_kind_name(list->kind),
				  "tables [[target]]");
		return;
	}
	for (uint32_t i = 0; i < list->n_items; i++)
		move_target(&list->items[i], services, mistakes);
}

/**
 * merge_open() - parse an account's document and expand its template
 * @merged: set to the trees; has to be closed with merge_close() in all cases
 * @name: name of the account
 * @text: document
 * @templates: finds the template that the document names
 * @mistakes: all mistakes are added
 */
void merge_open(struct merged_account *merged, const char *name,
		const char *text, struct template_source templates,
		struct mistakes *mistakes)
{
	struct toml_node *template;

	*merged = (struct merged_account){ 0 };
	g_snprintf(merged->account_document, sizeof(merged->account_document),
		   "account/%s", name);
	merged->account = toml_parse(merged->account_document, text,
				     strlen(text), mistakes);
	if (!merged->account)
		return;
	template = toml_find(merged->account, "template");
	if (!template) {
		merged->body = merged->account;
	} else {
		mark_account_keys(merged->account);
		fields_report_unknown(mistakes, "", merged->account);
		merged->body =
			parse_template(merged, template, templates, mistakes);
		if (!merged->body)
			return;
		parameters_substitute(merged->account, merged->body, mistakes);
	}
	move_targets(merged->account, merged->body, mistakes);
}

/**
 * merge_close() - free the trees
 * @merged: account from merge_open()
 */
void merge_close(struct merged_account *merged)
{
	if (merged->body != merged->account)
		toml_free(merged->body);
	toml_free(merged->account);
	merged->body = NULL;
	merged->account = NULL;
}
