/* Reads the description of an experiment. */
#include "experiment.h"
#include "settings_table.h"

#include "policy_settings.h"

#include <errno.h>
#include <glib.h>

/* What is taken apart from the numbers. */
struct texts {
	char title[TITLE_BYTES];
	char site[PATH_BYTES];
	char data_centre[NAME_MAX_BYTES];
};

#define SECONDS(key, member, usual)                                \
	FIELD(experiment, key, FIELD_SECONDS, member, .max = 3600, \
	      .fallback = usual)

static const struct field experiment_fields[] = {
	FIELD(experiment, "load", FIELD_DECIMAL, load, .max = 100,
	      .fallback = 1),
	FIELD(experiment, "seeds", FIELD_U32, seeds, .min = 1, .max = SEEDS_MAX,
	      .fallback = 20),
	FIELD(experiment, "first_seed", FIELD_U32, first_seed,
	      .max = UINT32_MAX, .fallback = 1),
	SECONDS("warm_up_s", warm_up_ns, 6),
	SECONDS("run_s", run_ns, 20),
	{ 0 }
};

static const struct field trouble_fields[] = {
	FIELD(trouble, "kind", FIELD_CHOICE, kind, .required = true,
	      .choices = trouble_names),
	FIELD(trouble, "at_s", FIELD_SECONDS, at_ns, .max = 3600),
	FIELD(trouble, "share", FIELD_DECIMAL, share, .max = 1, .fallback = 1),
	FIELD(trouble, "for_s", FIELD_SECONDS, for_ns, .max = 3600,
	      .fallback = 5),
	FIELD(trouble, "gap_s", FIELD_SECONDS, gap_ns, .max = 3600,
	      .fallback = 1),
	FIELD(trouble, "factor", FIELD_DECIMAL, factor, .max = 1000,
	      .fallback = 2),
	{ 0 }
};

/* A text that may have any characters. */
static void take_text(struct mistakes *m, struct toml_node *table,
		      const char *key, char *out, size_t n, bool required)
{
	struct toml_node *node = toml_find(table, key);

	if (!node && !required)
		return;
	if (!node || node->kind != TOML_STRING ||
	    g_strlcpy(out, node->text, n) >= n) {
		field_add_mistake(m, node ? node : table, "", key,
				  node ? "is no text, or too long" : "missing",
				  "a text");
		return;
	}
	node->consumed = 1;
}

static uint32_t zone_named(const struct site *s, const char *name)
{
	for (uint32_t z = 0; z < s->n_zones; z++)
		if (!g_strcmp0(s->zones[z].name, name))
			return z;
	return UINT32_MAX;
}

static void take_trouble(struct mistakes *m, struct toml_node *t,
			 struct experiment *x)
{
	struct trouble *out = &x->troubles[x->n_troubles++];
	struct texts texts = { 0 };

	fields_parse(m, "trouble", t, trouble_fields, out);
	take_text(m, t, "data_centre", texts.data_centre,
		  sizeof(texts.data_centre), false);
	fields_report_unknown(m, "trouble", t);
	out->zone = zone_named(&x->site, texts.data_centre);
	if (texts.data_centre[0] && out->zone == UINT32_MAX)
		field_add_mistake(m, t, "trouble", "data_centre",
				  "is not of this deployment",
				  "the name of a data centre");
}

static void take_variant(struct mistakes *m, struct toml_node *t,
			 struct experiment *x)
{
	struct variant *out = &x->variants[x->n_variants++];

	out->policy = policy_default;
	take_text(m, t, "title", out->title, sizeof(out->title), true);
	fields_parse(m, "policy", t, policy_fields, &out->policy);
	fields_report_unknown(m, "policy", t);
}

static void take_all(struct mistakes *m, struct toml_node *root,
		     const char *key, uint32_t most, struct experiment *x,
		     void (*take)(struct mistakes *m, struct toml_node *t,
				  struct experiment *x))
{
	struct toml_node *list = toml_find(root, key);

	if (!list)
		return;
	if (list->kind != TOML_ARRAY || list->n_items > most) {
		field_add_mistake(m, list, key, "", "is too many, or no list",
				  "tables of it");
		return;
	}
	list->consumed = 1;
	for (uint32_t i = 0; i < list->n_items; i++)
		take(m, &list->items[i], x);
}

static void take_load(struct experiment *x)
{
	for (uint32_t z = 0; z < x->site.n_zones; z++)
		for (uint32_t c = 0; c < x->site.n_classes; c++)
			x->site.zones[z].per_s[c] *= x->load;
}

static void take(struct mistakes *m, struct toml_node *root,
		 struct experiment *x)
{
	struct texts texts = { 0 };

	take_text(m, root, "title", x->title, sizeof(x->title), true);
	take_text(m, root, "site", texts.site, sizeof(texts.site), true);
	fields_parse(m, "", root, experiment_fields, x);
	if (texts.site[0])
		site_read(texts.site, &x->site, m);
	take_all(m, root, "trouble", TROUBLES_MAX, x, take_trouble);
	take_all(m, root, "policy", POLICIES_MAX, x, take_variant);
	fields_report_unknown(m, "", root);
	take_load(x);
	if (x->n_variants)
		return;
	x->variants[x->n_variants++] =
		(struct variant){ "usual", policy_default };
}

/**
 * experiment_read() - read an experiment and its deployment
 * @path: file; the deployment's path in it is as seen from here
 * @out: filled
 * @m: every mistake is added
 *
 * Return: 0; -EINVAL when there are mistakes; -ENOENT.
 */
int experiment_read(const char *path, struct experiment *out,
		    struct mistakes *m)
{
	struct settings_reader r;
	int err = settings_open(&r, path, m);

	*out = (struct experiment){ 0 };
	if (err)
		return err;
	take(m, r.root, out);
	return settings_close(&r);
}
