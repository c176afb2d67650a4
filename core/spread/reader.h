/*
 * Reading of the platform by the few cb-watch that are chosen for it: list,
 * read what is newer, then wait in a watch. One call at a time.
 */
#ifndef CB_READER_H
#define CB_READER_H

#include "version.h"

#define READER_QUEUE_MAX 8192

/**
 * enum reader_call - calls to the platform
 * @CALL_GET: read a key
 * @CALL_LIST: list all keys
 * @CALL_WATCH: wait for a change
 */
enum reader_call { CALL_GET, CALL_LIST, CALL_WATCH };

/**
 * enum reader_mode - how much this VM reads
 * @READER_OFF: nothing
 * @READER_ROSTER: the list of VMs, once, to find its peers
 * @READER_ALL: everything, and watch
 */
enum reader_mode { READER_OFF, READER_ROSTER, READER_ALL };

/**
 * struct reader_answer - what came of a call
 * @status: HTTP status; 0 when there was no answer
 * @revision: X-Revision, 0 when it was not said
 * @body: body
 * @size_bytes: its size
 */
struct reader_answer {
	int status;
	uint64_t revision;
	const char *body;
	uint32_t size_bytes;
};

/**
 * struct reader_port - what the module needs from outside
 * @ctx: passed back
 * @call: start a call; reader_answer() brings its end
 * @cancel: give up the call under way; no answer comes any more
 * @known: revision and withdrawal known of a key, or NULL
 * @document: take an account's document or the list of VMs. 0 or an error;
 *	-ENOENT with @template set: it can be read once that template is there
 * @template_text: take a template; NULL text when there is none
 * @gone: the platform at @revision lacks @key
 * @each: walk known keys by index from 0; NULL at the end
 * @state: the platform answers or not; everything listed was read or not
 */
struct reader_port {
	void *ctx;
	void (*call)(void *ctx, enum reader_call call, const char *key,
		     uint64_t after);
	void (*cancel)(void *ctx);
	const struct version *(*known)(void *ctx, const char *key);
	int (*document)(void *ctx, const char *key, const char *text,
			uint32_t size_bytes, uint64_t revision,
			char template[NAME_MAX_BYTES]);
	void (*template_text)(void *ctx, const char *name, const char *text,
			      uint32_t size_bytes);
	void (*gone)(void *ctx, const char *key, uint64_t revision);
	const char *(*each)(void *ctx, uint32_t index);
	void (*state)(void *ctx, bool ok, bool caught_up);
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
void reader_mode(struct reader *r, enum reader_mode mode, uint64_t now_ns);
void reader_answer(struct reader *r, const struct reader_answer *a,
		   uint64_t now_ns);
void reader_tick(struct reader *r, uint64_t now_ns);
void reader_relist(struct reader *r);
uint64_t reader_next_ns(const struct reader *r);
const struct reader_counters *reader_counters(const struct reader *r);

#endif
