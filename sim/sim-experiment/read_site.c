/* Parser of deployment files. */
#include "experiment.h"
#include "settings_table.h"

#include "route_table.h"

#include <errno.h>
#include <glib.h>
#include <string.h>

static const char *const kinds[] = { "feed", "report", "upload", "download",
				     NULL };

/* Fields of a class that struct site_class holds in another form. */
struct class_strings {
	char name[NAME_MAX_BYTES];
	char service[NAME_MAX_BYTES];
	char other_service[NAME_MAX_BYTES];
	uint8_t kind;
};

#define TEXT(type, key) FIELD(type, #key, FIELD_NAME, key, .required = true)
#define SECONDS(type, key, member, upper) \
	FIELD(type, key, FIELD_SECONDS, member, .required = true, .max = upper)
#define COUNT(type, key, member, low, high)                               \
	FIELD(type, key, FIELD_U32, member, .required = true, .min = low, \
	      .max = high)
#define DECIMAL(type, key, member, upper) \
	FIELD(type, key, FIELD_DECIMAL, member, .required = true, .max = upper)
#define SPREAD(key, member, field_type, high)                             \
	FIELD(site_class, key, field_type, member.mean, .required = true, \
	      .min = 1, .max = high),                                     \
		FIELD(site_class, key "_sigma_percent", FIELD_U32,        \
		      member.sigma_percent, .max = 300),                  \
		FIELD(site_class, key "_most", field_type, member.max,    \
		      .max = high)

static const struct field site_fields[] = {
	SECONDS(site, "near_s", same_dc_delay_ns, 1),
	SECONDS(site, "far_s", other_dc_delay_ns, 1),
	SECONDS(site, "client_s", client_delay_ns, 1),
	FIELD(site, "remainder", FIELD_BOOL, by_remainder),
	FIELD(site, "link_bytes_per_s", FIELD_U64, link_bytes_per_s,
	      .max = 1 << 30),
	FIELD(site, "link_told", FIELD_BOOL, link_is_known),
	{ 0 }
};

static const struct field service_fields[] = {
	COUNT(site_service, "slots", slots, 1, 64),
	COUNT(site_service, "queue", queue, 0, 64),
	COUNT(site_service, "connections", connections, 1, 1000000),
	SECONDS(site_service, "cold_s", cold_ns, 3600),
	COUNT(site_service, "cold_percent", cold_percent, 100, 10000),
	FIELD(site_service, "cold_per_s", FIELD_DECIMAL, cold_per_s,
	      .max = 100000),
	SECONDS(site_service, "idle_close_s", idle_close_ns, 3600),
	{ 0 }
};

static const struct field class_string_fields[] = {
	TEXT(class_strings, name),
	TEXT(class_strings, service),
	FIELD(class_strings, "other_service", FIELD_NAME, other_service),
	FIELD(class_strings, "kind", FIELD_CHOICE, kind, .required = true,
	      .choices = kinds),
	{ 0 }
};

static const struct field class_fields[] = {
	SPREAD("work_ms", work_ns, FIELD_MS, 60000),
	SPREAD("request_bytes", request_bytes, FIELD_U64, 500000),
	SPREAD("answer_bytes", answer_bytes, FIELD_U64, 500000),
	SECONDS(site_class, "aim_s", objective_ns, 60),
	SECONDS(site_class, "deadline_s", deadline_ns, 600),
	DECIMAL(site_class, "worth", value, 1000),
	DECIMAL(site_class, "late_worth", late_value, 1000),
	COUNT(site_class, "retries", retries, 0, 10),
	FIELD(site_class, "long_flows", FIELD_BOOL, long_flows,
	      .keep_if_missing = true),
	FIELD(site_class, "other_percent", FIELD_U32, other_percent, .max = 99),
	FIELD(site_class, "tail_percent", FIELD_U32, tail_percent, .max = 100),
	FIELD(site_class, "tail_factor", FIELD_U32, tail_factor, .min = 1,
	      .max = 100),
	{ 0 }
};

static const struct field zone_fields[] = {
	COUNT(site_zone, "entries", entries, 0, ENTRIES_MAX),
	COUNT(site_zone, "users", users, 1, USERS_MAX),
	FIELD(site_zone, "swing", FIELD_DECIMAL, amplitude, .max = 1),
	FIELD(site_zone, "wave_s", FIELD_SECONDS, period_ns, .max = 86400),
	FIELD(site_zone, "phase", FIELD_DECIMAL, phase, .max = 1),
	{ 0 }
};

static const struct field name_field[] = {
	FIELD(class_strings, "name", FIELD_NAME, name, .required = true), { 0 }
};

static void parse_name(struct mistakes *m, struct toml_node *t, char *out)
{
	struct class_strings strings = { 0 };

	fields_parse(m, t->key, t, name_field, &strings);
	g_strlcpy(out, strings.name, SITE_NAME_BYTES);
}

static double number_of(const struct toml_node *n)
{
	return n->kind == TOML_DECIMAL ? n->decimal : (double)n->number;
}

/* Parse a list of exactly @n numbers. */
static void parse_numbers(struct mistakes *m, struct toml_node *t,
			  const char *key, uint32_t n, double *out)
{
	struct toml_node *list = toml_find(t, key);

	if (!list || list->kind != TOML_ARRAY || list->n_items != n) {
		field_add_mistake(
			m, list ? list : t, t->key, key,
			list ? "is not an array of the required length"
			     : "missing",
			"one number each, in order");
		return;
	}
	list->consumed = 1;
	for (uint32_t i = 0; i < n; i++) {
		const struct toml_node *v = &list->items[i];

		if (v->kind != TOML_INTEGER && v->kind != TOML_DECIMAL)
			field_add_mistake(m, v, t->key, key,
					  toml_kind_name(v->kind), "a number");
		else
			out[i] = number_of(v);
	}
}

/**
 * struct table_array - an array of tables in the file
 * @key: its key
 * @max_items: largest number of tables
 */
struct table_array {
	const char *key;
	uint32_t max_items;
};

static struct toml_node *find_tables(struct mistakes *m, struct toml_node *root,
				     const struct table_array *p, uint32_t *n)
{
	struct toml_node *list = toml_find(root, p->key);

	*n = 0;
	if (!list || list->kind != TOML_ARRAY || !list->n_items ||
	    list->n_items > p->max_items) {
		field_add_mistake(m, list ? list : root, p->key, "",
				  list ? "is empty, too long, or not an array"
				       : "missing",
				  "an array of tables");
		return NULL;
	}
	list->consumed = 1;
	*n = list->n_items;
	return list->items;
}

static void parse_services(struct mistakes *m, struct toml_node *root,
			   struct site *s)
{
	struct table_array table_array = { "service", SERVICES_MAX };
	struct toml_node *all =
		find_tables(m, root, &table_array, &s->n_services);

	for (uint32_t i = 0; i < s->n_services; i++) {
		struct site_service *v = &s->services[i];
		double targets[ZONES_MAX] = { 0 };

		parse_name(m, &all[i], v->name);
		fields_parse(m, "service", &all[i], service_fields, v);
		parse_numbers(m, &all[i], "targets", s->n_zones, targets);
		for (uint32_t z = 0; z < s->n_zones; z++)
			v->targets[z] = (uint32_t)targets[z];
		fields_report_unknown(m, "service", &all[i]);
	}
}

static uint32_t find_service(const struct site *s, const char *name)
{
	uint32_t i = 0;

	while (i < s->n_services && strcmp(s->services[i].name, name))
		i++;
	return i;
}

static void parse_classes(struct mistakes *m, struct toml_node *root,
			  struct site *s)
{
	struct table_array table_array = { "class", CLASSES_MAX };
	struct toml_node *all =
		find_tables(m, root, &table_array, &s->n_classes);

	for (uint32_t i = 0; i < s->n_classes; i++) {
		struct site_class *c = &s->classes[i];
		struct class_strings strings = { 0 };

		fields_parse(m, "class", &all[i], class_string_fields,
			     &strings);
		c->long_flows = strings.kind == ROUTE_FEED;
		fields_parse(m, "class", &all[i], class_fields, c);
		fields_report_unknown(m, "class", &all[i]);
		g_strlcpy(c->name, strings.name, sizeof(c->name));
		c->kind = strings.kind;
		c->priority = strings.kind == ROUTE_REPORT ? 1 : 2;
		c->service = find_service(s, strings.service);
		if (c->service == s->n_services)
			field_add_mistake(m, &all[i], "class", "service",
					  "is not defined",
					  "the name of a service");
		if (c->other_percent)
			c->other_service =
				find_service(s, strings.other_service);
		if (c->other_service == s->n_services)
			field_add_mistake(m, &all[i], "class", "other_service",
					  "is not defined",
					  "the name of a service");
		if (c->tail_percent && !c->tail_factor)
			field_add_mistake(m, &all[i], "class", "tail_factor",
					  "missing", "a factor above 1");
		if (!i && c->kind != ROUTE_FEED)
			field_add_mistake(m, &all[i], "class", "kind",
					  "is not a feed",
					  "a feed as the first class");
	}
}

static void parse_zones(struct mistakes *m, struct toml_node *root,
			struct site *s)
{
	struct table_array table_array = { "data_centre", ZONES_MAX };
	struct toml_node *all = find_tables(m, root, &table_array, &s->n_zones);

	for (uint32_t z = 0; z < s->n_zones; z++) {
		parse_name(m, &all[z], s->zones[z].name);
		fields_parse(m, "data_centre", &all[z], zone_fields,
			     &s->zones[z]);
	}
}

/* Parse the rates, one for each class; the classes have to be parsed before. */
static void parse_rates(struct mistakes *m, struct toml_node *root,
			struct site *s)
{
	struct toml_node *all = toml_find(root, "data_centre");

	for (uint32_t z = 0; z < s->n_zones; z++) {
		parse_numbers(m, &all->items[z], "rates", s->n_classes,
			      s->zones[z].per_s);
		fields_report_unknown(m, "data_centre", &all->items[z]);
	}
}

/**
 * site_read() - parse a deployment
 * @path: file
 * @out: receives the description
 * @m: every mistake in the file is added
 *
 * Return: 0; -EINVAL when there are mistakes; -ENOENT without the file.
 */
int site_read(const char *path, struct site *out, struct mistakes *m)
{
	struct settings_reader r;
	int err = settings_open(&r, path, m);

	*out = (struct site){ 0 };
	if (err)
		return err;
	parse_name(m, r.root, out->name);
	fields_parse(m, "", r.root, site_fields, out);
	parse_zones(m, r.root, out);
	parse_services(m, r.root, out);
	parse_classes(m, r.root, out);
	parse_rates(m, r.root, out);
	fields_report_unknown(m, "", r.root);
	return settings_close(&r);
}
