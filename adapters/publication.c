#include "publication.h"

#include "fields.h"
#include "settings.h"
#include "publication_merge.h"
#include "publication_words.h"

#include <glib.h>
#include <stdlib.h>
#include <string.h>

/*
 * A generation never falls. One that has no room above it, as a slip of the
 * finger or the parser's largest integer in place of a larger one, could never
 * be followed by another.
 */
#define GENERATION_MAX 1000000000000000LL
#define WEIGHT_MAX 1000
#define TIMEOUT_MAX_MS 3600000
#define QUEUE_MAX 65536
#define CONNECTIONS_MAX 1000000

/* A target as written; the core reads only those of its data centre. */
struct target_read {
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
	      .choices = protocol_words, .fallback = SERVICE_COAP),
	FIELD(service_conf, "class", FIELD_CHOICE, class,
	      .choices = class_words, .fallback = CLASS_REPORT),
	FIELD(service_conf, "post_idempotent", FIELD_BOOL, post_idempotent),
	FIELD(service_conf, "target_dedups", FIELD_BOOL, target_dedups),
	FIELD(service_conf, "request_timeout_ms", FIELD_MS, request_timeout_ns,
	      RANGE(1, TIMEOUT_MAX_MS, 5000)),
	FIELD(service_conf, "queue_max", FIELD_U32, queue_max,
	      RANGE(0, QUEUE_MAX, 200)),
	{ 0 }
};

static const struct field target_fields[] = {
	FIELD(target_read, "address", FIELD_ADDR, conf.addr, .required = true),
	FIELD(target_read, "data_centre", FIELD_NAME, data_centre,
	      .required = true),
	FIELD(target_read, "state", FIELD_CHOICE, conf.state,
	      .choices = state_words, .fallback = TARGET_UP),
	FIELD(target_read, "weight", FIELD_U16, conf.weight,
	      RANGE(1, WEIGHT_MAX, 100)),
	FIELD(target_read, "slots", FIELD_U16, conf.slots,
	      RANGE(1, UINT16_MAX, 2)),
	FIELD(target_read, "connections", FIELD_U32, conf.connections,
	      RANGE(1, CONNECTIONS_MAX, 2000)),
	{ 0 }
};

/**
 * struct reading - an account that is being read
 * @account: filled
 * @data_centre: whose targets are kept, NULL for all
 * @seen: endpoints used so far, each with what it is
 * @m: mistakes
 */
struct reading {
	struct account_conf *account;
	const char *data_centre;
	GHashTable *seen;
	struct mistakes *m;
};

static void *allocate(size_t n, size_t size_bytes)
{
	void *p = calloc(n ? n : 1, size_bytes);

	if (!p)
		abort();
	return p;
}

/*
 * An endpoint that stood for two things would lead a request to a service it
 * was not meant for, so an account uses each endpoint once.
 */
static void endpoint_once(struct reading *r, const struct toml_node *table,
			  const char *prefix, const char *key, uint64_t addr)
{
	char problem[DOTTED_KEY_MAX_BYTES];
	char text[32];
	const char *before;
	const struct toml_node *node = toml_find(table, key);

	if (!addr)
		return;
	before = g_hash_table_lookup(r->seen, GSIZE_TO_POINTER(addr));
	if (!before) {
		g_hash_table_insert(r->seen, GSIZE_TO_POINTER(addr),
				    g_strdup(prefix));
		return;
	}
	g_snprintf(problem, sizeof(problem), "%s is used twice, before by a %s",
		   addr_text(addr, text, sizeof(text)), before);
	field_add_mistake(r->m, node, prefix, key, problem,
			  "an endpoint not used elsewhere in the account");
}

static void target_take(struct reading *r, struct toml_node *node,
			struct service_conf *s)
{
	struct target_read t = { 0 };

	if (node->kind != TOML_TABLE) {
		field_add_mistake(r->m, node, "service", "target",
				  toml_kind_name(node->kind), "a table");
		return;
	}
	fields_parse(r->m, "target", node, target_fields, &t);
	fields_report_unknown(r->m, "target", node);
	endpoint_once(r, node, "target", "address", t.conf.addr);
	if (!r->data_centre || !strcmp(r->data_centre, t.data_centre))
		s->targets[s->n_targets++] = t.conf;
}

/* An array with at most @max items; else a mistake, and nothing to read. */
static uint32_t array_size(struct reading *r, struct toml_node *node,
			   const char *prefix, uint32_t max)
{
	char expected[DOTTED_KEY_MAX_BYTES];

	node->taken = 1;
	if (node->kind == TOML_ARRAY && node->n_items <= max)
		return node->n_items;
	g_snprintf(expected, sizeof(expected), "at most %u tables", max);
	field_add_mistake(r->m, node, prefix, node->key,
			  node->kind == TOML_ARRAY ? "too many"
						   : toml_kind_name(node->kind),
			  expected);
	return 0;
}

static void targets_take(struct reading *r, struct toml_node *table,
			 struct service_conf *s)
{
	struct toml_node *list = toml_find(table, "target");
	uint32_t n =
		list ? array_size(r, list, "service", TARGETS_PER_SERVICE_MAX)
		     : 0;

	s->targets = allocate(n, sizeof(*s->targets));
	for (uint32_t i = 0; i < n; i++)
		target_take(r, &list->items[i], s);
	if (!n)
		mistake_warn(r->m, table->document, table->line, "service",
			     "no target serves it", "at least one target");
}

static void name_once(struct reading *r, const struct toml_node *table,
		      const struct service_conf *s)
{
	for (const struct service_conf *o = r->account->services; o != s; o++)
		if (s->name[0] && !strcmp(o->name, s->name))
			field_add_mistake(r->m, toml_find(table, "name"),
					  "service", "name",
					  "name is used twice",
					  "a name of its own in the account");
}

/* It would be published, be in force, and no caller would get an answer. */
static void carried(struct reading *r, const struct toml_node *table,
		    const struct service_conf *s)
{
	const struct toml_node *node = toml_find(table, "protocol");

	if (s->protocol == SERVICE_UDP && node)
		mistake_warn(r->m, node->document, node->line,
			     "service.protocol",
			     "cb-entry does not carry udp services yet",
			     "\"coap\"");
}

static void service_take(struct reading *r, struct toml_node *node)
{
	struct service_conf *s;

	if (node->kind != TOML_TABLE) {
		field_add_mistake(r->m, node, "", "service",
				  toml_kind_name(node->kind), "a table");
		return;
	}
	s = &r->account->services[r->account->n_services++];
	fields_parse(r->m, "service", node, service_fields, s);
	name_once(r, node, s);
	endpoint_once(r, node, "service", "vip", s->vip);
	carried(r, node, s);
	targets_take(r, node, s);
	fields_report_unknown(r->m, "service", node);
}

static void services_take(struct reading *r, struct toml_node *body)
{
	struct toml_node *list = toml_find(body, "service");
	uint32_t n = 0;

	if (list)
		n = array_size(r, list, "", SERVICES_PER_ACCOUNT_MAX);
	else
		mistake_warn(r->m, body->document, body->line, "service",
			     "the account has no service",
			     "at least one [[service]]");
	r->account->services = allocate(n, sizeof(*r->account->services));
	for (uint32_t i = 0; i < n; i++)
		service_take(r, &list->items[i]);
}

static void merged_take(struct reading *r, struct merged *merged)
{
	if (!merged->account)
		return;
	field_parse(r->m, merged->account, "", merged->account,
		    &generation_field, r->account);
	if (!merged->body)
		return;
	fields_parse(r->m, "", merged->body, account_fields, r->account);
	services_take(r, merged->body);
	fields_report_unknown(r->m, "", merged->body);
}

struct account_conf *publication_render(const char *name, const char *text,
					struct template_source templates,
					const char *data_centre,
					struct mistakes *mistakes)
{
	uint32_t errors_before = mistakes->n_errors;
	struct merged merged;
	struct reading r = { NULL, data_centre, NULL, mistakes };

	r.account = allocate(1, sizeof(*r.account));
	r.seen = g_hash_table_new_full(NULL, NULL, NULL, g_free);
	merge_open(&merged, name, text, templates, mistakes);
	if (!field_name_is_valid(name))
		mistake_add(mistakes, merged.account_document, 0, "",
			    "account's name is not valid",
			    "letters, digits, \"-\", \"_\" and \".\"");
	g_strlcpy(r.account->name, name, sizeof(r.account->name));
	merged_take(&r, &merged);
	merge_close(&merged);
	g_hash_table_destroy(r.seen);
	if (mistakes->n_errors == errors_before)
		return r.account;
	account_free(r.account);
	return NULL;
}
