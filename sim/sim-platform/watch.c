#include "platform.h"

/**
 * struct watcher - an unanswered watch
 * @req: call to be answered
 * @after: revision that the reader has
 * @deadline_ns: time at which it is answered even without changes
 */
struct watcher {
	struct http_request *req;
	uint64_t after;
	uint64_t deadline_ns;
};

/* Answers and frees a watcher if there are changes or its time is over. */
static bool answer_if_due(struct frontend *f, struct watcher *w,
			  uint64_t now_ns)
{
	uint64_t as_of = frontend_served_revision(f);
	GString *body;

	if (w->deadline_ns > now_ns &&
	    key_store_changes(f->platform->store, w->after, as_of, NULL) == 0)
		return false;
	body = g_string_new(NULL);
	key_store_changes(f->platform->store, w->after, as_of, body);
	frontend_add_revision(w->req, as_of);
	http_respond(w->req, 200, body);
	g_string_free(body, TRUE);
	g_free(w);
	return true;
}

/**
 * watch_add() - queue a watch until there are changes
 * @f: frontend that received the call
 * @req: call to be answered
 * @after: revision that the reader has
 * @deadline_ns: time at which it is answered even without changes
 */
void watch_add(struct frontend *f, struct http_request *req, uint64_t after,
	       uint64_t deadline_ns)
{
	struct watcher *w = g_new(struct watcher, 1);

	w->req = req;
	w->after = after;
	w->deadline_ns = deadline_ns;
	g_queue_push_tail(&f->watchers, w);
}

/**
 * watch_answer_due() - answer watches with changes or a past deadline
 * @f: frontend
 * @now_ns: monotonic time
 *
 * An answer may start the next call of the same connection. If that is a watch,
 * it is queued last and not checked in this step.
 */
void watch_answer_due(struct frontend *f, uint64_t now_ns)
{
	guint n = g_queue_get_length(&f->watchers);

	while (n--) {
		struct watcher *w = g_queue_pop_head(&f->watchers);

		if (!answer_if_due(f, w, now_ns))
			g_queue_push_tail(&f->watchers, w);
	}
}

/**
 * watch_abort_all() - abort all watches of a frontend
 * @f: frontend, whose connections are closed
 */
void watch_abort_all(struct frontend *f)
{
	struct watcher *w;

	while ((w = g_queue_pop_head(&f->watchers))) {
		http_respond(w->req, 503, NULL);
		g_free(w);
	}
}
