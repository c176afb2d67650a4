/* generations: generations in force on each VM, and which VMs lag. */
#include "cbctl.h"

#include "fetch.h"

#include <errno.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define ACCOUNT_PREFIX "account/"
#define PUBLISHED_PEER "published"

/**
 * struct row - one account on one VM
 * @account: account's name; owned
 * @peer: address of the daemon that reported it, or PUBLISHED_PEER
 * @generation: generation in force there; 0 when the VM lacks the account
 */
struct row {
	char *account;
	const char *peer;
	uint64_t generation;
};

/**
 * struct table - generations of all VMs
 * @rows: struct row
 * @newest: greatest generation (uint64_t *) by account's name
 */
struct table {
	GArray *rows;
	GHashTable *newest;
};

static uint64_t newest_generation(const struct table *table,
				  const char *account)
{
	const uint64_t *newest = g_hash_table_lookup(table->newest, account);

	return newest ? *newest : 0;
}

static void add_row(struct table *table, const char *peer, const char *account,
		    uint64_t generation)
{
	struct row row = { g_strdup(account), peer, generation };
	uint64_t *newest;

	g_array_append_val(table->rows, row);
	if (newest_generation(table, account) >= generation &&
	    g_hash_table_contains(table->newest, account))
		return;
	newest = g_new(uint64_t, 1);
	*newest = generation;
	g_hash_table_replace(table->newest, g_strdup(account), newest);
}

/*
 * cb-watch writes "account/NAME GENERATION REVISION HASH live", cb-entry
 * "account NAME GENERATION". Other lines are skipped.
 */
static void parse_line(struct table *table, const char *peer, const char *line)
{
	char **words = g_strsplit(line, " ", -1);
	guint n = g_strv_length(words);

	if (n >= 2 && g_str_has_prefix(words[0], ACCOUNT_PREFIX) &&
	    strcmp(words[n - 1], "withdrawn"))
		add_row(table, peer, words[0] + strlen(ACCOUNT_PREFIX),
			g_ascii_strtoull(words[1], NULL, 10));
	else if (n == 3 && !strcmp(words[0], "account"))
		add_row(table, peer, words[1],
			g_ascii_strtoull(words[2], NULL, 10));
	g_strfreev(words);
}

static void parse_lines(struct table *table, const char *peer, const char *body)
{
	char **lines = g_strsplit(body, "\n", -1);

	for (char **l = lines; *l; l++)
		parse_line(table, peer, *l);
	g_strfreev(lines);
}

/* cb-watch has the page /generations; cb-entry lists accounts in /status. */
static enum exit_code load_generations(struct table *table, const char *peer)
{
	char *url = g_strdup_printf("http://%s/generations", peer);
	char error[FETCH_ERROR_BYTES];
	GString *body = g_string_new(NULL);
	enum exit_code code = EXIT_OK;

	if (fetch(url, HTTP_TIMEOUT_MS, body, error))
		code = fetch_page(peer, "/status", body);
	if (code == EXIT_OK)
		parse_lines(table, peer, body->str);
	g_string_free(body, TRUE);
	g_free(url);
	return code;
}

static enum exit_code add_published(struct table *table, const char *url)
{
	struct mistakes mistakes = { 0 };
	struct documents documents;
	struct account_set set;
	enum exit_code code = documents_load(url, &documents);

	account_set_load(&documents, &set, &mistakes);
	for (guint i = 0; i < set.accounts->len; i++) {
		const struct account_conf *a =
			g_ptr_array_index(set.accounts, i);

		add_row(table, PUBLISHED_PEER, a->name, a->generation);
	}
	mistakes_print(&mistakes, stderr);
	mistakes_free(&mistakes);
	account_set_free(&set);
	documents_free(&documents);
	return code;
}

static bool has_row(const struct table *table, const char *peer,
		    const char *account)
{
	for (guint i = 0; i < table->rows->len; i++) {
		const struct row *row =
			&g_array_index(table->rows, struct row, i);

		if (row->peer == peer && !strcmp(row->account, account))
			return true;
	}
	return false;
}

/* Adds generation 0 for accounts that a VM lacks, or it would not show as lagging. */
static void add_missing_rows(struct table *table, const char *peer)
{
	GHashTableIter iter;
	gpointer account;

	g_hash_table_iter_init(&iter, table->newest);
	while (g_hash_table_iter_next(&iter, &account, NULL)) {
		struct row row = { NULL, peer, 0 };

		if (has_row(table, peer, account))
			continue;
		row.account = g_strdup(account);
		g_array_append_val(table->rows, row);
	}
}

static gint compare_rows(gconstpointer a, gconstpointer b)
{
	const struct row *x = a;
	const struct row *y = b;
	int order = strcmp(x->account, y->account);

	return order ? order : strcmp(x->peer, y->peer);
}

static void print_row(const struct command_args *args,
		      const struct table *table, const struct row *row,
		      GString *json)
{
	uint64_t behind =
		newest_generation(table, row->account) - row->generation;

	if (!args->json) {
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

static enum exit_code print_table(const struct command_args *args,
				  struct table *table)
{
	GString *json = g_string_new(NULL);
	enum exit_code code = EXIT_OK;

	g_array_sort(table->rows, compare_rows);
	json_open(json, NULL, '[');
	for (guint i = 0; i < table->rows->len; i++) {
		const struct row *row =
			&g_array_index(table->rows, struct row, i);

		print_row(args, table, row, json);
		if (row->generation < newest_generation(table, row->account))
			code = EXIT_PROBLEMS;
	}
	json_close(json, ']');
	json_finish(args, json);
	return code;
}

static void row_clear(gpointer p)
{
	struct row *row = p;

	g_free(row->account);
}

enum exit_code generations_run(const struct command_args *args)
{
	uint32_t first = args->platform ? 1 : 0;
	struct table table = {
		g_array_new(FALSE, FALSE, sizeof(struct row)),
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free),
	};
	GPtrArray *answered = g_ptr_array_new();
	enum exit_code code = EXIT_OK;

	g_array_set_clear_func(table.rows, row_clear);
	if (args->platform)
		code = add_published(&table, args->platform);
	for (uint32_t i = first; i < args->n_operands; i++) {
		enum exit_code one =
			load_generations(&table, args->operands[i]);

		if (one == EXIT_OK)
			g_ptr_array_add(answered, (gpointer)args->operands[i]);
		code = worse_exit_code(code, one);
	}
	for (guint i = 0; i < answered->len; i++)
		add_missing_rows(&table, g_ptr_array_index(answered, i));
	code = worse_exit_code(code, print_table(args, &table));
	g_ptr_array_free(answered, TRUE);
	g_array_free(table.rows, TRUE);
	g_hash_table_destroy(table.newest);
	return code;
}
