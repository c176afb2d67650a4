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

#endif
