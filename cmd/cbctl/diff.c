/* diff: what publishing one source in place of another would change. */
#include "cbctl.h"

#include <stdio.h>
#include <string.h>

static const char *const kinds[] = {
	[CHANGE_ADDED] = "added",
	[CHANGE_REMOVED] = "removed",
	[CHANGE_VALUE] = "changed",
};

struct side {
	struct documents documents;
	struct account_set set;
};

static const char *or_dash(const char *text)
{
	return text[0] ? text : "-";
}

static void change_print(void *unused, const struct change *c)
{
	(void)unused;
	printf("%s %s %s %s %s %s %s\n", kinds[c->kind], c->account,
	       or_dash(c->service), or_dash(c->target), or_dash(c->key),
	       or_dash(c->before), or_dash(c->after));
}

static void change_json(void *ctx, const struct change *c)
{
	GString *to = ctx;

	json_open(to, NULL, '{');
	json_string(to, "change", kinds[c->kind]);
	json_string(to, "account", c->account);
	json_string(to, "service", c->service);
	json_string(to, "target", c->target);
	json_string(to, "key", c->key);
	json_string(to, "before", c->before);
	json_string(to, "after", c->after);
	json_close(to, '}');
}

/* Accounts of both sides in turn; those of both are compared once. */
static void each_account(const struct side *standing, const struct side *next,
			 struct change_handler watch, struct mistakes *m)
{
	for (guint i = 0; i < standing->set.accounts->len; i++) {
		const struct account_conf *a =
			g_ptr_array_index(standing->set.accounts, i);
		const struct account_conf *b =
			account_set_find(&next->set, a->name);

		publication_diff(a, b, watch);
		publication_compare(a, b, m);
	}
	for (guint i = 0; i < next->set.accounts->len; i++) {
		const struct account_conf *b =
			g_ptr_array_index(next->set.accounts, i);

		if (!account_set_find(&standing->set, b->name))
			publication_diff(NULL, b, watch);
	}
}

static void differ(const struct request *r, const struct side *standing,
		   const struct side *next, struct mistakes *m)
{
	GString *json = g_string_new(NULL);

	if (!r->json) {
		each_account(standing, next,
			     (struct change_handler){ NULL, change_print }, m);
		mistakes_print(m, stderr);
		g_string_free(json, TRUE);
		return;
	}
	json_open(json, NULL, '{');
	json_open(json, "changes", '[');
	each_account(standing, next,
		     (struct change_handler){ json, change_json }, m);
	json_close(json, ']');
	mistakes_json(json, m);
	json_close(json, '}');
	print_json(json);
}

static void side_free(struct side *s)
{
	account_set_free(&s->set);
	documents_free(&s->documents);
}

static enum exit_code side_load(const char *source, struct side *s,
				struct mistakes *m)
{
	enum exit_code code = documents_load(source, &s->documents);

	account_set_load(&s->documents, &s->set, m);
	return code;
}

/* An account that doesn't render would look like one that is withdrawn. */
static enum exit_code refuse(const struct mistakes *m)
{
	mistakes_print(m, stderr);
	return EXIT_PROBLEMS;
}

enum exit_code diff_run(const struct request *r)
{
	struct mistakes before = { 0 };
	struct mistakes m = { 0 };
	struct side standing;
	struct side next;
	enum exit_code code = side_load(r->operands[0], &standing, &before);

	code = worse(code, side_load(r->operands[1], &next, &m));
	if (code == EXIT_OK && m.n_errors) {
		code = refuse(&m);
	} else if (code == EXIT_OK) {
		if (before.n_errors)
			mistakes_print(&before, stderr);
		differ(r, &standing, &next, &m);
		code = m.n_errors ? EXIT_PROBLEMS : EXIT_OK;
	}
	mistakes_free(&before);
	mistakes_free(&m);
	side_free(&standing);
	side_free(&next);
	return code;
}
