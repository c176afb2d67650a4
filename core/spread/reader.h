/*
 * Client of the platform, run by the few cb-watch that read it: lists all keys,
 * reads the documents that are newer than known, then watches for changes. One
 * call at a time.
 */
#ifndef CB_READER_H
#define CB_READER_H

#include "version.h"

#define READER_QUEUE_MAX 8192

/**
 * enum reader_call - calls to the platform
 * @CALL_GET: read a key
 * @CALL_LIST: list all keys with their revisions
 * @CALL_WATCH: wait for changes after a revision
 */
enum reader_call { CALL_GET, CALL_LIST, CALL_WATCH };

/**
 * enum reader_mode - what this VM reads
 * @READER_OFF: nothing
 * @READER_ROSTER: the list of VMs, once, to find its peers
 * @READER_ALL: all documents, and changes of them
 */
enum reader_mode { READER_OFF, READER_ROSTER, READER_ALL };

/**
 * struct reader_answer - result of a call
 * @status: HTTP status, 0 without an answer
 * @revision: header X-Revision, 0 when it is missing
 * @body: body, owned by the caller; not terminated
 * @size_bytes: size of @body
 */
struct reader_answer {
	int status;
	uint64_t revision;
	const char *body;
	uint32_t size_bytes;
};

/**
 * struct reader_port - callbacks that the owner provides
 * @ctx: first argument of each callback
 * @start_call: starts a call; its result goes to reader_handle_answer(). @after
 *	is the revision after which CALL_WATCH waits for changes
 * @cancel_call: abandons the call in progress; its result is not delivered
 * @find_version: version of a key, or NULL for an unknown key
 * @accept_document: takes an account's document or the list of VMs; 0 or a
 *	negative error. With @template not NULL, -ENOENT means that the document
 *	needs the template whose name is written there. -EALREADY: known already
 * @accept_template: takes the text of a template; NULL when there is none
 * @report_missing: the platform does not have @key at @revision
 * @key_at: known key by index from 0; NULL past the end
 * @report_state: whether the platform answers, and whether everything that it
 *	lists has been read
 */
struct reader_port {
	void *ctx;
	void (*start_call)(void *ctx, enum reader_call call, const char *key,
			   uint64_t after);
	void (*cancel_call)(void *ctx);
	const struct version *(*find_version)(void *ctx, const char *key);
	int (*accept_document)(void *ctx, const char *key, const char *text,
			       uint32_t size_bytes, uint64_t revision,
			       char template[NAME_MAX_BYTES]);
	void (*accept_template)(void *ctx, const char *name, const char *text,
				uint32_t size_bytes);
	void (*report_missing)(void *ctx, const char *key, uint64_t revision);
	const char *(*key_at)(void *ctx, uint32_t index);
	void (*report_state)(void *ctx, bool ok, bool caught_up);
};

/* Counters; docs/OPERATIONS.md names each. */
#define READER_COUNTERS(X)   \
	X(calls)             \
	X(calls_failed)      \
	X(lists)             \
	X(documents)         \
	X(documents_refused) \
	X(answers_malformed) \
	X(platform_behind)

struct reader_counters {
#define X(name) uint64_t name;
	READER_COUNTERS(X)
#undef X
};

struct reader;

struct reader *reader_new(const char *data_centre, struct reader_port port,
			  struct rng rng, uint64_t now_ns);
void reader_free(struct reader *r);
void reader_set_mode(struct reader *r, enum reader_mode mode, uint64_t now_ns);
void reader_handle_answer(struct reader *r, const struct reader_answer *a,
			  uint64_t now_ns);
void reader_tick(struct reader *r, uint64_t now_ns);
void reader_relist(struct reader *r);
uint64_t reader_next_ns(const struct reader *r);
const struct reader_counters *reader_counters(const struct reader *r);

#endif
