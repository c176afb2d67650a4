#include "reader.h"
#include "reader_lines.h"
#include "timers.h"

#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#define ACCOUNT_PREFIX "account/"
#define TEMPLATE_PREFIX "template/"
#define BACKOFF_MIN_NS (200 * NS_PER_MS)
#define BACKOFF_MAX_NS (30 * NS_PER_S)
#define BACKOFF_DOUBLINGS_MAX 8
/* A watch may miss a change, so all keys are listed this often. */
#define RELIST_PERIOD_NS (60 * NS_PER_S)
/* Pause after a watch without changes, in case such watches return at once. */
#define WATCH_SPACING_NS (100 * NS_PER_MS)

/* Revisions read lately, by hash of the key; a collision costs a call. */
#define READ_CACHE_SLOTS 16384

enum step { STEP_LIST, STEP_KEY, STEP_TEMPLATE, STEP_WATCH };

struct cached_read {
	uint64_t key_hash;
	uint64_t revision;
};

struct queued_key {
	char key[PUBLISHED_KEY_MAX_BYTES];
	uint64_t revision;
};

/**
 * struct reader - state of the client
 * @port: callbacks of the owner
 * @rng: random source for the backoff
 * @counters: counters for the metrics page
 * @vms_key: key of the data centre's list of VMs
 * @mode: what to read
 * @step: call in progress, when @call_pending
 * @call_pending: a call is in progress
 * @roster_read: the list of VMs has been read, or the platform has none
 * @failures: failed calls since the last one that was answered
 * @next_deadline_ns: start of the next call, or DEADLINE_NEVER
 * @relist_deadline_ns: the keys are listed again then
 * @watched_revision: changes up to it have been listed or watched
 * @platform_revision: highest revision of the last answer with lines
 * @read_cache: READ_CACHE_SLOTS slots
 * @queue: keys to read, at most READER_QUEUE_MAX; the last one is read next
 * @n_queue: their number
 * @pending_document: key, PUBLISHED_KEY_MAX_BYTES long, and text of a document
 *	that waits for its template; or NULL
 * @pending_document_bytes: size of its text
 * @pending_document_revision: its revision
 * @pending_template: name of the template
 * @listed_hashes: hashes of the keys of the last list, at most READER_QUEUE_MAX
 * @n_listed: their number
 */
struct reader {
	struct reader_port port;
	struct rng rng;
	struct reader_counters counters;
	char vms_key[PUBLISHED_KEY_MAX_BYTES];
	enum reader_mode mode;
	enum step step;
	bool call_pending;
	bool roster_read;
	uint32_t failures;
	uint64_t next_deadline_ns;
	uint64_t relist_deadline_ns;
	uint64_t watched_revision;
	uint64_t platform_revision;
	struct cached_read *read_cache;
	struct queued_key *queue;
	uint32_t n_queue;
	char *pending_document;
	uint32_t pending_document_bytes;
	uint64_t pending_document_revision;
	char pending_template[NAME_MAX_BYTES];
	uint64_t *listed_hashes;
	uint32_t n_listed;
};

/**
 * reader_new() - make a reader in mode READER_OFF
 * @data_centre: name of the data centre whose list of VMs is read
 * @port: callbacks of the owner
 * @rng: random source of its own
 * @now_ns: current time
 *
 * Return: reader, to be freed with reader_free(); NULL when memory is short.
 */
struct reader *reader_new(const char *data_centre, struct reader_port port,
			  struct rng rng, uint64_t now_ns)
{
	struct reader *r = calloc(1, sizeof(*r));

	if (!r)
		return NULL;
	r->port = port;
	r->rng = rng;
	r->next_deadline_ns = DEADLINE_NEVER;
	r->relist_deadline_ns = now_ns;
	snprintf(r->vms_key, sizeof(r->vms_key), "vms/%.*s", NAME_MAX_BYTES - 1,
		 data_centre);
	r->queue = calloc(READER_QUEUE_MAX, sizeof(*r->queue));
	r->listed_hashes = calloc(READER_QUEUE_MAX, sizeof(*r->listed_hashes));
	r->read_cache = calloc(READ_CACHE_SLOTS, sizeof(*r->read_cache));
	if (!r->queue || !r->listed_hashes || !r->read_cache) {
		reader_free(r);
		return NULL;
	}
	return r;
}

void reader_free(struct reader *r)
{
	if (!r)
		return;
	free(r->queue);
	free(r->listed_hashes);
	free(r->read_cache);
	free(r->pending_document);
	free(r);
}

static void drop_document(struct reader *r)
{
	free(r->pending_document);
	r->pending_document = NULL;
}

static bool is_key_to_read(const struct reader *r, const char *key)
{
	return !strncmp(key, ACCOUNT_PREFIX, strlen(ACCOUNT_PREFIX)) ||
	       !strcmp(key, r->vms_key);
}

static uint64_t key_hash(const char *key)
{
	return XXH3_64bits(key, strlen(key));
}

static bool was_read_at(const struct reader *r, const char *key,
			uint64_t revision)
{
	uint64_t hash = key_hash(key);
	const struct cached_read *s = &r->read_cache[hash % READ_CACHE_SLOTS];

	return s->key_hash == hash && s->revision == revision;
}

static void record_read(struct reader *r, const char *key, uint64_t revision)
{
	uint64_t hash = key_hash(key);

	r->read_cache[hash % READ_CACHE_SLOTS] =
		(struct cached_read){ hash, revision };
}

/*
 * A document whose revision is not above the known one need not be read, unless
 * the platform is behind what is known: it is stale, or it lost its data and
 * counts from 0 again, or it lists a key below the revision that the key had.
 * Its new publications would then be skipped for good, so each is read once,
 * and their generations decide.
 */
static bool is_already_known(const struct reader *r, const char *key,
			     const struct version *known, uint64_t revision)
{
	uint64_t newest = known->revision > known->withdrawn_revision
				  ? known->revision
				  : known->withdrawn_revision;

	bool platform_behind =
		newest > r->platform_revision ||
		(r->step == STEP_LIST && revision < known->revision);

	if (revision > newest)
		return false;
	return !platform_behind || was_read_at(r, key, revision);
}

/* Queue a key to be read, unless its known version is as new. */
static void queue_if_newer(struct reader *r, const char *key, uint64_t revision)
{
	const struct version *known = r->port.find_version(r->port.ctx, key);

	if (!is_key_to_read(r, key) || strlen(key) >= PUBLISHED_KEY_MAX_BYTES)
		return;
	if (known && is_already_known(r, key, known, revision))
		return;
	for (uint32_t i = 0; i < r->n_queue; i++)
		if (!strcmp(r->queue[i].key, key)) {
			r->queue[i].revision = revision;
			return;
		}
	if (r->n_queue == READER_QUEUE_MAX)
		return;
	strcpy(r->queue[r->n_queue].key, key);
	r->queue[r->n_queue++].revision = revision;
}

static void start_call(struct reader *r, enum step step, enum reader_call call,
		       const char *key)
{
	r->step = step;
	r->call_pending = true;
	r->next_deadline_ns = DEADLINE_NEVER;
	r->counters.calls++;
	r->port.start_call(r->port.ctx, call, key, r->watched_revision);
}

static void start_next_call(struct reader *r, uint64_t now_ns)
{
	char key[sizeof(TEMPLATE_PREFIX) + NAME_MAX_BYTES];

	r->next_deadline_ns = DEADLINE_NEVER;
	if (r->call_pending || r->mode == READER_OFF)
		return;
	if (r->mode == READER_ROSTER) {
		if (!r->roster_read)
			start_call(r, STEP_KEY, CALL_GET, r->vms_key);
		return;
	}
	if (r->pending_document) {
		snprintf(key, sizeof(key), TEMPLATE_PREFIX "%s",
			 r->pending_template);
		start_call(r, STEP_TEMPLATE, CALL_GET, key);
	} else if (r->n_queue) {
		start_call(r, STEP_KEY, CALL_GET, r->queue[r->n_queue - 1].key);
	} else if (now_ns >= r->relist_deadline_ns) {
		r->counters.lists++;
		start_call(r, STEP_LIST, CALL_LIST, "");
	} else {
		r->port.report_state(r->port.ctx, true, true);
		start_call(r, STEP_WATCH, CALL_WATCH, "");
	}
}

/**
 * reader_set_mode() - set what to read; a change abandons the call in progress
 * @r: reader
 * @mode: new mode
 * @now_ns: current time
 */
void reader_set_mode(struct reader *r, enum reader_mode mode, uint64_t now_ns)
{
	if (mode == r->mode)
		return;
	if (r->call_pending)
		r->port.cancel_call(r->port.ctx);
	r->call_pending = false;
	r->mode = mode;
	r->n_queue = 0;
	drop_document(r);
	r->relist_deadline_ns = now_ns;
	r->next_deadline_ns = now_ns;
	if (mode != READER_ALL)
		r->port.report_state(r->port.ctx, false, false);
}

/* Exponential backoff, with jitter so that the VMs do not call together. */
static void back_off(struct reader *r, uint64_t now_ns)
{
	uint32_t doublings = r->failures < BACKOFF_DOUBLINGS_MAX
				     ? r->failures
				     : BACKOFF_DOUBLINGS_MAX;
	uint64_t max_ns = BACKOFF_MIN_NS << doublings;

	if (max_ns > BACKOFF_MAX_NS)
		max_ns = BACKOFF_MAX_NS;
	r->failures++;
	r->counters.calls_failed++;
	r->next_deadline_ns =
		now_ns + max_ns / 2 + rng_next(&r->rng) % (max_ns / 2);
	r->port.report_state(r->port.ctx, false, false);
}

static int compare_hashes(const void *a, const void *b)
{
	const uint64_t *x = a, *y = b;

	return (*x > *y) - (*x < *y);
}

static void record_listed(struct reader *r, const char *key)
{
	if (is_key_to_read(r, key) && r->n_listed < READER_QUEUE_MAX)
		r->listed_hashes[r->n_listed++] = key_hash(key);
}

static bool was_listed(const struct reader *r, const char *key)
{
	uint64_t hash = key_hash(key);

	return bsearch(&hash, r->listed_hashes, r->n_listed, sizeof(hash),
		       compare_hashes);
}

/*
 * Report known accounts that the list lacks. They were withdrawn if the list is
 * newer than they are; spread_withdraw() compares the revisions.
 */
static void report_missing_keys(struct reader *r, uint64_t revision)
{
	const char *key;

	if (r->n_listed == READER_QUEUE_MAX)
		return;
	qsort(r->listed_hashes, r->n_listed, sizeof(*r->listed_hashes),
	      compare_hashes);
	for (uint32_t i = 0; (key = r->port.key_at(r->port.ctx, i)); i++)
		if (!strncmp(key, ACCOUNT_PREFIX, strlen(ACCOUNT_PREFIX)) &&
		    !was_listed(r, key))
			r->port.report_missing(r->port.ctx, key, revision);
}

static int compare_keys_descending(const void *a, const void *b)
{
	const struct queued_key *x = a, *y = b;

	return strcmp(y->key, x->key);
}

/*
 * Keys are read in ascending order, from the end of the queue. Of two accounts
 * with one VIP the first one read gets it; in the order of the platform's list
 * that could be a different one at each reader.
 */
static void sort_queue(struct reader *r)
{
	qsort(r->queue, r->n_queue, sizeof(*r->queue), compare_keys_descending);
}

static void record_listed_key(struct reader *r, const char *key,
			      uint64_t now_ns)
{
	(void)now_ns;
	record_listed(r, key);
}

/* An account that was refused may render with a changed template. */
static void relist_if_template(struct reader *r, const char *key,
			       uint64_t now_ns)
{
	if (!strncmp(key, TEMPLATE_PREFIX, strlen(TEMPLATE_PREFIX)))
		r->relist_deadline_ns = now_ns;
}

/* Queue the keys of an answer that are newer than known; @visit gets each. */
static void queue_newer_keys(struct reader *r, const struct reader_answer *a,
			     uint64_t now_ns,
			     void (*visit)(struct reader *r, const char *key,
					   uint64_t now_ns))
{
	const char *cursor = a->body;
	char key[PUBLISHED_KEY_MAX_BYTES];
	uint64_t revision;

	r->platform_revision = lines_highest_revision(a);
	while (lines_read_next(&cursor, a->body + a->size_bytes, &revision, key,
			       &r->counters.answers_malformed)) {
		queue_if_newer(r, key, revision);
		visit(r, key, now_ns);
	}
	sort_queue(r);
}

static void handle_list_answer(struct reader *r, const struct reader_answer *a,
			       uint64_t now_ns)
{
	if (a->status != 200) {
		back_off(r, now_ns);
		return;
	}
	r->n_listed = 0;
	queue_newer_keys(r, a, now_ns, record_listed_key);
	r->watched_revision = r->platform_revision;
	r->relist_deadline_ns = now_ns + RELIST_PERIOD_NS;
	report_missing_keys(r, r->platform_revision);
}

static void finish_document(struct reader *r, int err)
{
	if (err && err != -EALREADY)
		r->counters.documents_refused++;
	drop_document(r);
}

static void handle_key_answer(struct reader *r, const struct reader_answer *a,
			      uint64_t now_ns)
{
	struct queued_key w = { 0 };
	int err;

	if (a->status != 200 && a->status != 404) {
		back_off(r, now_ns);
		return;
	}
	if (r->mode == READER_ROSTER) {
		strcpy(w.key, r->vms_key);
	} else {
		w = r->queue[--r->n_queue];
	}
	if (a->status == 404) {
		r->roster_read = true;
		r->port.report_missing(r->port.ctx, w.key,
				       a->revision ? a->revision : w.revision);
		return;
	}
	r->counters.documents++;
	record_read(r, w.key, a->revision);
	err = r->port.accept_document(r->port.ctx, w.key, a->body,
				      a->size_bytes, a->revision,
				      r->pending_template);
	if (err != -ENOENT) {
		finish_document(r, err);
		r->roster_read = !err || err == -EALREADY;
		if (!r->roster_read && r->mode == READER_ROSTER)
			back_off(r, now_ns);
		return;
	}
	r->pending_document = malloc(sizeof(w.key) + a->size_bytes + 1);
	if (!r->pending_document)
		return;
	memcpy(r->pending_document, w.key, sizeof(w.key));
	memcpy(r->pending_document + sizeof(w.key), a->body, a->size_bytes);
	r->pending_document_bytes = a->size_bytes;
	r->pending_document_revision = a->revision;
}

/*
 * The template is read again for each document. With a cached one, this reader
 * alone could render a new generation with an outdated template.
 */
static void handle_template_answer(struct reader *r,
				   const struct reader_answer *a,
				   uint64_t now_ns)
{
	bool found = a->status == 200;
	const char *text;

	if (!found && a->status != 404) {
		back_off(r, now_ns);
		return;
	}
	r->port.accept_template(r->port.ctx, r->pending_template,
				found ? a->body : NULL, a->size_bytes);
	text = r->pending_document + PUBLISHED_KEY_MAX_BYTES;
	finish_document(
		r, r->port.accept_document(r->port.ctx, r->pending_document,
					   text, r->pending_document_bytes,
					   r->pending_document_revision, NULL));
}

static void handle_watch_answer(struct reader *r, const struct reader_answer *a,
				uint64_t now_ns)
{
	if (a->status != 200) {
		back_off(r, now_ns);
		return;
	}
	queue_newer_keys(r, a, now_ns, relist_if_template);
	if (r->platform_revision < r->watched_revision)
		r->counters.platform_behind++;
	else
		r->watched_revision = r->platform_revision;
	if (!a->size_bytes)
		r->next_deadline_ns = now_ns + WATCH_SPACING_NS;
}

/**
 * reader_handle_answer() - handle the result of the call in progress
 * @r: reader
 * @a: result; ignored when no call is in progress
 * @now_ns: current time
 */
void reader_handle_answer(struct reader *r, const struct reader_answer *a,
			  uint64_t now_ns)
{
	static void (*const handlers[])(
		struct reader *, const struct reader_answer *, uint64_t) = {
		[STEP_LIST] = handle_list_answer,
		[STEP_KEY] = handle_key_answer,
		[STEP_TEMPLATE] = handle_template_answer,
		[STEP_WATCH] = handle_watch_answer,
	};

	if (!r->call_pending)
		return;
	r->call_pending = false;
	r->next_deadline_ns = now_ns;
	if (a->status == 200 || a->status == 404) {
		r->failures = 0;
		r->port.report_state(r->port.ctx, true, false);
	}
	handlers[r->step](r, a, now_ns);
	reader_tick(r, now_ns);
}

/**
 * reader_tick() - start the next call when it is due
 * @r: reader
 * @now_ns: current time, at or after reader_next_ns()
 */
void reader_tick(struct reader *r, uint64_t now_ns)
{
	if (now_ns >= r->next_deadline_ns)
		start_next_call(r, now_ns);
}

/**
 * reader_relist() - list all keys again when the call in progress ends, so that
 *	refused documents are tried again
 * @r: reader
 *
 * This takes no time argument: when it is called from accept_document(), the
 * caller's clock is past the time with which the answer is handled, the list
 * would not be due yet, and a watch would be started first.
 */
void reader_relist(struct reader *r)
{
	r->relist_deadline_ns = 0;
}

/**
 * reader_next_ns() - when reader_tick() is due
 * @r: reader
 *
 * Return: deadline; UINT64_MAX while a call is in progress or nothing is read.
 */
uint64_t reader_next_ns(const struct reader *r)
{
	return r->next_deadline_ns;
}

const struct reader_counters *reader_counters(const struct reader *r)
{
	return &r->counters;
}
