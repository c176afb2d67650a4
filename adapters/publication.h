/* Published accounts and templates: checks, expansion and comparison. */
#ifndef CB_PUBLICATION_H
#define CB_PUBLICATION_H

#include "config.h"
#include "mistakes.h"

/**
 * struct template_source - callback that finds templates
 * @ctx: first argument of @find
 * @find: returns the text of template @name, or NULL; the text has to stay
 *	valid until the function that was given this struct returns. NULL when
 *	there are no templates
 */
struct template_source {
	void *ctx;
	const char *(*find)(void *ctx, const char *name);
};

/**
 * publication_render() - check an account's document and convert it
 * @name: name of the account
 * @text: document
 * @templates: finds the template that the document names
 * @data_centre: data centre whose targets are kept; NULL keeps all
 * @mistakes: all mistakes are added
 *
 * Return: the account, to be freed with account_free(); NULL when there is an
 * error.
 */
struct account_conf *publication_render(const char *name, const char *text,
					struct template_source templates,
					const char *data_centre,
					struct mistakes *mistakes);

/**
 * publication_expand() - replace an account's template reference by the
 *	template
 * @name: name of the account
 * @text: document
 * @templates: finds the template that the document names
 * @mistakes: all mistakes are added
 *
 * Return: a document without a template that renders to the same account, to be
 * freed with g_free(); NULL when there is an error.
 */
char *publication_expand(const char *name, const char *text,
			 struct template_source templates,
			 struct mistakes *mistakes);

/**
 * publication_compare() - check what a publication would do to existing flows
 * @current: account in force
 * @next: account to be published; NULL when it is withdrawn
 * @mistakes: an error is added when the account changes without a higher
 *	generation; warnings for flows that would be orphaned, for fewer
 *	connections or slots, and for an unusually large step of the generation
 *
 * Both accounts have to be rendered for the same data centre, or both for all.
 */
void publication_compare(const struct account_conf *current,
			 const struct account_conf *next,
			 struct mistakes *mistakes);

/**
 * enum change_kind - kind of a difference
 * @CHANGE_ADDED: only the new account has the item
 * @CHANGE_REMOVED: only the old account has the item
 * @CHANGE_VALUE: both have it, with different values
 */
enum change_kind { CHANGE_ADDED, CHANGE_REMOVED, CHANGE_VALUE };

/**
 * struct change - a difference between two accounts; strings are valid during
 *	the call
 * @kind: enum change_kind
 * @account: name of the account
 * @service: name of the service, or "" when the account itself differs
 * @target: address of the target, or "" when no target is concerned
 * @key: key whose value differs, or ""
 * @before: old value, or ""
 * @after: new value, or ""
 */
struct change {
	uint8_t kind;
	const char *account;
	const char *service;
	const char *target;
	const char *key;
	const char *before;
	const char *after;
};

/**
 * struct change_handler - callback that receives differences
 * @ctx: first argument of @change
 * @change: called once for each difference
 */
struct change_handler {
	void *ctx;
	void (*change)(void *ctx, const struct change *c);
};

/**
 * publication_diff() - find the differences between two accounts
 * @current: account in force; NULL when there is none
 * @next: account to be published; NULL when it is withdrawn
 * @handler: receives each difference
 *
 * Return: number of differences.
 */
uint32_t publication_diff(const struct account_conf *current,
			  const struct account_conf *next,
			  struct change_handler handler);

#endif
