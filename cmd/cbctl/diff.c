/* diff: changes that publishing one source in place of another would make. */
#include "cbctl.h"

#include <stdio.h>
#include <string.h>

static const char *const change_names[] = {
	[CHANGE_ADDED] = "added",
	[CHANGE_REMOVED] = "removed",
	[CHANGE_VALUE] = "changed",
};

/**
 * struct publications - a source's documents and the accounts they render to
 * @documents: documents
 * @set: accounts
 */
struct publications {
	struct documents documents;
	struct account_set set;
};

static const char *or_dash(const char *text)
{
	return text[0] ? text : "-";
}

static void change_print(void *unused, const struct change *change)
{
	(void)unused;
	printf("%s %s %s %s %s %s %s\n", change_names[change->kind],
	       change->account, or_dash(change->service),
	       or_dash(change->target), or_dash(change->key),
	       or_dash(change->before), or_dash(change->after));
}

static void json_change(void *ctx, const struct change *change)
{
	GString *json = ctx;

	json_open(json, NULL, '{');
	json_string(json, "change", change_names[change->kind]);
	json_string(json, "account", change->account);
	json_string(json, "service", change->service);
	json_string(json, "target", change->target);
	json_string(json, "key", change->key);
	json_string(json, "before", change->before);
	json_string(json, "after", change->after);
	json_close(json, '}');
}

/* An account that both sources have is compared in the first loop only. */
static void compare_accounts(const struct publications *standing,
			     const struct publications *next,
			     struct change_watch watch,
			     struct mistakes *mistakes)
{
	for (guint i = 0; i < standing->set.accounts->len; i++) {
		const struct account_conf *before =
			g_ptr_array_index(standing->set.accounts, i);
		const struct account_conf *after =
			account_set_find(&next->set, before->name);

		publication_diff(before, after, watch);
		publication_compare(before, after, mistakes);
	}
	for (guint i = 0; i < next->set.accounts->len; i++) {
		const struct account_conf *after =
			g_ptr_array_index(next->set.accounts, i);

		if (!account_set_find(&standing->set, after->name))
			publication_diff(NULL, after, watch);
	}
}

static void print_changes(const struct command_args *args,
			  const struct publications *standing,
			  const struct publications *next,
			  struct mistakes *mistakes)
{
	GString *json = g_string_new(NULL);

	if (!args->json) {
		compare_accounts(standing, next,
				 (struct change_watch){ NULL, change_print },
				 mistakes);
		mistakes_print(mistakes, stderr);
		g_string_free(json, TRUE);
		return;
	}
	json_open(json, NULL, '{');
	json_open(json, "changes", '[');
	compare_accounts(standing, next,
			 (struct change_watch){ json, json_change }, mistakes);
	json_close(json, ']');
	json_mistakes(json, mistakes);
	json_close(json, '}');
	json_print_and_free(json);
}

static void publications_free(struct publications *publications)
{
	account_set_free(&publications->set);
	documents_free(&publications->documents);
}

static enum exit_code publications_load(const char *source,
					struct publications *publications,
					struct mistakes *mistakes)
{
	enum exit_code code = documents_load(source, &publications->documents);

	account_set_load(&publications->documents, &publications->set,
			 mistakes);
	return code;
}

/* Without this check, an account that doesn't render would appear as removed. */
static enum exit_code reject(const struct mistakes *mistakes)
{
	mistakes_print(mistakes, stderr);
	return EXIT_PROBLEMS;
}

enum exit_code diff_run(const struct command_args *args)
{
	struct mistakes before = { 0 };
	struct mistakes mistakes = { 0 };
	struct publications standing;
	struct publications next;
	enum exit_code code =
		publications_load(args->operands[0], &standing, &before);

	code = worse_exit_code(code, publications_load(args->operands[1], &next,
						       &mistakes));
	if (code == EXIT_OK && mistakes.n_errors) {
		code = reject(&mistakes);
	} else if (code == EXIT_OK) {
		if (before.n_errors)
			mistakes_print(&before, stderr);
		print_changes(args, &standing, &next, &mistakes);
		code = mistakes.n_errors ? EXIT_PROBLEMS : EXIT_OK;
	}
	mistakes_free(&before);
	mistakes_free(&mistakes);
	publications_free(&standing);
	publications_free(&next);
	return code;
}
