/* Reads the description of a deployment. */
#include "experiment.h"
#include "settings_table.h"

#include "route_table.h"

#include <errno.h>
#include <glib.h>
#include <string.h>

static const char *const kinds[] = { "feed", "report", "upload", NULL };

/* Numbers of a class that its struct keeps in parts. */
struct class_text {
	char name[NAME_MAX_BYTES];
	char service[NAME_MAX_BYTES];
	uint8_t kind;
};

#define TEXT(type, key) FIELD(type, #key, FIELD_NAME, key, .required = true)
#define SECONDS(type, key, member, most) \
	FIELD(type, key, FIELD_SECONDS, member, .required = true, .max = most)
#define COUNT(type, key, member, low, high)                               \
	FIELD(type, key, FIELD_U32, member, .required = true, .min = low, \
	      .max = high)
#define DECIMAL(type, key, member, most) \
	FIELD(type, key, FIELD_DECIMAL, member, .required = true, .max = most)
#define SPREAD(key, member, how, high)                                       \
	FIELD(site_class, key, how, member.mean, .required = true, .min = 1, \
	      .max = high),                                                  \
		FIELD(site_class, key "_sigma_percent", FIELD_U32,           \
		      member.sigma_percent, .max = 300),                     \
		FIELD(site_class, key "_most", how, member.most, .max = high)

static const struct field site_fields[] = {
	SECONDS(site, "near_s", near_ns, 1),
	SECONDS(site, "far_s", far_ns, 1),
	SECONDS(site, "client_s", client_ns, 1),
	FIELD(site, "remainder", FIELD_BOOL, mod),
	FIELD(site, "link_bytes_per_s", FIELD_U64, link_bytes_per_s,
	      .max = 1 << 30),
	FIELD(site, "link_told", FIELD_BOOL, link_told),
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

static const struct field class_texts[] = {
	TEXT(class_text, name),
	TEXT(class_text, service),
	FIELD(class_text, "kind", FIELD_CHOICE, kind, .required = true,
	      .choices = kinds),
	{ 0 }
};

static const struct field class_fields[] = {
	SPREAD("work_ms", work_ns, FIELD_MS, 60000),
	SPREAD("request_bytes", request_bytes, FIELD_U64, 500000),
	SPREAD("answer_bytes", answer_bytes, FIELD_U64, 500000),
	SECONDS(site_class, "aim_s", aim_ns, 60),
	SECONDS(site_class, "deadline_s", deadline_ns, 600),
	DECIMAL(site_class, "worth", worth, 1000),
	DECIMAL(site_class, "late_worth", late_worth, 1000),
	COUNT(site_class, "retries", retries, 0, 10),
	{ 0 }
};

static const struct field zone_fields[] = {
	COUNT(site_zone, "entries", entries, 0, ENTRIES_MAX),
	COUNT(site_zone, "users", users, 1, USERS_MAX),
	FIELD(site_zone, "swing", FIELD_DECIMAL, swing, .max = 1),
	FIELD(site_zone, "wave_s", FIELD_SECONDS, wave_ns, .max = 86400),
	FIELD(site_zone, "phase", FIELD_DECIMAL, phase, .max = 1),
	{ 0 }
};

static const struct field name_field[] = {
	FIELD(class_text, "name", FIELD_NAME, name, .required = true), { 0 }
};

static void take_name(struct mistakes *m, struct toml_node *t, char *out)
{
	struct class_text text = { 0 };

	fields_parse(m, t->key, t, name_field, &text);
	g_strlcpy(out, text.name, SITE_NAME_BYTES);
}

static double number_of(const struct toml_node *n)
{
	return n->kind == TOML_DECIMAL ? n->decimal : (double)n->number;
}

/* A list of numbers; shorter or longer than @n is a mistake. */
static void take_list(struct mistakes *m, struct toml_node *t, const char *key,
		      uint32_t n, double *out)
{
	struct toml_node *list = toml_find(t, key);

	if (!list || list->kind != TOML_ARRAY || list->n_items != n) {
		field_add_mistake(m, list ? list : t, t->key, key,
				  list ? "is no list of that length"
				       : "missing",
				  "a number each, in their order");
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
 * struct part - a list of tables in the file
 * @key: its name
 * @most: how many there may be
 */
struct part {
	const char *key;
	uint32_t most;
};

static struct toml_node *take_part(struct mistakes *m, struct toml_node *root,
				   const struct part *p, uint32_t *n)
{
	struct toml_node *list = toml_find(root, p->key);

	*n = 0;
	if (!list || list->kind != TOML_ARRAY || !list->n_items ||
	    list->n_items > p->most) {
		field_add_mistake(m, list ? list : root, p->key, "",
				  list ? "is too many, or no list" : "missing",
				  "some tables of it");
		return NULL;
	}
	list->consumed = 1;
	*n = list->n_items;
	return list->items;
}

static void take_services(struct mistakes *m, struct toml_node *root,
			  struct site *s)
{
	struct part part = { "service", SERVICES_MAX };
	struct toml_node *all = take_part(m, root, &part, &s->n_services);

	for (uint32_t i = 0; i < s->n_services; i++) {
		struct site_service *v = &s->services[i];
		double targets[ZONES_MAX] = { 0 };

		take_name(m, &all[i], v->name);
		fields_parse(m, "service", &all[i], service_fields, v);
		take_list(m, &all[i], "targets", s->n_zones, targets);
		for (uint32_t z = 0; z < s->n_zones; z++)
			v->targets[z] = (uint32_t)targets[z];
		fields_report_unknown(m, "service", &all[i]);
	}
}

static uint32_t service_named(const struct site *s, const char *name)
{
	uint32_t i = 0;

	while (i < s->n_services && strcmp(s->services[i].name, name))
		i++;
	return i;
}

static void take_classes(struct mistakes *m, struct toml_node *root,
			 struct site *s)
{
	struct part part = { "class", CLASSES_MAX };
	struct toml_node *all = take_part(m, root, &part, &s->n_classes);

	for (uint32_t i = 0; i < s->n_classes; i++) {
		struct site_class *c = &s->classes[i];
		struct class_text text = { 0 };

		fields_parse(m, "class", &all[i], class_texts, &text);
		fields_parse(m, "class", &all[i], class_fields, c);
		fields_report_unknown(m, "class", &all[i]);
		g_strlcpy(c->name, text.name, sizeof(c->name));
		c->kind = text.kind;
		c->priority = text.kind == ROUTE_REPORT ? 1 : 2;
		c->service = service_named(s, text.service);
		if (c->service == s->n_services)
			field_add_mistake(m, &all[i], "class", "service",
					  "is not described",
					  "the name of a service");
		if (!i && c->kind != ROUTE_FEED)
			field_add_mistake(m, &all[i], "class", "kind",
					  "is not a feed",
					  "the feed as the first class");
	}
}

static void take_zones(struct mistakes *m, struct toml_node *root,
		       struct site *s)
{
	struct part part = { "data_centre", ZONES_MAX };
	struct toml_node *all = take_part(m, root, &part, &s->n_zones);

	for (uint32_t z = 0; z < s->n_zones; z++) {
		take_name(m, &all[z], s->zones[z].name);
		fields_parse(m, "data_centre", &all[z], zone_fields,
			     &s->zones[z]);
	}
}

/* The classes' number is known by now. */
static void take_rates(struct mistakes *m, struct toml_node *root,
		       struct site *s)
{
	struct toml_node *all = toml_find(root, "data_centre");

	for (uint32_t z = 0; z < s->n_zones; z++) {
		take_list(m, &all->items[z], "rates", s->n_classes,
			  s->zones[z].per_s);
		fields_report_unknown(m, "data_centre", &all->items[z]);
	}
}

/**
 * site_read() - read a deployment
 * @path: file
 * @out: filled
 * @m: every mistake is added
 *
 * Return: 0; -EINVAL when there are mistakes; -ENOENT.
 */
int site_read(const char *path, struct site *out, struct mistakes *m)
{
	struct settings_reader r;
	int err = settings_open(&r, path, m);

	*out = (struct site){ 0 };
	if (err)
		return err;
	take_name(m, r.root, out->name);
	fields_parse(m, "", r.root, site_fields, out);
	take_zones(m, r.root, out);
	take_services(m, r.root, out);
	take_classes(m, r.root, out);
	take_rates(m, r.root, out);
	fields_report_unknown(m, "", r.root);
	return settings_close(&r);
}
