/* Calls to the platform, and to peers that are ahead of this entry. */
#include "node_impl.h"

#include <errno.h>
#include <string.h>

/* Pause after the second call to a peer in a row that failed; doubled after each
 * further one. The first is followed by another call at once, which usually
 * goes to another peer. */
#define FETCH_RETRY_NS (50 * NS_PER_MS)
#define FETCH_DOUBLINGS 3

static struct source_view source_view_of(const struct node *node)
{
	return (struct source_view){
		.policy = node->policy,
		.now_ns = node->now_ns,
		.rank = peer_set_reader_rank(node->peers, node->now_ns),
		.complete = documents_complete(node->documents).revision,
		.synced = documents_synced(node->documents).revision,
		.others_contact_ns =
			peer_set_others_contact_ns(node->peers, node->now_ns),
		.readers_before = peer_set_readers_before(
			node->peers, node->now_ns - SOURCE_CONTACT_NS,
			node->now_ns),
		.live_peers = peer_set_count_live(node->peers, node->now_ns),
		.fetching = node->fetching,
		.fetch_failures = node->fetch_failures,
		.random = hash_u64(node->now_ns,
				   node->conf.self ^ node->conf.boot),
	};
}

static void start_fetch(struct node *node)
{
	struct sync_state own = node_known_positions(node);
	const struct peer_vm *peer;

	if (node->fetching || !node->policy->relay)
		return;
	peer = peer_set_find_ahead_of(node->peers, &own, node->now_ns);
	if (!peer)
		node->fetch_failures = 0;
	if (!peer || node->now_ns < node->fetch_next_ns)
		return;
	node->fetching = true;
	node->fetching_retained = peer->retained_digest;
	node->fetching_other_zone = peer->zone != node_zone(node);
	node->fetch_after = documents_synced(node->documents);
	node->counters.peer_calls++;
	node->port.fetch(node->port.ctx, peer->addr, node->fetch_after);
}

static void start_watch(struct node *node, const struct source_view *v)
{
	node->watched_after = documents_complete(node->documents);
	node->port.watch(node->port.ctx, v->complete, source_watch_wait_ns(v));
}

/* Start the calls to the platform and to a peer that are due. */
void node_start_calls(struct node *node)
{
	struct source_view v = source_view_of(node);
	enum source_step step;

	start_fetch(node);
	if (node->stop_ns)
		return;
	step = source_next(&node->source, &v);
	if (step == SOURCE_WAIT)
		return;
	node->step = step;
	node->counters.platform_calls++;
	node->counters.platform_lists += step == SOURCE_LIST;
	source_begin(&node->source, step);
	if (step == SOURCE_LIST)
		node->port.list(
			node->port.ctx,
			node->list_first_revision ? node->list_after_key : NULL,
			node->source.exact || !node->list_first_revision);
	else
		start_watch(node, &v);
}

static void put_document(struct node *node, const struct document *doc,
			 enum document_origin origin)
{
	if (documents_put(node->documents, doc, origin, node->now_ns) ==
	    -ENOMEM)
		node->port.log(node->port.ctx, NODE_ERROR, "document", doc->key,
			       "revision %llu not stored: out of memory",
			       (unsigned long long)doc->revision);
}

/*
 * Peers that know the advertised position do not fetch changes below it, and
 * keep the earlier versions.
 */
static void log_late(struct node *node)
{
	uint64_t before = node->counters.documents_late;

	node->counters.documents_late = documents_late_count(node->documents);
	if (node->counters.documents_late > before)
		node->port.log(
			node->port.ctx, NODE_WARNING, "documents", NULL,
			"%llu changes at or below revision %llu, which was "
			"advertised before",
			(unsigned long long)(node->counters.documents_late -
					     before),
			(unsigned long long)node->advertised.revision);
}

/* The epoch of a document of the platform is in the header of the answer. */
static void put_published(struct node *node, const struct document *doc,
			  enum document_origin origin)
{
	struct document with_epoch = *doc;

	with_epoch.epoch = node->answer_epoch;
	put_document(node, &with_epoch, origin);
}

/**
 * node_take_listed() - store a document of the platform's listing
 * @ctx: entry, struct node
 * @doc: document, copied; its epoch is ignored, that of the answer counts
 */
void node_take_listed(void *ctx, const struct document *doc)
{
	put_published(ctx, doc, DOCUMENT_LISTED);
}

/**
 * node_take_changed() - store a change that the platform reported
 * @ctx: entry, struct node
 * @doc: document, copied; its epoch is ignored, that of the answer counts
 */
void node_take_changed(void *ctx, const struct document *doc)
{
	put_published(ctx, doc, DOCUMENT_CHANGED);
}

/**
 * node_take_relay_listed() - store one of all documents of a peer
 * @ctx: entry, struct node
 * @doc: document with its epoch, copied
 */
void node_take_relay_listed(void *ctx, const struct document *doc)
{
	put_document(ctx, doc, DOCUMENT_LISTED);
}

/**
 * node_take_relayed() - store a change that a peer sent
 * @ctx: entry, struct node
 * @doc: document with its epoch, copied
 */
void node_take_relayed(void *ctx, const struct document *doc)
{
	put_document(ctx, doc, DOCUMENT_CHANGED);
}

/**
 * node_platform_connected() - handle a new connection to the platform
 * @node: entry
 * @took_ns: time that the connection attempt took
 * @now_ns: current time
 *
 * Return: whether to send the request; if not, the caller ends the call with
 * SOURCE_DEFERRED.
 */
bool node_platform_connected(struct node *node, uint64_t took_ns,
			     uint64_t now_ns)
{
	struct source_view v;

	node->now_ns = now_ns;
	v = source_view_of(node);
	return source_may_send(&node->source, &v, took_ns);
}

/*
 * Whether an answer of @epoch may be applied to the documents. Revisions belong
 * to their epoch: a watch after a revision of another epoch misses earlier
 * changes, and pages of two epochs don't form a listing.
 */
static bool can_apply_answer(const struct node *node, uint64_t epoch)
{
	uint64_t known = documents_complete(node->documents).epoch;

	if (node->step == SOURCE_WATCH)
		return epoch == known && epoch == node->watched_after.epoch;
	return epoch >= known &&
	       (!node->list_first_revision || epoch == node->answer_epoch);
}

/*
 * Log that the platform answered in another epoch. A later one counts as an
 * outage of the platform: the records of targets are as old as its restored
 * copy and may lapse before they are renewed, though the targets live.
 */
static void handle_other_epoch(struct node *node, uint64_t epoch,
			       uint64_t known)
{
	node->port.log(node->port.ctx, NODE_WARNING, "platform", NULL,
		       "answer is of epoch %llu, known epoch is %llu",
		       (unsigned long long)epoch, (unsigned long long)known);
	if (epoch > known)
		peer_set_note_platform_failure(node->peers, node->now_ns,
					       node->now_ns);
}

/**
 * node_answer_begin() - start to apply an answer of the platform, whose
 *	documents follow by node_take_listed() or node_take_changed()
 * @node: entry
 * @epoch: epoch of the answer
 * @now_ns: current time
 *
 * Return: whether to apply it; if not, the caller ends the call with
 * SOURCE_GONE.
 */
bool node_answer_begin(struct node *node, uint64_t epoch, uint64_t now_ns)
{
	uint64_t known = documents_complete(node->documents).epoch;

	node->now_ns = now_ns;
	if (epoch != known && node_has_snapshot(node))
		handle_other_epoch(node, epoch, known);
	if (!can_apply_answer(node, epoch))
		return false;
	node->answer_epoch = epoch;
	if (node->step == SOURCE_LIST && !node->list_first_revision)
		documents_list_begin(node->documents);
	return true;
}

static void apply_answer_head(struct node *node, const struct answer_head *head)
{
	struct position at = { node->answer_epoch, head->revision };

	if (node->step == SOURCE_WATCH) {
		documents_advance_synced(node->documents, at, node->now_ns);
		return;
	}
	if (!node->source.listing)
		return;
	if (!node->list_first_revision)
		node->list_first_revision = node->list_min_revision =
			head->revision;
	/* Pages that may be old can be of different revisions, in any order. */
	if (head->revision < node->list_min_revision)
		node->list_min_revision = head->revision;
	memcpy(node->list_after_key, head->last_key,
	       sizeof(node->list_after_key));
	if (head->more)
		return;
	at.revision = node->list_min_revision;
	documents_list_end(node->documents, at, at, node->now_ns);
	if (node->list_min_revision == node->list_first_revision)
		documents_advance_synced(node->documents, at, node->now_ns);
}

/*
 * Whether another reader of the data centre, which this entry replaced, reads
 * the platform again. This entry then must not renew its own claim: it would not
 * notice that it is no longer needed, and would go on reading.
 */
static bool has_other_reader_resumed(const struct node *node)
{
	struct source_view v = source_view_of(node);

	return v.rank && v.others_contact_ns + SOURCE_CONTACT_NS > v.now_ns;
}

static void record_contact(struct node *node, bool ok, struct position at)
{
	uint32_t failures = node->source.failures;

	if (ok) {
		if (!has_other_reader_resumed(node))
			peer_set_note_contact(node->peers, at, node->now_ns);
		if (failures)
			node->port.log(node->port.ctx, NODE_INFO, "platform",
				       NULL, "answers again after %u failures",
				       failures);
		return;
	}
	node->counters.platform_calls_failed++;
	peer_set_note_platform_failure(
		node->peers, node->now_ns - SOURCE_CONTACT_NS, node->now_ns);
}

/* Logs only the first of a series. */
static void record_behind(struct node *node)
{
	node->counters.platform_behind++;
	if (!node->source.gone_count)
		node->port.log(
			node->port.ctx, NODE_WARNING, "platform", NULL,
			"history after revision %llu of epoch %llu is gone, "
			"listing again",
			(unsigned long long)node->watched_after.revision,
			(unsigned long long)node->watched_after.epoch);
}

/**
 * node_answer_end() - handle the end of a call to the platform
 * @node: entry
 * @outcome: outcome of the call
 * @head: properties of the answer; read only when @outcome is SOURCE_OK
 * @now_ns: current time
 */
void node_answer_end(struct node *node, enum source_outcome outcome,
		     const struct answer_head *head, uint64_t now_ns)
{
	struct position at = { 0 };
	bool failed = outcome == SOURCE_FAILED || outcome == SOURCE_UNREADABLE;
	struct source_view v;
	bool changed;

	node->now_ns = now_ns;
	log_late(node);
	if (outcome == SOURCE_GONE)
		record_behind(node);
	node->counters.platform_unreadable += outcome == SOURCE_UNREADABLE;
	if (outcome == SOURCE_OK) {
		apply_answer_head(node, head);
		at = (struct position){ node->answer_epoch, head->revision };
	}
	if (outcome != SOURCE_DEFERRED)
		record_contact(node, !failed, at);
	changed = position_after(documents_newest(node->documents),
				 node->advertised);
	v = source_view_of(node);
	node->source.transfer_ns = outcome == SOURCE_OK ? head->transfer_ns : 0;
	source_end(&node->source, outcome, outcome == SOURCE_OK && head->more,
		   changed, &v);
	if (!node->source.listing)
		node->list_first_revision = 0;
	if (changed || failed)
		node_advertise(node, NULL);
	node->advertised = documents_newest(node->documents);
	node_start_calls(node);
	node_update_ready(node);
}

/*
 * Cancel the first listing, since a peer sent the documents. The pending answer
 * would delay those to other entries on the platform's link.
 */
static void abandon_listing(struct node *node)
{
	if (node->source.calling && node->step == SOURCE_LIST)
		node->port.cancel(node->port.ctx);
	source_cancel_listing(&node->source);
	node->list_first_revision = 0;
}

/*
 * Whether a peer sent documents of a position that a listing of the platform has
 * overtaken since the call began. They may have been deleted, and a listing does
 * not show what was: they would be added again, for good.
 */
static bool is_overtaken(const struct node *node, const struct relay_head *head)
{
	struct position known = documents_complete(node->documents);

	return position_after(known, head->through) &&
	       (head->is_full_state ||
		position_after(known, node->fetch_after));
}

/**
 * node_fetch_begin() - start to apply the documents of a peer, which follow by
 *	node_take_relay_listed() when @head->is_full_state, otherwise by
 *	node_take_relayed()
 * @node: entry
 * @head: positions of the documents
 * @now_ns: current time
 *
 * Of two listings at once each would lack documents that only the other names.
 * So an entry without a snapshot abandons its own listing, and another one
 * refuses that of the peer. A peer in an earlier epoch is refused as well: what
 * it has was retained when the later epoch began. So are one that has no complete
 * state itself, and one that this entry's listing has overtaken.
 *
 * Return: whether to apply the documents.
 */
bool node_fetch_begin(struct node *node, const struct relay_head *head,
		      uint64_t now_ns)
{
	node->now_ns = now_ns;
	if (!head->through.revision ||
	    head->through.epoch < documents_complete(node->documents).epoch)
		return false;
	if (is_overtaken(node, head)) {
		documents_advance_synced(node->documents, head->through,
					 now_ns);
		documents_raise_newest(node->documents, head->newest);
		return false;
	}
	if (!head->is_full_state)
		return true;
	if (node->source.listing && node_has_snapshot(node))
		return false;
	abandon_listing(node);
	documents_list_begin(node->documents);
	return true;
}

static void record_fetch_failure(struct node *node)
{
	uint32_t repeats = node->fetch_failures++;

	node->counters.peer_calls_failed++;
	if (!repeats)
		return;
	repeats--;
	if (repeats > FETCH_DOUBLINGS)
		repeats = FETCH_DOUBLINGS;
	node->fetch_next_ns = node->now_ns + (FETCH_RETRY_NS << repeats);
}

/**
 * node_fetch_end() - handle the end of a call to a peer
 * @node: entry
 * @head: positions of the documents, all of which were stored; NULL when the
 *	call failed or its documents were refused
 * @now_ns: current time
 */
void node_fetch_end(struct node *node, const struct relay_head *head,
		    uint64_t now_ns)
{
	bool was_empty = !node_has_snapshot(node);

	node->now_ns = now_ns;
	node->fetching = false;
	log_late(node);
	if (!head) {
		record_fetch_failure(node);
		return;
	}
	node->fetch_failures = 0;
	if (head->is_full_state)
		documents_list_end(node->documents, head->through, head->floor,
				   now_ns);
	documents_advance_synced(node->documents, head->through, now_ns);
	documents_raise_newest(node->documents, head->newest);
	node->retained_fetched = node->fetching_retained;
	if (was_empty && node_has_snapshot(node))
		abandon_listing(node);
	/* Few entries of this data centre have documents of another one yet. */
	if (node->fetching_other_zone &&
	    position_after(documents_newest(node->documents),
			   node->advertised)) {
		node->advertised = documents_newest(node->documents);
		node_advertise(node, NULL);
	}
	node_update_ready(node);
}
