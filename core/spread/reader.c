#include "reader.h"
#include "reader_lines.h"

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
/* A watch may lose a change; the whole list is compared this often. */
#define RELIST_PERIOD_NS (60 * NS_PER_S)
/* Least spacing of watches that bring nothing, should they return at once. */
#define WATCH_SPACING_NS (100 * NS_PER_MS)
#define NEVER_NS UINT64_MAX

/* What was read lately, by hash of the key; a collision costs a call. */
#define SEEN_SLOTS 16384

enum step { STEP_LIST, STEP_KEY, STEP_TEMPLATE, STEP_WATCH };

struct seen {
	uint64_t key_hash;
	uint64_t revision;
};

struct wanted {
	char key[PUBLISHED_KEY_MAX_BYTES];
	uint64_t revision;
};

struct reader {
	struct reader_port port;
	struct rng rng;
	struct reader_counters counters;
	char vms_key[PUBLISHED_KEY_MAX_BYTES];
	enum reader_mode mode;
	enum step step;
	bool waiting;
	bool roster_read;
	uint32_t failures;
	uint64_t next_deadline_ns;
	uint64_t relist_deadline_ns;
	uint64_t after;
	uint64_t platform_revision;
	struct seen *seen;
	struct wanted *queue;
	uint32_t n_queue;
	char *document;
	uint32_t document_bytes;
	uint64_t document_revision;
	char template[NAME_MAX_BYTES];
	uint64_t *listed;
	uint32_t n_listed;
};

/**
 * reader_new() - a reader that is off
 * @data_centre: whose list of VMs to read
 * @port: what it needs from outside
 * @rng: random source
 * @now_ns: time
 *
 * Return: reader, to be freed with reader_free(); NULL without memory.
 */
struct reader *reader_new(const char *data_centre, struct reader_port port,
			  struct rng rng, uint64_t now_ns)
{
	struct reader *r = calloc(1, sizeof(*r));

	if (!r)
		return NULL;
	r->port = port;
	r->rng = rng;
	r->next_deadline_ns = NEVER_NS;
	r->relist_deadline_ns = now_ns;
	snprintf(r->vms_key, sizeof(r->vms_key), "vms/%.*s", NAME_MAX_BYTES - 1,
		 data_centre);
	r->queue = calloc(READER_QUEUE_MAX, sizeof(*r->queue));
	r->listed = calloc(READER_QUEUE_MAX, sizeof(*r->listed));
	r->seen = calloc(SEEN_SLOTS, sizeof(*r->seen));
	if (!r->queue || !r->listed || !r->seen) {
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
	free(r->listed);
	free(r->seen);
	free(r->document);
	free(r);
}

static void document_drop(struct reader *r)
{
	free(r->document);
	r->document = NULL;
}

static bool is_ours(const struct reader *r, const char *key)
{
	return !strncmp(key, ACCOUNT_PREFIX, strlen(ACCOUNT_PREFIX)) ||
	       !strcmp(key, r->vms_key);
}

static uint64_t key_hash(const char *key)
{
	return XXH3_64bits(key, strlen(key));
}

static bool was_seen(const struct reader *r, const char *key, uint64_t revision)
{
	uint64_t hash = key_hash(key);
	const struct seen *s = &r->seen[hash % SEEN_SLOTS];

	return s->key_hash == hash && s->revision == revision;
}

static void note_seen(struct reader *r, const char *key, uint64_t revision)
{
	uint64_t hash = key_hash(key);

	r->seen[hash % SEEN_SLOTS] = (struct seen){ hash, revision };
}

/*
 * A revision up to the known one is old news, unless the platform is behind
 * what is known: it is stale, or lost its memory and counts from 0 again, or
 * lists a key below the revision that it had. Its publications would then be
 * skipped for good, so each is read once; their generations decide.
 */
static bool is_old(const struct reader *r, const char *key,
		   const struct version *known, uint64_t revision)
{
	uint64_t newest = known->revision > known->withdrawn_revision
				  ? known->revision
				  : known->withdrawn_revision;

	bool back = newest > r->platform_revision ||
		    (r->step == STEP_LIST && revision < known->revision);

	if (revision > newest)
		return false;
	return !back || was_seen(r, key, revision);
}

/* Queue a key unless what is known of it is as new. */
static void want(struct reader *r, const char *key, uint64_t revision)
{
	const struct version *known = r->port.known(r->port.ctx, key);

	if (!is_ours(r, key) || strlen(key) >= PUBLISHED_KEY_MAX_BYTES)
		return;
	if (known && is_old(r, key, known, revision))
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
	r->waiting = true;
	r->next_deadline_ns = NEVER_NS;
	r->counters.calls++;
	r->port.call(r->port.ctx, call, key, r->after);
}

/* Start the call that comes next. */
static void proceed(struct reader *r, uint64_t now_ns)
{
	char key[sizeof(TEMPLATE_PREFIX) + NAME_MAX_BYTES];

	r->next_deadline_ns = NEVER_NS;
	if (r->waiting || r->mode == READER_OFF)
		return;
	if (r->mode == READER_ROSTER) {
		if (!r->roster_read)
			start_call(r, STEP_KEY, CALL_GET, r->vms_key);
		return;
	}
	if (r->document) {
		snprintf(key, sizeof(key), TEMPLATE_PREFIX "%s", r->template);
		start_call(r, STEP_TEMPLATE, CALL_GET, key);
	} else if (r->n_queue) {
		start_call(r, STEP_KEY, CALL_GET, r->queue[r->n_queue - 1].key);
	} else if (now_ns >= r->relist_deadline_ns) {
		r->counters.lists++;
		start_call(r, STEP_LIST, CALL_LIST, "");
	} else {
		r->port.state(r->port.ctx, true, true);
		start_call(r, STEP_WATCH, CALL_WATCH, "");
	}
}

/**
 * reader_mode() - how much to read from now on
 * @r: reader
 * @mode: enum reader_mode
 * @now_ns: time
 */
void reader_mode(struct reader *r, enum reader_mode mode, uint64_t now_ns)
{
	if (mode == r->mode)
		return;
	if (r->waiting)
		r->port.cancel(r->port.ctx);
	r->waiting = false;
	r->mode = mode;
	r->n_queue = 0;
	document_drop(r);
	r->relist_deadline_ns = now_ns;
	r->next_deadline_ns = now_ns;
	if (mode != READER_ALL)
		r->port.state(r->port.ctx, false, false);
}

/* Wait longer with each failure, by a random part so that VMs spread out. */
static void back_off(struct reader *r, uint64_t now_ns)
{
	uint32_t doublings = r->failures < BACKOFF_DOUBLINGS_MAX
				     ? r->failures
				     : BACKOFF_DOUBLINGS_MAX;
	uint64_t most_ns = BACKOFF_MIN_NS << doublings;

	if (most_ns > BACKOFF_MAX_NS)
		most_ns = BACKOFF_MAX_NS;
	r->failures++;
	r->counters.calls_failed++;
	r->next_deadline_ns =
		now_ns + most_ns / 2 + rng_next(&r->rng) % (most_ns / 2);
	r->port.state(r->port.ctx, false, false);
}

static int by_value(const void *a, const void *b)
{
	const uint64_t *x = a, *y = b;

	return (*x > *y) - (*x < *y);
}

static void note_listed(struct reader *r, const char *key)
{
	if (is_ours(r, key) && r->n_listed < READER_QUEUE_MAX)
		r->listed[r->n_listed++] = key_hash(key);
}

static bool was_listed(const struct reader *r, const char *key)
{
	uint64_t hash = key_hash(key);

	return bsearch(&hash, r->listed, r->n_listed, sizeof(hash), by_value);
}

/*
 * Known accounts that the list lacks were withdrawn, if the list is newer
 * than they are; spread_withdraw() compares the revisions.
 */
static void find_gone(struct reader *r, uint64_t revision)
{
	const char *key;

	if (r->n_listed == READER_QUEUE_MAX)
		return;
	qsort(r->listed, r->n_listed, sizeof(*r->listed), by_value);
	for (uint32_t i = 0; (key = r->port.each(r->port.ctx, i)); i++)
		if (!strncmp(key, ACCOUNT_PREFIX, strlen(ACCOUNT_PREFIX)) &&
		    !was_listed(r, key))
			r->port.gone(r->port.ctx, key, revision);
}

static int by_key_downwards(const void *a, const void *b)
{
	const struct wanted *x = a, *y = b;

	return strcmp(y->key, x->key);
}

/*
 * The queue is read from its end, so this reads by name. Of two accounts that
 * ask for one VIP the first to be read gets it: in the platform's order it
 * could be another one at each reader.
 */
static void sort_queue(struct reader *r)
{
	qsort(r->queue, r->n_queue, sizeof(*r->queue), by_key_downwards);
}

static void note_name(struct reader *r, const char *key, uint64_t now_ns)
{
	(void)now_ns;
	note_listed(r, key);
}

/* Accounts that were refused may render by a template that changed. */
static void note_template(struct reader *r, const char *key, uint64_t now_ns)
{
	if (!strncmp(key, TEMPLATE_PREFIX, strlen(TEMPLATE_PREFIX)))
		r->relist_deadline_ns = now_ns;
}

/* Queue the keys of an answer that are newer than known; @note sees each. */
static void
want_all(struct reader *r, const struct reader_answer *a, uint64_t now_ns,
	 void (*note)(struct reader *r, const char *key, uint64_t now_ns))
{
	const char *at = a->body;
	char key[PUBLISHED_KEY_MAX_BYTES];
	uint64_t revision;

	r->platform_revision = lines_highest(a);
	while (lines_next(&at, a->body + a->size_bytes, &revision, key,
			  &r->counters.answers_malformed)) {
		want(r, key, revision);
		note(r, key, now_ns);
	}
	sort_queue(r);
}

static void answered_list(struct reader *r, const struct reader_answer *a,
			  uint64_t now_ns)
{
	if (a->status != 200) {
		back_off(r, now_ns);
		return;
	}
	r->n_listed = 0;
	want_all(r, a, now_ns, note_name);
	r->after = r->platform_revision;
	r->relist_deadline_ns = now_ns + RELIST_PERIOD_NS;
	find_gone(r, r->platform_revision);
}

static void finish_document(struct reader *r, int err)
{
	if (err && err != -EALREADY)
		r->counters.documents_refused++;
	document_drop(r);
}

static void answered_key(struct reader *r, const struct reader_answer *a,
			 uint64_t now_ns)
{
	struct wanted w = { 0 };
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
		r->port.gone(r->port.ctx, w.key,
			     a->revision ? a->revision : w.revision);
		return;
	}
	r->counters.documents++;
	note_seen(r, w.key, a->revision);
	err = r->port.document(r->port.ctx, w.key, a->body, a->size_bytes,
			       a->revision, r->template);
	if (err != -ENOENT) {
		finish_document(r, err);
		r->roster_read = !err || err == -EALREADY;
		if (!r->roster_read && r->mode == READER_ROSTER)
			back_off(r, now_ns);
		return;
	}
	r->document = malloc(sizeof(w.key) + a->size_bytes + 1);
	if (!r->document)
		return;
	memcpy(r->document, w.key, sizeof(w.key));
	memcpy(r->document + sizeof(w.key), a->body, a->size_bytes);
	r->document_bytes = a->size_bytes;
	r->document_revision = a->revision;
}

/*
 * A template is read afresh for each document: one kept from earlier could
 * render the new generation by the old template at this reader only.
 */
static void answered_template(struct reader *r, const struct reader_answer *a,
			      uint64_t now_ns)
{
	bool found = a->status == 200;
	const char *text;

	if (!found && a->status != 404) {
		back_off(r, now_ns);
		return;
	}
	r->port.template_text(r->port.ctx, r->template, found ? a->body : NULL,
			      a->size_bytes);
	text = r->document + PUBLISHED_KEY_MAX_BYTES;
	finish_document(r, r->port.document(r->port.ctx, r->document, text,
					    r->document_bytes,
					    r->document_revision, NULL));
}

static void answered_watch(struct reader *r, const struct reader_answer *a,
			   uint64_t now_ns)
{
	if (a->status != 200) {
		back_off(r, now_ns);
		return;
	}
	want_all(r, a, now_ns, note_template);
	if (r->platform_revision < r->after)
		r->counters.platform_behind++;
	else
		r->after = r->platform_revision;
	if (!a->size_bytes)
		r->next_deadline_ns = now_ns + WATCH_SPACING_NS;
}

/**
 * reader_answer() - a call ended
 * @r: reader
 * @a: how
 * @now_ns: time
 */
void reader_answer(struct reader *r, const struct reader_answer *a,
		   uint64_t now_ns)
{
	static void (*const answered[])(
		struct reader *, const struct reader_answer *, uint64_t) = {
		[STEP_LIST] = answered_list,
		[STEP_KEY] = answered_key,
		[STEP_TEMPLATE] = answered_template,
		[STEP_WATCH] = answered_watch,
	};

	if (!r->waiting)
		return;
	r->waiting = false;
	r->next_deadline_ns = now_ns;
	if (a->status == 200 || a->status == 404) {
		r->failures = 0;
		r->port.state(r->port.ctx, true, false);
	}
	answered[r->step](r, a, now_ns);
	reader_tick(r, now_ns);
}

/**
 * reader_tick() - start the next call when it is due
 * @r: reader
 * @now_ns: time, at or after reader_next_ns()
 */
void reader_tick(struct reader *r, uint64_t now_ns)
{
	if (now_ns >= r->next_deadline_ns)
		proceed(r, now_ns);
}

/**
 * reader_relist() - compare the whole list again once the call under way ends,
 *	so that documents that were refused are tried again
 * @r: reader
 *
 * It takes no time: called from within an answer, a clock read there is past
 * the time that this answer is dealt with, and a watch would come first.
 */
void reader_relist(struct reader *r)
{
	r->relist_deadline_ns = 0;
}

uint64_t reader_next_ns(const struct reader *r)
{
	return r->next_deadline_ns;
}

const struct reader_counters *reader_counters(const struct reader *r)
{
	return &r->counters;
}
