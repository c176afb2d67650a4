/* Published templates and parameters, rendered to what the core reads. */
#ifndef CB_PUBLICATION_H
#define CB_PUBLICATION_H

#include "config.h"
#include "mistakes.h"

/**
 * struct template_source - port that finds a template's text
 * @ctx: passed back
 * @find: text of template @name, or NULL; stays good until the render ends
 */
struct template_source {
	void *ctx;
	const char *(*find)(void *ctx, const char *name);
};

/**
 * publication_render() - check an account's document and render it
 * @name: account's name
 * @text: document
 * @templates: where templates come from
 * @data_centre: keep only its targets; NULL keeps all
 * @mistakes: every mistake is added here
 *
 * Return: the account, to be freed with account_free(), or NULL when there
 * is a mistake that is not just a warning.
 */
struct account_conf *publication_render(const char *name, const char *text,
					struct template_source templates,
					const char *data_centre,
					struct mistakes *mistakes);

/**
 * publication_text() - an account's document with its template filled in
 * @name: account's name
 * @text: document
 * @templates: where templates come from
 * @mistakes: every mistake is added here
 *
 * Return: a document that stands alone and renders to the same account, to be
 * freed with g_free(), or NULL when there is a mistake that is not just a
 * warning.
 */
char *publication_text(const char *name, const char *text,
		       struct template_source templates,
		       struct mistakes *mistakes);

/**
 * publication_compare() - what a publication would do to flows that stand
 * @standing: account in force
 * @next: account to be published, NULL when it is withdrawn
 * @mistakes: an error when the generation doesn't grow although the account
 *	changed; warnings for flows that would be orphaned and for connections
 *	or slots that fall
 *
 * Both have to be rendered for the same data centre, or both for all.
 */
void publication_compare(const struct account_conf *standing,
			 const struct account_conf *next,
			 struct mistakes *mistakes);

/**
 * enum change_kind - how an account, service or target differs
 * @CHANGE_ADDED: only the new one has it
 * @CHANGE_REMOVED: only the old one has it
 * @CHANGE_VALUE: both have it with another value
 */
enum change_kind { CHANGE_ADDED, CHANGE_REMOVED, CHANGE_VALUE };

/**
 * struct change - one difference; strings are good during the call
 * @kind: enum change_kind
 * @account: account's name
 * @service: service's name, or ""
 * @target: target's address, or ""
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
 * struct change_watch - port that is told of each difference
 * @ctx: passed back
 * @change: a difference
 */
struct change_watch {
	void *ctx;
	void (*change)(void *ctx, const struct change *c);
};

/**
 * publication_diff() - differences between two accounts
 * @standing: account in force, NULL when there is none
 * @next: account to be published, NULL when it is withdrawn
 * @watch: told of each
 *
 * Return: number of differences.
 */
uint32_t publication_diff(const struct account_conf *standing,
			  const struct account_conf *next,
			  struct change_watch watch);

#endif
