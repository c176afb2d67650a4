#include "publication.h"

#include "fields.h"
#include "settings.h"
#include "publication_merge.h"
#include "publication_names.h"

#include <glib.h>
#include <stdlib.h>
#include <string.h>

/*
 * A generation never decreases. After one at the top of the range, such as a
 * typing error or the largest integer of the parser in place of a larger one,
 * no other could be published; the bound leaves room above it.
 */
#define GENERATION_MAX 1000000000000000LL
#define WEIGHT_MAX 1000
#define TIMEOUT_MAX_MS 3600000
#define QUEUE_MAX 65536
#define CONNECTIONS_MAX 1000000

/* A target of the document; the core gets those of one data centre. */
struct parsed_target {
	struct target_conf conf;
	char data_centre[NAME_MAX_BYTES];
};

static const struct field account_fields[] = { FIELD(account_conf, "weight",
						     FIELD_U16, weight,
						     RANGE(1, WEIGHT_MAX, 100)),
					       { 0 } };

static const struct field generation_field =
	FIELD(account_conf, "generation", FIELD_U64, generation,
	      .required = true, RANGE(1, GENERATION_MAX, 0));

static const struct field service_fields[] = {
	FIELD(service_conf, "name", FIELD_NAME, name, .required = true),
	FIELD(service_conf, "vip", FIELD_ADDR, vip, .required = true),
	FIELD(service_conf, "protocol", FIELD_CHOICE, protocol,
	      .choices = service_protocol_names, .fallback = SERVICE_COAP),
	FIELD(service_conf, "class", FIELD_CHOICE, class,
	      .choices = service_class_names, .fallback = CLASS_REPORT),
	FIELD(service_conf, "post_idempotent", FIELD_BOOL, post_idempotent),
	FIELD(service_conf, "target_dedups", FIELD_BOOL, target_dedups),
	FIELD(service_conf, "request_timeout_ms", FIELD_MS, request_timeout_ns,
	      RANGE(1, TIMEOUT_MAX_MS, 5000)),
	FIELD(service_conf, "queue_max", FIELD_U32, queue_max,
	      RANGE(0, QUEUE_MAX, 200)),
	{ 0 }
};

static const struct field target_fields[] = {
	FIELD(parsed_target, "address", FIELD_ADDR, conf.addr,
	      .required = true),
	FIELD(parsed_target, "data_centre", FIELD_NAME, data_centre,
	      .required = true),
	FIELD(parsed_target, "state", FIELD_CHOICE, conf.state,
	      .choices = target_state_names, .fallback = TARGET_UP),
	FIELD(parsed_target, "weight", FIELD_U16, conf.weight,
	      RANGE(1, WEIGHT_MAX, 100)),
	FIELD(parsed_target, "slots", FIELD_U16, conf.slots,
	      RANGE(1, UINT16_MAX, 2)),
	FIELD(parsed_target, "connections", FIELD_U32, conf.connections,
	      RANGE(1, CONNECTIONS_MAX, 2000)),
	{ 0 }
};

/**
 * struct parser - state while an account is parsed
 * @account: result
 * @data_centre: data centre whose targets are kept; NULL keeps all
 * @seen: endpoints used so far; the value is "service" or "target"
 * @mistakes: list to which mistakes are added
 */
struct parser {
	struct account_conf *account;
	const char *data_centre;
	GHashTable *seen;
	struct mistakes *mistakes;
};

static void *allocate(size_t n, size_t size_bytes)
{
	void *p = calloc(n ? n : 1, size_bytes);

	if (!p)
		abort();
	return p;
}

/*
 * An account uses each endpoint once: with two uses a request would go to a
 * service that it is not meant for.
 */
static void check_endpoint_unique(struct parser *parser,
				  const struct toml_node *table,
				  const char *prefix, const char *key,
				  uint64_t addr)
{
	char problem[DOTTED_KEY_MAX_BYTES];
	char text[32];
	const char *before;
	const struct toml_node *node = toml_find(table, key);

	if (!addr)
		return;
	before = g_hash_table_lookup(parser->seen, GSIZE_TO_POINTER(addr));
	if (!before) {
		g_hash_table_insert(parser->seen, GSIZE_TO_POINTER(addr),
				    g_strdup(prefix));
		return;
	}
	g_snprintf(problem, sizeof(problem), "%s is used twice, before by a %s",
		   addr_text(addr, text, sizeof(text)), before);
	field_add_mistake(parser->mistakes, node, prefix, key, problem,
			  "an endpoint not used elsewhere in the account");
}

static void parse_target(struct parser *parser, struct toml_node *node,
			 struct service_conf *service)
{
	struct parsed_target target = { 0 };

	if (node->kind != TOML_TABLE) {
		field_add_mistake(parser->mistakes, node, "service", "target",
				  toml_kind_name(node->kind), "a table");
		return;
	}
	fields_parse(parser->mistakes, "target", node, target_fields, &target);
	fields_report_unknown(parser->mistakes, "target", node);
	check_endpoint_unique(parser, node, "target", "address",
			      target.conf.addr);
	if (!parser->data_centre ||
	    !strcmp(parser->data_centre, target.data_centre))
		service->targets[service->n_targets++] = target.conf;
}

/*
 * Number of items of an array; 0 with a mistake when it is no array or has more
 * than @max items.
 */
static uint32_t array_size(struct parser *parser, struct toml_node *node,
			   const char *prefix, uint32_t max)
{
	char expected[DOTTED_KEY_MAX_BYTES];

	node->consumed = 1;
	if (node->kind == TOML_ARRAY && node->n_items <= max)
		return node->n_items;
	g_snprintf(expected, sizeof(expected), "at most %u tables", max);
	field_add_mistake(parser->mistakes, node, prefix, node->key,
			  node->kind == TOML_ARRAY ? "too many"
						   : toml_kind_name(node->kind),
			  expected);
	return 0;
}

static void parse_targets(struct parser *parser, struct toml_node *table,
			  struct service_conf *service)
{
	struct toml_node *list = toml_find(table, "target");
	uint32_t n = list ? array_size(parser, list, "service",
				       TARGETS_PER_SERVICE_MAX)
			  : 0;

	service->targets = allocate(n, sizeof(*service->targets));
	for (uint32_t i = 0; i < n; i++)
		parse_target(parser, &list->items[i], service);
	if (!n)
		mistake_add_warning(parser->mistakes, table->document,
				    table->line, "service",
				    "no target serves it",
				    "at least one target");
}

static void check_name_unique(struct parser *parser,
			      const struct toml_node *table,
			      const struct service_conf *service)
{
	for (const struct service_conf *other = parser->account->services;
	     other != service; other++)
		if (service->name[0] && !strcmp(other->name, service->name))
			field_add_mistake(
				parser->mistakes, toml_find(table, "name"),
				"service", "name", "name is used twice",
				"a name not used elsewhere in the account");
}

/* Such a service would be put in force, but its callers would get no answer. */
static void warn_unsupported_protocol(struct parser *parser,
				      const struct toml_node *table,
				      const struct service_conf *service)
{
	const struct toml_node *node = toml_find(table, "protocol");

	if (service->protocol == SERVICE_UDP && node)
		mistake_add_warning(parser->mistakes, node->document,
				    node->line, "service.protocol",
				    "cb-entry does not carry udp services yet",
				    "\"coap\"");
}

static void parse_service(struct parser *parser, struct toml_node *node)
{
	struct service_conf *service;

	if (node->kind != TOML_TABLE) {
		field_add_mistake(parser->mistakes, node, "", "service",
				  toml_kind_name(node->kind), "a table");
		return;
	}
	service = &parser->account->services[parser->account->n_services++];
	fields_parse(parser->mistakes, "service", node, service_fields,
		     service);
	check_name_unique(parser, node, service);
	check_endpoint_unique(parser, node, "service", "vip", service->vip);
	warn_unsupported_protocol(parser, node, service);
	parse_targets(parser, node, service);
	fields_report_unknown(parser->mistakes, "service", node);
}

static void parse_services(struct parser *parser, struct toml_node *body)
{
	struct toml_node *list = toml_find(body, "service");
	uint32_t n = 0;

	if (list)
		n = array_size(parser, list, "", SERVICES_PER_ACCOUNT_MAX);
	else
		mistake_add_warning(parser->mistakes, body->document,
				    body->line, "service",
				    "the account has no service",
				    "at least one [[service]]");
	parser->account->services =
		allocate(n, sizeof(*parser->account->services));
	for (uint32_t i = 0; i < n; i++)
		parse_service(parser, &list->items[i]);
}

static void parse_account(struct parser *parser, struct merged_account *merged)
{
	if (!merged->account)
		return;
	field_parse(parser->mistakes, merged->account, "", merged->account,
		    &generation_field, parser->account);
	if (!merged->body)
		return;
	fields_parse(parser->mistakes, "", merged->body, account_fields,
		     parser->account);
	parse_services(parser, merged->body);
	fields_report_unknown(parser->mistakes, "", merged->body);
}

struct account_conf *publication_render(const char *name, const char *text,
					struct template_source templates,
					const char *data_centre,
					struct mistakes *mistakes)
{
	uint32_t errors_before = mistakes->n_errors;
	struct merged_account merged;
	struct parser parser = { NULL, data_centre, NULL, mistakes };

	parser.account = allocate(1, sizeof(*parser.account));
	parser.seen = g_hash_table_new_full(NULL, NULL, NULL, g_free);
	merge_open(&merged, name, text, templates, mistakes);
	if (!field_name_is_valid(name))
		mistake_add(mistakes, merged.account_document, 0, "",
			    "account's name is not valid",
			    "letters, digits, \"-\", \"_\" and \".\"");
	g_strlcpy(parser.account->name, name, sizeof(parser.account->name));
	parse_account(&parser, &merged);
	merge_close(&merged);
	g_hash_table_destroy(parser.seen);
	if (mistakes->n_errors == errors_before)
		return parser.account;
	account_free(parser.account);
	return NULL;
}
