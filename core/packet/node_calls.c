/* Calls to the platform and to peers that know more. */
#include "node_impl.h"

#include <errno.h>
#include <string.h>

static struct source_view view(const struct node *n)
{
	return (struct source_view){
		.policy = n->policy,
		.now_ns = n->now_ns,
		.rank = peer_set_reader_rank(n->peers, n->now_ns),
		.complete = documents_complete(n->documents).revision,
		.synced = documents_synced(n->documents).revision,
		.others_contact_ns =
			peer_set_others_contact_ns(n->peers, n->now_ns),
		.readers_before = peer_set_readers_before(
			n->peers, n->now_ns - SOURCE_CONTACT_NS, n->now_ns),
		.live_peers = peer_set_count_live(n->peers, n->now_ns),
		.fetching = n->fetching,
		.random = hash_u64(n->now_ns, n->conf.self ^ n->conf.boot),
	};
}

static void fetch(struct node *n)
{
	struct sync_state own = node_knowledge(n);
	const struct peer_vm *p;

	if (n->fetching || !n->policy->relay)
		return;
	p = peer_set_find_ahead_of(n->peers, &own, n->now_ns);
	if (!p)
		return;
	n->fetching = true;
	n->fetching_carried = p->retained_digest;
	n->fetching_far = p->zone != node_zone(n);
	n->counters.peer_calls++;
	n->port.fetch(n->port.ctx, p->addr, documents_synced(n->documents));
}

static void watch(struct node *n, const struct source_view *v)
{
	n->asked = documents_complete(n->documents);
	n->port.watch(n->port.ctx, v->complete, source_watch_wait_ns(v));
}

/* Start the calls that are due. */
void node_call(struct node *n)
{
	struct source_view v = view(n);
	enum source_step step;

	fetch(n);
	if (n->stop_ns)
		return;
	step = source_next(&n->source, &v);
	if (step == SOURCE_WAIT)
		return;
	n->step = step;
	n->counters.platform_calls++;
	n->counters.platform_lists += step == SOURCE_LIST;
	source_begin(&n->source, step);
	if (step == SOURCE_LIST)
		n->port.list(n->port.ctx, n->list_first ? n->list_after : NULL,
			     n->source.exact || !n->list_first);
	else
		watch(n, &v);
}

static void take(struct node *n, const struct document *d,
		 enum document_origin origin)
{
	if (documents_put(n->documents, d, origin, n->now_ns) == -ENOMEM)
		n->port.log(n->port.ctx, NODE_ERROR, "document", d->key,
			    "revision %llu lost: no room",
			    (unsigned long long)d->revision);
}

/* The platform tells the epoch once an answer. */
static void take_published(struct node *n, const struct document *d,
			   enum document_origin origin)
{
	struct document dated = *d;

	dated.epoch = n->answer_epoch;
	take(n, &dated, origin);
}

/**
 * node_listed() - a document of a listing
 * @ctx: entry
 * @d: document, its epoch left out
 */
void node_listed(void *ctx, const struct document *d)
{
	take_published(ctx, d, DOCUMENT_LISTED);
}

/**
 * node_changed() - a document that changed
 * @ctx: entry
 * @d: document, its epoch left out
 */
void node_changed(void *ctx, const struct document *d)
{
	take_published(ctx, d, DOCUMENT_CHANGED);
}

/**
 * node_relay_listed() - a document of a peer's whole state
 * @ctx: entry
 * @d: document
 */
void node_relay_listed(void *ctx, const struct document *d)
{
	take(ctx, d, DOCUMENT_LISTED);
}

/**
 * node_relayed() - a document that a peer sent
 * @ctx: entry
 * @d: document
 */
void node_relayed(void *ctx, const struct document *d)
{
	take(ctx, d, DOCUMENT_CHANGED);
}

/**
 * node_connected() - a new connection to the platform stands
 * @n: entry
 * @took_ns: time that it took
 * @now_ns: time
 *
 * Return: whether to ask over it; otherwise the call ends with SOURCE_DEFERRED.
 */
bool node_connected(struct node *n, uint64_t took_ns, uint64_t now_ns)
{
	struct source_view v;

	n->now_ns = now_ns;
	v = view(n);
	return source_may_send(&n->source, &v, took_ns);
}

/*
 * Whether an answer may be joined with what is known. Its revisions are of its
 * epoch: a watch that asked in another one misses what came before, and pages of
 * two epochs make no listing.
 */
static bool joins(const struct node *n, uint64_t epoch)
{
	uint64_t known = documents_complete(n->documents).epoch;

	if (n->step == SOURCE_WATCH)
		return epoch == known && epoch == n->asked.epoch;
	return epoch >= known && (!n->list_first || epoch == n->answer_epoch);
}

/*
 * Entries of targets are as old as the copy, and may run out before they are
 * renewed: as after any other trouble of the platform, they are not gone.
 */
static void note_epoch(struct node *n, uint64_t epoch, uint64_t known)
{
	n->port.log(n->port.ctx, NODE_WARNING, "platform", NULL,
		    "answer of epoch %llu, known is epoch %llu",
		    (unsigned long long)epoch, (unsigned long long)known);
	if (epoch > known)
		peer_set_note_platform_failure(n->peers, n->now_ns, n->now_ns);
}

/**
 * node_answering() - the platform's answer is about to be taken, by
 *	node_listed() or node_changed()
 * @n: entry
 * @epoch: epoch that it tells
 * @now_ns: time
 *
 * Return: whether to take it; if not, the call ends with SOURCE_GONE.
 */
bool node_answering(struct node *n, uint64_t epoch, uint64_t now_ns)
{
	uint64_t known = documents_complete(n->documents).epoch;

	n->now_ns = now_ns;
	if (epoch != known && node_knows(n))
		note_epoch(n, epoch, known);
	if (!joins(n, epoch))
		return false;
	n->answer_epoch = epoch;
	if (n->step == SOURCE_LIST && !n->list_first)
		documents_list_begin(n->documents);
	return true;
}

static void take_head(struct node *n, const struct answer_head *head)
{
	struct position at = { n->answer_epoch, head->revision };

	if (n->step == SOURCE_WATCH) {
		documents_advance_synced(n->documents, at, n->now_ns);
		return;
	}
	if (!n->source.listing)
		return;
	if (!n->list_first)
		n->list_first = n->list_revision = head->revision;
	/* Pages that may be old need not be of one time, nor in order. */
	if (head->revision < n->list_revision)
		n->list_revision = head->revision;
	memcpy(n->list_after, head->last_key, sizeof(n->list_after));
	if (head->more)
		return;
	at.revision = n->list_revision;
	documents_list_end(n->documents, at, at, n->now_ns);
	if (n->list_revision == n->list_first)
		documents_advance_synced(n->documents, at, n->now_ns);
}

/*
 * Who stood in for a reader that reads again leaves it the claim: with one of
 * its own it would not see that it is not needed, and read on.
 */
static bool needless_claim(const struct node *n)
{
	struct source_view v = view(n);

	return v.rank && v.others_contact_ns + SOURCE_CONTACT_NS > v.now_ns;
}

static void note_contact(struct node *n, bool ok, struct position at)
{
	uint32_t failures = n->source.failures;

	if (ok) {
		if (!needless_claim(n))
			peer_set_note_contact(n->peers, at, n->now_ns);
		if (failures)
			n->port.log(n->port.ctx, NODE_INFO, "platform", NULL,
				    "answers again after %u failures",
				    failures);
		return;
	}
	n->counters.platform_calls_failed++;
	peer_set_note_platform_failure(n->peers, n->now_ns - SOURCE_CONTACT_NS,
				       n->now_ns);
}

/* The first of a row is logged. */
static void note_behind(struct node *n)
{
	n->counters.platform_behind++;
	if (!n->source.gone_count)
		n->port.log(n->port.ctx, NODE_WARNING, "platform", NULL,
			    "no changes to be had after revision %llu, epoch "
			    "%llu",
			    (unsigned long long)n->asked.revision,
			    (unsigned long long)n->asked.epoch);
}

/**
 * node_answer() - a call to the platform ended
 * @n: entry
 * @outcome: how
 * @head: what the answer said, when it was SOURCE_OK
 * @now_ns: time
 */
void node_answer(struct node *n, enum source_outcome outcome,
		 const struct answer_head *head, uint64_t now_ns)
{
	struct position at = { 0 };
	struct source_view v;
	bool changed;

	n->now_ns = now_ns;
	if (outcome == SOURCE_GONE)
		note_behind(n);
	if (outcome == SOURCE_OK) {
		take_head(n, head);
		at = (struct position){ n->answer_epoch, head->revision };
	}
	if (outcome != SOURCE_DEFERRED)
		note_contact(n, outcome != SOURCE_FAILED, at);
	changed = position_after(documents_newest(n->documents), n->told);
	v = view(n);
	n->source.transfer_ns = outcome == SOURCE_OK ? head->came_ns : 0;
	source_end(&n->source, outcome, outcome == SOURCE_OK && head->more,
		   changed, &v);
	if (!n->source.listing)
		n->list_first = 0;
	if (changed || outcome == SOURCE_FAILED)
		node_tell(n, NULL);
	n->told = documents_newest(n->documents);
	node_call(n);
	node_judge_ready(n);
}

/*
 * A peer brought what the first listing was to bring. The answer on its way
 * would keep others from theirs, on the platform's link.
 */
static void give_up_listing(struct node *n)
{
	if (n->source.calling && n->step == SOURCE_LIST)
		n->port.cancel(n->port.ctx);
	source_cancel_listing(&n->source);
	n->list_first = 0;
}

/**
 * node_fetching() - a peer's documents are about to be taken, by node_listed()
 *	when they are its whole state, else by node_changed()
 * @n: entry
 * @head: what they come with
 * @now_ns: time
 *
 * Two listings at a time would each miss what the other names: an entry that
 * knows nothing yet gives its own up. Who knows an earlier epoch has nothing
 * that was not carried over from there.
 *
 * Return: whether to take them.
 */
bool node_fetching(struct node *n, const struct relay_head *head,
		   uint64_t now_ns)
{
	n->now_ns = now_ns;
	if (head->through.epoch < documents_complete(n->documents).epoch)
		return false;
	if (!head->whole)
		return true;
	if (n->source.listing && node_knows(n))
		return false;
	give_up_listing(n);
	documents_list_begin(n->documents);
	return true;
}

/**
 * node_fetched() - a call to a peer ended
 * @n: entry
 * @head: what its documents came with, all taken; NULL when there were none
 * @now_ns: time
 */
void node_fetched(struct node *n, const struct relay_head *head,
		  uint64_t now_ns)
{
	bool first = !node_knows(n);

	n->now_ns = now_ns;
	n->fetching = false;
	if (!head) {
		n->counters.peer_calls_failed++;
		return;
	}
	if (head->whole)
		documents_list_end(n->documents, head->through, head->floor,
				   now_ns);
	documents_advance_synced(n->documents, head->through, now_ns);
	documents_raise_newest(n->documents, head->newest);
	n->carried_taken = n->fetching_carried;
	if (first && node_knows(n))
		give_up_listing(n);
	/* News from elsewhere: few others here have them yet. */
	if (n->fetching_far &&
	    position_after(documents_newest(n->documents), n->told)) {
		n->told = documents_newest(n->documents);
		node_tell(n, NULL);
	}
	node_judge_ready(n);
}
