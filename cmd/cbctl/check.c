/* check: all publications of a source, each by itself and all together. */
#include "cbctl.h"

#include "settings.h"

#include <stdio.h>
#include <string.h>

#define PROBLEM_BYTES 160
#define KEY_BYTES_MAX 128

/* Who uses an endpoint: a VIP belongs to one service in the whole fleet. */
struct uses {
	GHashTable *vips;
	struct mistakes *m;
};

static void vip_note(struct uses *u, const struct account_conf *a,
		     const struct service_conf *s)
{
	const char *before =
		g_hash_table_lookup(u->vips, GSIZE_TO_POINTER(s->vip));
	char document[KEY_BYTES_MAX];
	char problem[PROBLEM_BYTES];
	char key[KEY_BYTES_MAX];
	char text[32];

	if (!before) {
		g_hash_table_insert(u->vips, GSIZE_TO_POINTER(s->vip),
				    g_strdup_printf("%s/%s", a->name, s->name));
		return;
	}
	g_snprintf(document, sizeof(document), "account/%s", a->name);
	g_snprintf(key, sizeof(key), "%s.vip", s->name);
	g_snprintf(problem, sizeof(problem), "%s is the VIP of %s too",
		   addr_text(s->vip, text, sizeof(text)), before);
	mistake_add(u->m, document, 0, key, problem,
		    "a VIP that no other service has");
}

static void target_note(struct uses *u, const struct account_conf *a,
			const struct service_conf *s,
			const struct target_conf *t)
{
	const char *vip =
		g_hash_table_lookup(u->vips, GSIZE_TO_POINTER(t->addr));
	char document[KEY_BYTES_MAX];
	char problem[PROBLEM_BYTES];
	char key[KEY_BYTES_MAX];
	char text[32];

	if (!vip)
		return;
	g_snprintf(document, sizeof(document), "account/%s", a->name);
	g_snprintf(key, sizeof(key), "%s.target", s->name);
	g_snprintf(problem, sizeof(problem), "%s is the VIP of %s",
		   addr_text(t->addr, text, sizeof(text)), vip);
	mistake_add(u->m, document, 0, key, problem, "a target's own address");
}

static void each_service(struct uses *u, const struct account_set *set,
			 bool targets)
{
	for (guint i = 0; i < set->accounts->len; i++) {
		const struct account_conf *a =
			g_ptr_array_index(set->accounts, i);

		for (uint32_t j = 0; j < a->n_services; j++) {
			const struct service_conf *s = &a->services[j];

			if (!targets)
				vip_note(u, a, s);
			for (uint32_t k = 0; targets && k < s->n_targets; k++)
				target_note(u, a, s, &s->targets[k]);
		}
	}
}

static void vms_line(const char *key, uint32_t line, const char *text,
		     GHashTable *seen, struct mistakes *m)
{
	char **words = g_strsplit(text, " ", -1);
	guint n = g_strv_length(words);
	uint64_t addr = ADDR_NONE;

	if (n != 2 || addr_parse(words[0], &addr) ||
	    (strcmp(words[1], "live") && strcmp(words[1], "leaving")))
		mistake_add(m, key, line, "", "not a VM",
			    "\"IP:PORT live\" or \"IP:PORT leaving\"");
	else if (!g_hash_table_add(seen, GSIZE_TO_POINTER(addr)))
		mistake_add(m, key, line, words[0], "listed twice",
			    "each VM once");
	g_strfreev(words);
}

static void vms_check(const struct document *doc, struct mistakes *m)
{
	char **lines = g_strsplit(doc->text, "\n", -1);
	GHashTable *seen = g_hash_table_new(NULL, NULL);

	for (uint32_t i = 0; lines[i]; i++)
		if (lines[i][0])
			vms_line(doc->key, i + 1, lines[i], seen, m);
	g_hash_table_destroy(seen);
	g_strfreev(lines);
}

static void check(struct documents *d, struct mistakes *m)
{
	struct uses u = { g_hash_table_new_full(NULL, NULL, NULL, g_free), m };
	struct account_set set;

	account_set_load(d, &set, m);
	each_service(&u, &set, false);
	each_service(&u, &set, true);
	for (guint i = 0; i < d->list->len; i++) {
		const struct document *doc = g_ptr_array_index(d->list, i);

		if (document_name(doc, "vms"))
			vms_check(doc, m);
	}
	account_set_free(&set);
	g_hash_table_destroy(u.vips);
}

static void report(const struct request *r, const struct mistakes *m)
{
	GString *json;

	if (!r->json) {
		mistakes_print(m, stdout);
		return;
	}
	json = g_string_new(NULL);
	json_open(json, NULL, '{');
	mistakes_json(json, m);
	json_close(json, '}');
	print_json(json);
}

enum exit_code check_run(const struct request *r)
{
	struct mistakes m = { 0 };
	struct documents d;
	enum exit_code code = documents_load(r->operands[0], &d);

	if (code == EXIT_OK) {
		check(&d, &m);
		report(r, &m);
		code = m.n_errors ? EXIT_PROBLEMS : EXIT_OK;
	}
	mistakes_free(&m);
	documents_free(&d);
	return code;
}
