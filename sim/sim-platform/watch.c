#include "platform.h"

/**
 * struct watcher - a call that waits for a change
 * @req: the call
 * @after: revision that the reader has
 * @deadline_ns: when it is answered in any case
 */
struct watcher {
	struct http_request *req;
	uint64_t after;
	uint64_t deadline_ns;
};

/* Answers and frees a watcher when it is time. */
static bool settle(struct front *f, struct watcher *w, uint64_t now_ns)
{
	uint64_t as_of = front_as_of(f);
	GString *body;

	if (w->deadline_ns > now_ns &&
	    keys_changes(f->platform->keys, w->after, as_of, NULL) == 0)
		return false;
	body = g_string_new(NULL);
	keys_changes(f->platform->keys, w->after, as_of, body);
	front_revision(w->req, as_of);
	http_respond(w->req, 200, body);
	g_string_free(body, TRUE);
	g_free(w);
	return true;
}

/**
 * watch_begin() - let a call wait for a change
 * @f: front it came to
 * @req: call
 * @after: revision that the reader has
 * @deadline_ns: when to answer in any case
 */
void watch_begin(struct front *f, struct http_request *req, uint64_t after,
		 uint64_t deadline_ns)
{
	struct watcher *w = g_new(struct watcher, 1);

	w->req = req;
	w->after = after;
	w->deadline_ns = deadline_ns;
	g_queue_push_tail(&f->watchers, w);
}

/**
 * watch_step() - answer the calls whose wait is over
 * @f: front
 * @now_ns: time
 *
 * Answering may begin the next call of the same connection, which may wait
 * again; it is queued behind and not looked at in this step.
 */
void watch_step(struct front *f, uint64_t now_ns)
{
	guint n = g_queue_get_length(&f->watchers);

	while (n--) {
		struct watcher *w = g_queue_pop_head(&f->watchers);

		if (!settle(f, w, now_ns))
			g_queue_push_tail(&f->watchers, w);
	}
}

/**
 * watch_drop() - forget the calls that wait; their connections are closed
 * @f: front
 */
void watch_drop(struct front *f)
{
	struct watcher *w;

	while ((w = g_queue_pop_head(&f->watchers))) {
		http_respond(w->req, 503, NULL);
		g_free(w);
	}
}
