#include "publication.h"

#include "settings.h"

#include <glib.h>

#define PROBLEM_BYTES 160
#define KEY_TEXT_BYTES 128

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
	char document[KEY_TEXT_BYTES];
	char problem[PROBLEM_BYTES];
	char key[KEY_TEXT_BYTES];
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
	char document[KEY_TEXT_BYTES];
	char problem[PROBLEM_BYTES];
	char key[KEY_TEXT_BYTES];
	char text[32];

	if (!vip)
		return;
	g_snprintf(document, sizeof(document), "account/%s", a->name);
	g_snprintf(key, sizeof(key), "%s.target", s->name);
	g_snprintf(problem, sizeof(problem), "%s is the VIP of %s",
		   addr_text(t->addr, text, sizeof(text)), vip);
	mistake_add(u->m, document, 0, key, problem, "a target's own address");
}

static void each_service(struct uses *u, const struct account_conf *const *list,
			 uint32_t n, bool targets)
{
	for (uint32_t i = 0; i < n; i++) {
		const struct account_conf *a = list[i];

		for (uint32_t j = 0; j < a->n_services; j++) {
			const struct service_conf *s = &a->services[j];

			if (!targets)
				vip_note(u, a, s);
			for (uint32_t k = 0; targets && k < s->n_targets; k++)
				target_note(u, a, s, &s->targets[k]);
		}
	}
}

void publication_fleet(const struct account_conf *const *list, uint32_t n,
		       struct mistakes *mistakes)
{
	struct uses u = { g_hash_table_new_full(NULL, NULL, NULL, g_free),
			  mistakes };

	each_service(&u, list, n, false);
	each_service(&u, list, n, true);
	g_hash_table_destroy(u.vips);
}
