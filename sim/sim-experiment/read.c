/* Parser of experiment files. */
#include "experiment.h"
#include "settings_table.h"

#include "policy_settings.h"

#include <errno.h>
#include <glib.h>

/* Strings of an experiment file. */
struct strings {
	char title[TITLE_BYTES];
	char site[PATH_BYTES];
	char data_centre[NAME_MAX_BYTES];
};

#define SECONDS(key, member, default_s)                            \
	FIELD(experiment, key, FIELD_SECONDS, member, .max = 3600, \
	      .fallback = default_s)

static const struct field experiment_fields[] = {
	FIELD(experiment, "load", FIELD_DECIMAL, load_factor, .max = 100,
	      .fallback = 1),
	FIELD(experiment, "seeds", FIELD_U32, seeds, .min = 1, .max = SEEDS_MAX,
	      .fallback = 20),
	FIELD(experiment, "first_seed", FIELD_U32, first_seed,
	      .max = UINT32_MAX, .fallback = 1),
	SECONDS("warm_up_s", warm_up_ns, 6),
	SECONDS("run_s", run_ns, 20),
	{ 0 }
};

static const struct field incident_fields[] = {
	FIELD(incident, "kind", FIELD_CHOICE, kind, .required = true,
	      .choices = incident_names),
	FIELD(incident, "at_s", FIELD_SECONDS, at_ns, .max = 3600),
	FIELD(incident, "share", FIELD_DECIMAL, share, .max = 1, .fallback = 1),
	FIELD(incident, "for_s", FIELD_SECONDS, for_ns, .max = 3600,
	      .fallback = 5),
	FIELD(incident, "gap_s", FIELD_SECONDS, gap_ns, .max = 3600,
	      .fallback = 1),
	FIELD(incident, "factor", FIELD_DECIMAL, factor, .max = 1000,
	      .fallback = 2),
	{ 0 }
};

/* Parse a string without restrictions on its characters. */
static void parse_text(struct mistakes *m, struct toml_node *table,
		       const char *key, char *out, size_t n, bool required)
{
	struct toml_node *node = toml_find(table, key);

	if (!node && !required)
		return;
	if (!node || node->kind != TOML_STRING ||
	    g_strlcpy(out, node->text, n) >= n) {
		field_add_mistake(m, node ? node : table, "", key,
				  node ? "is not a string, or too long"
				       : "missing",
				  "a string");
		return;
	}
	node->consumed = 1;
}

static uint32_t find_zone(const struct site *s, const char *name)
{
	for (uint32_t z = 0; z < s->n_zones; z++)
		if (!g_strcmp0(s->zones[z].name, name))
			return z;
	return UINT32_MAX;
}

static void parse_incident(struct mistakes *m, struct toml_node *t,
			   struct experiment *experiment)
{
	struct incident *out =
		&experiment->incidents[experiment->n_incidents++];
	struct strings strings = { 0 };

	fields_parse(m, "trouble", t, incident_fields, out);
	parse_text(m, t, "data_centre", strings.data_centre,
		   sizeof(strings.data_centre), false);
	fields_report_unknown(m, "trouble", t);
	out->zone = find_zone(&experiment->site, strings.data_centre);
	if (strings.data_centre[0] && out->zone == UINT32_MAX)
		field_add_mistake(m, t, "trouble", "data_centre",
				  "is not in this deployment",
				  "the name of a data centre");
}

static void parse_variant(struct mistakes *m, struct toml_node *t,
			  struct experiment *experiment)
{
	struct variant *out = &experiment->variants[experiment->n_variants++];

	out->policy = policy_default;
	parse_text(m, t, "title", out->title, sizeof(out->title), true);
	fields_parse(m, "policy", t, policy_fields, &out->policy);
	fields_report_unknown(m, "policy", t);
}

static void parse_list(struct mistakes *m, struct toml_node *root,
		       const char *key, uint32_t max_items,
		       struct experiment *experiment,
		       void (*parse)(struct mistakes *m, struct toml_node *t,
				     struct experiment *experiment))
{
	struct toml_node *list = toml_find(root, key);

	if (!list)
		return;
	if (list->kind != TOML_ARRAY || list->n_items > max_items) {
		field_add_mistake(m, list, key, "",
				  "is not an array, or too long",
				  "an array of tables");
		return;
	}
	list->consumed = 1;
	for (uint32_t i = 0; i < list->n_items; i++)
		parse(m, &list->items[i], experiment);
}

static void apply_load(struct experiment *experiment)
{
	for (uint32_t z = 0; z < experiment->site.n_zones; z++)
		for (uint32_t c = 0; c < experiment->site.n_classes; c++)
			experiment->site.zones[z].per_s[c] *=
				experiment->load_factor;
}

static void parse_experiment(struct mistakes *m, struct toml_node *root,
			     struct experiment *experiment)
{
	struct strings strings = { 0 };

	parse_text(m, root, "title", experiment->title,
		   sizeof(experiment->title), true);
	parse_text(m, root, "site", strings.site, sizeof(strings.site), true);
	fields_parse(m, "", root, experiment_fields, experiment);
	if (strings.site[0])
		site_read(strings.site, &experiment->site, m);
	parse_list(m, root, "trouble", INCIDENTS_MAX, experiment,
		   parse_incident);
	parse_list(m, root, "policy", POLICIES_MAX, experiment, parse_variant);
	fields_report_unknown(m, "", root);
	apply_load(experiment);
	if (experiment->n_variants)
		return;
	experiment->variants[experiment->n_variants++] =
		(struct variant){ "usual", policy_default };
}

/**
 * experiment_read() - parse an experiment and its deployment
 * @path: file; the path of the deployment in it is relative to the working
 *	directory
 * @out: receives the description
 * @m: every mistake in the files is added
 *
 * Return: 0; -EINVAL when there are mistakes; -ENOENT without the file.
 */
int experiment_read(const char *path, struct experiment *out,
		    struct mistakes *m)
{
	struct settings_reader r;
	int err = settings_open(&r, path, m);

	*out = (struct experiment){ 0 };
	if (err)
		return err;
	parse_experiment(m, r.root, out);
	return settings_close(&r);
}
