/* cbctl: what operators check, ask and watch. It changes nothing. */
#ifndef CB_CBCTL_H
#define CB_CBCTL_H

#include "json_text.h"
#include "lines_json.h"
#include "mistakes.h"
#include "publication.h"
#include "types.h"

#include <glib.h>

/* Longest wait for an answer of a daemon or of the platform. */
#define ASK_TIMEOUT_MS 3000

/**
 * enum exit_code - what the process ends with
 * @EXIT_OK: done, and nothing to complain of
 * @EXIT_PROBLEMS: done, and problems were found
 * @EXIT_USAGE: wrong command line or unreadable input
 * @EXIT_UNREACHABLE: a peer did not answer
 */
enum exit_code { EXIT_OK, EXIT_PROBLEMS, EXIT_USAGE, EXIT_UNREACHABLE };

/**
 * struct request - a command line, read
 * @operands: after the command's name; --platform's URL comes first
 * @n_operands: how many
 * @platform: URL of the platform, or NULL
 * @json: write JSON
 * @limit: rows to show
 * @timeout_s: longest wait of drain-watch
 */
struct request {
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
 * @text: its value
 */
struct document {
	char *key;
	char *text;
};

/**
 * struct documents - all that is published
 * @list: struct document, sorted by key
 */
struct documents {
	GPtrArray *list;
};

enum exit_code documents_load(const char *source, struct documents *out);
void documents_free(struct documents *d);
const char *documents_find(const struct documents *d, const char *kind,
			   const char *name);
const char *document_name(const struct document *doc, const char *kind);
struct template_source documents_templates(struct documents *d);

/**
 * struct account_set - every account of a source that renders
 * @accounts: struct account_conf, in the order of their names
 */
struct account_set {
	GPtrArray *accounts;
};

void account_set_load(struct documents *d, struct account_set *out,
		      struct mistakes *m);
const struct account_conf *account_set_find(const struct account_set *s,
					    const char *name);
void account_set_free(struct account_set *s);

enum exit_code ask(const char *peer, const char *path, GString *body);
enum exit_code ask_url(const char *step, const char *peer, const char *url,
		       GString *body);
enum exit_code each_peer(const struct request *r, uint32_t n,
			 enum exit_code (*load)(const struct request *r,
						const char *peer,
						GString *body));
enum exit_code worse(enum exit_code a, enum exit_code b);
void complain(const char *step, const char *peer, const char *format, ...)
	__attribute__((format(printf, 3, 4)));
void mistakes_json(GString *to, const struct mistakes *m);
void print_json(GString *json);
void finish_json(const struct request *r, GString *json);

enum exit_code check_run(const struct request *r);
enum exit_code render_run(const struct request *r);
enum exit_code diff_run(const struct request *r);
enum exit_code status_run(const struct request *r);
enum exit_code targets_run(const struct request *r);
enum exit_code flows_run(const struct request *r);
enum exit_code explain_run(const struct request *r);
enum exit_code drain_run(const struct request *r);
enum exit_code generations_run(const struct request *r);
enum exit_code replay_run(const struct request *r);

#endif
