/* generations: what is in force on each VM, and who lags. */
#include "cbctl.h"

#include "fetch.h"

#include <errno.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define ACCOUNT_PREFIX "account/"
#define PUBLISHED "published"

/**
 * struct row - one account on one VM
 * @account: account
 * @peer: whose word it is
 * @generation: in force there; 0 when the peer doesn't have it
 */
struct row {
	char *account;
	const char *peer;
	uint64_t generation;
};

/**
 * struct table - all answers
 * @rows: struct row
 * @newest: greatest generation of an account, by name
 */
struct table {
	GArray *rows;
	GHashTable *newest;
};

static uint64_t newest(const struct table *t, const char *account)
{
	const uint64_t *g = g_hash_table_lookup(t->newest, account);

	return g ? *g : 0;
}

static void note(struct table *t, const char *peer, const char *account,
		 uint64_t generation)
{
	struct row row = { g_strdup(account), peer, generation };
	uint64_t *kept;

	g_array_append_val(t->rows, row);
	if (newest(t, account) >= generation &&
	    g_hash_table_contains(t->newest, account))
		return;
	kept = g_new(uint64_t, 1);
	*kept = generation;
	g_hash_table_replace(t->newest, g_strdup(account), kept);
}

/*
 * cb-watch: "account/NAME GENERATION REVISION HASH live"; cb-entry:
 * "account NAME GENERATION". Other lines are of no account.
 */
static void take_line(struct table *t, const char *peer, const char *line)
{
	char **w = g_strsplit(line, " ", -1);
	guint n = g_strv_length(w);

	if (n >= 2 && g_str_has_prefix(w[0], ACCOUNT_PREFIX) &&
	    strcmp(w[n - 1], "withdrawn"))
		note(t, peer, w[0] + strlen(ACCOUNT_PREFIX),
		     g_ascii_strtoull(w[1], NULL, 10));
	else if (n == 3 && !strcmp(w[0], "account"))
		note(t, peer, w[1], g_ascii_strtoull(w[2], NULL, 10));
	g_strfreev(w);
}

static void take_lines(struct table *t, const char *peer, const char *body)
{
	char **lines = g_strsplit(body, "\n", -1);

	for (char **l = lines; *l; l++)
		take_line(t, peer, *l);
	g_strfreev(lines);
}

/* A cb-watch has the page; a cb-entry says the same in its status. */
static enum exit_code ask_peer(struct table *t, const char *peer)
{
	char *url = g_strdup_printf("http://%s/generations", peer);
	char error[FETCH_ERROR_BYTES];
	GString *body = g_string_new(NULL);
	enum exit_code code = EXIT_OK;

	if (fetch(url, ASK_TIMEOUT_MS, body, error))
		code = ask(peer, "/status", body);
	if (code == EXIT_OK)
		take_lines(t, peer, body->str);
	g_string_free(body, TRUE);
	g_free(url);
	return code;
}

static enum exit_code published(struct table *t, const char *url)
{
	struct mistakes m = { 0 };
	struct documents d;
	struct account_set set;
	enum exit_code code = documents_load(url, &d);

	account_set_load(&d, &set, &m);
	for (guint i = 0; i < set.accounts->len; i++) {
		const struct account_conf *a =
			g_ptr_array_index(set.accounts, i);

		note(t, PUBLISHED, a->name, a->generation);
	}
	mistakes_print(&m, stderr);
	mistakes_free(&m);
	account_set_free(&set);
	documents_free(&d);
	return code;
}

static bool has(const struct table *t, const char *peer, const char *account)
{
	for (guint i = 0; i < t->rows->len; i++) {
		const struct row *row = &g_array_index(t->rows, struct row, i);

		if (row->peer == peer && !strcmp(row->account, account))
			return true;
	}
	return false;
}

/* A VM that answers but never heard of an account lags too, and would not show. */
static void add_missing(struct table *t, const char *peer)
{
	GHashTableIter iter;
	gpointer account;

	g_hash_table_iter_init(&iter, t->newest);
	while (g_hash_table_iter_next(&iter, &account, NULL)) {
		struct row row = { NULL, peer, 0 };

		if (has(t, peer, account))
			continue;
		row.account = g_strdup(account);
		g_array_append_val(t->rows, row);
	}
}

static gint by_account(gconstpointer a, gconstpointer b)
{
	const struct row *x = a;
	const struct row *y = b;
	int order = strcmp(x->account, y->account);

	return order ? order : strcmp(x->peer, y->peer);
}

static void print_row(const struct request *r, const struct table *t,
		      const struct row *row, GString *json)
{
	uint64_t behind = newest(t, row->account) - row->generation;

	if (!r->json) {
		printf("%s %" PRIu64 " %s %s\n", row->account, row->generation,
		       row->peer, behind ? "lags" : "newest");
		return;
	}
	json_open(json, NULL, '{');
	json_string(json, "account", row->account);
	json_number(json, "generation", row->generation);
	json_string(json, "peer", row->peer);
	json_number(json, "behind", behind);
	json_close(json, '}');
}

static enum exit_code print_table(const struct request *r, struct table *t)
{
	GString *json = g_string_new(NULL);
	enum exit_code code = EXIT_OK;

	g_array_sort(t->rows, by_account);
	json_open(json, NULL, '[');
	for (guint i = 0; i < t->rows->len; i++) {
		const struct row *row = &g_array_index(t->rows, struct row, i);

		print_row(r, t, row, json);
		if (row->generation < newest(t, row->account))
			code = EXIT_PROBLEMS;
	}
	json_close(json, ']');
	finish_json(r, json);
	return code;
}

static void row_clear(gpointer p)
{
	struct row *row = p;

	g_free(row->account);
}

enum exit_code generations_run(const struct request *r)
{
	uint32_t first = r->platform ? 1 : 0;
	struct table t = {
		g_array_new(FALSE, FALSE, sizeof(struct row)),
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free),
	};
	GPtrArray *answered = g_ptr_array_new();
	enum exit_code code = EXIT_OK;

	g_array_set_clear_func(t.rows, row_clear);
	if (r->platform)
		code = published(&t, r->platform);
	for (uint32_t i = first; i < r->n_operands; i++) {
		enum exit_code one = ask_peer(&t, r->operands[i]);

		if (one == EXIT_OK)
			g_ptr_array_add(answered, (gpointer)r->operands[i]);
		code = worse(code, one);
	}
	for (guint i = 0; i < answered->len; i++)
		add_missing(&t, g_ptr_array_index(answered, i));
	code = worse(code, print_table(r, &t));
	g_ptr_array_free(answered, TRUE);
	g_array_free(t.rows, TRUE);
	g_hash_table_destroy(t.newest);
	return code;
}
