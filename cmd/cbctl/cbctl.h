/*
 * cbctl: checks publications, and queries daemons and the platform. It only
 * reads.
 */
#ifndef CB_CBCTL_H
#define CB_CBCTL_H

#include "json_text.h"
#include "lines_json.h"
#include "mistakes.h"
#include "publication.h"
#include "types.h"

#include <glib.h>

/* Timeout of one HTTP request to a daemon or to the platform. */
#define HTTP_TIMEOUT_MS 3000

/**
 * enum exit_code - exit status of the process, by increasing severity
 * @EXIT_OK: completed without findings
 * @EXIT_PROBLEMS: completed, problems were found
 * @EXIT_USAGE: invalid command line or unreadable input
 * @EXIT_UNREACHABLE: a daemon or the platform did not answer
 */
enum exit_code { EXIT_OK, EXIT_PROBLEMS, EXIT_USAGE, EXIT_UNREACHABLE };

/**
 * struct command_args - operands and options of a command
 * @operands: operands after the command's name; @platform comes first, if set.
 *	The strings belong to argv.
 * @n_operands: entries of @operands in use
 * @platform: URL of --platform, or NULL
 * @json: write JSON instead of plain lines
 * @limit: most rows to print for each daemon
 * @timeout_s: time after which drain-watch gives up
 */
struct command_args {
	const char *operands[64];
	uint32_t n_operands;
	const char *platform;
	bool json;
	uint32_t limit;
	uint32_t timeout_s;
};

/**
 * struct document - one published key
 * @key: account/NAME, template/NAME or vms/DATA_CENTRE
 * @text: value, NUL-terminated
 */
struct document {
	char *key;
	char *text;
};

/**
 * struct documents - all published documents of a source
 * @list: struct document *, sorted by key; owned
 */
struct documents {
	GPtrArray *list;
};

enum exit_code documents_load(const char *source, struct documents *out);
void documents_free(struct documents *documents);
const char *documents_find(const struct documents *documents, const char *kind,
			   const char *name);
const char *document_name(const struct document *doc, const char *kind);
struct template_source documents_templates(struct documents *documents);

/**
 * struct account_set - every account of a source that renders without errors
 * @accounts: struct account_conf *, sorted by name; owned
 */
struct account_set {
	GPtrArray *accounts;
};

void account_set_load(struct documents *documents, struct account_set *out,
		      struct mistakes *mistakes);
const struct account_conf *account_set_find(const struct account_set *set,
					    const char *name);
void account_set_free(struct account_set *set);

enum exit_code fetch_page(const char *peer, const char *path, GString *body);
enum exit_code fetch_url(const char *step, const char *peer, const char *url,
			 GString *body);
enum exit_code
print_peers(const struct command_args *args, uint32_t n,
	    enum exit_code (*load)(const struct command_args *args,
				   const char *peer, GString *body));
enum exit_code worse_exit_code(enum exit_code a, enum exit_code b);
void report_error(const char *step, const char *peer, const char *format, ...)
	__attribute__((format(printf, 3, 4)));
void json_mistakes(GString *json, const struct mistakes *mistakes);
void json_print_and_free(GString *json);
void json_finish(const struct command_args *args, GString *json);

enum exit_code check_run(const struct command_args *args);
enum exit_code render_run(const struct command_args *args);
enum exit_code diff_run(const struct command_args *args);
enum exit_code status_run(const struct command_args *args);
enum exit_code targets_run(const struct command_args *args);
enum exit_code flows_run(const struct command_args *args);
enum exit_code explain_run(const struct command_args *args);
enum exit_code drain_watch_run(const struct command_args *args);
enum exit_code generations_run(const struct command_args *args);
enum exit_code replay_run(const struct command_args *args);
enum exit_code load_run(const struct command_args *args);

#endif
