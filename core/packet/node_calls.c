/* Calls to the platform, and to peers that are ahead of this entry. */
#include "node_impl.h"

#include <errno.h>
#include <string.h>

static struct source_view source_view_of(const struct node *n)
{
	return (struct source_view){
		.policy = n->policy,
		.now_ns = n->now_ns,
		.rank = peer_set_rank(n->peers, n->now_ns),
		.known = documents_known(n->documents).revision,
		.through = documents_through(n->documents).revision,
		.others_ns = peer_set_others_contact_ns(n->peers, n->now_ns),
		.readers_before = peer_set_readers_before(
			n->peers, n->now_ns - SOURCE_CONTACT_NS, n->now_ns),
		.peers = peer_set_live(n->peers, n->now_ns),
		.fetching = n->fetching,
		.chance = hash_u64(n->now_ns, n->conf.self ^ n->conf.boot),
	};
}

static void start_fetch(struct node *n)
{
	struct knowledge own = node_known_positions(n);
	const struct peer_vm *p;

	if (n->fetching || !n->policy->relay)
		return;
	p = peer_set_ahead(n->peers, &own, n->now_ns);
	if (!p)
		return;
	n->fetching = true;
	n->fetching_retained = p->carried;
	n->fetching_other_zone = p->zone != node_zone(n);
	n->counters.peer_calls++;
	n->port.fetch(n->port.ctx, p->addr, documents_through(n->documents));
}

static void start_watch(struct node *n, const struct source_view *v)
{
	n->watched_after = documents_known(n->documents);
	n->port.watch(n->port.ctx, v->known, source_wait_ns(v));
}

/* Start the calls to the platform and to a peer that are due. */
void node_start_calls(struct node *n)
{
	struct source_view v = source_view_of(n);
	enum source_step step;

	start_fetch(n);
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
		n->port.list(n->port.ctx,
			     n->list_first_revision ? n->list_after_key : NULL,
			     n->source.exact || !n->list_first_revision);
	else
		start_watch(n, &v);
}

static void put_document(struct node *n, const struct document *d,
			 enum document_origin origin)
{
	if (documents_put(n->documents, d, origin, n->now_ns) == -ENOMEM)
		n->port.log(n->port.ctx, NODE_ERROR, "document", d->key,
			    "revision %llu not stored: out of memory",
			    (unsigned long long)d->revision);
}

/* The epoch of a document of the platform is in the header of the answer. */
static void put_published(struct node *n, const struct document *d,
			  enum document_origin origin)
{
	struct document with_epoch = *d;

	with_epoch.epoch = n->answer_epoch;
	put_document(n, &with_epoch, origin);
}

/**
 * node_take_listed() - store a document of the platform's listing
 * @ctx: entry, struct node
 * @d: document, copied; its epoch is ignored, that of the answer counts
 */
void node_take_listed(void *ctx, const struct document *d)
{
	put_published(ctx, d, DOCUMENT_LISTED);
}

/**
 * node_take_changed() - store a change that the platform reported
 * @ctx: entry, struct node
 * @d: document, copied; its epoch is ignored, that of the answer counts
 */
void node_take_changed(void *ctx, const struct document *d)
{
	put_published(ctx, d, DOCUMENT_CHANGED);
}

/**
 * node_take_relay_listed() - store one of all documents of a peer
 * @ctx: entry, struct node
 * @d: document with its epoch, copied
 */
void node_take_relay_listed(void *ctx, const struct document *d)
{
	put_document(ctx, d, DOCUMENT_LISTED);
}

/**
 * node_take_relayed() - store a change that a peer sent
 * @ctx: entry, struct node
 * @d: document with its epoch, copied
 */
void node_take_relayed(void *ctx, const struct document *d)
{
	put_document(ctx, d, DOCUMENT_CHANGED);
}

/**
 * node_platform_connected() - handle a new connection to the platform
 * @n: entry
 * @took_ns: time that the connection attempt took
 * @now_ns: current time
 *
 * Return: whether to send the request; if not, the caller ends the call with
 * SOURCE_BUSY.
 */
bool node_platform_connected(struct node *n, uint64_t took_ns, uint64_t now_ns)
{
	struct source_view v;

	n->now_ns = now_ns;
	v = source_view_of(n);
	return source_connected(&n->source, &v, took_ns);
}

/*
 * Whether an answer of @epoch may be applied to the documents. Revisions belong to
 * their epoch: a watch after a revision of another epoch misses earlier changes,
 * and pages of two epochs don't form a listing.
 */
static bool can_apply_answer(const struct node *n, uint64_t epoch)
{
	uint64_t known = documents_known(n->documents).epoch;

	if (n->step == SOURCE_WATCH)
		return epoch == known && epoch == n->watched_after.epoch;
	return epoch >= known &&
	       (!n->list_first_revision || epoch == n->answer_epoch);
}

/*
 * Log that the platform answered in another epoch. A later one counts as trouble
 * of the platform: the entries of targets are as old as its restored copy and may
 * lapse before they are renewed, though the targets live.
 */
static void handle_other_epoch(struct node *n, uint64_t epoch, uint64_t known)
{
	n->port.log(n->port.ctx, NODE_WARNING, "platform", NULL,
		    "answer is of epoch %llu, known epoch is %llu",
		    (unsigned long long)epoch, (unsigned long long)known);
	if (epoch > known)
		peer_set_trouble(n->peers, n->now_ns, n->now_ns);
}

/**
 * node_answer_begin() - start to apply an answer of the platform, whose documents
 *	follow by node_take_listed() or node_take_changed()
 * @n: entry
 * @epoch: epoch of the answer
 * @now_ns: current time
 *
 * Return: whether to apply it; if not, the caller ends the call with
 * SOURCE_BEHIND.
 */
bool node_answer_begin(struct node *n, uint64_t epoch, uint64_t now_ns)
{
	uint64_t known = documents_known(n->documents).epoch;

	n->now_ns = now_ns;
	if (epoch != known && node_has_snapshot(n))
		handle_other_epoch(n, epoch, known);
	if (!can_apply_answer(n, epoch))
		return false;
	n->answer_epoch = epoch;
	if (n->step == SOURCE_LIST && !n->list_first_revision)
		documents_list_begin(n->documents);
	return true;
}

static void apply_answer_head(struct node *n, const struct answer_head *head)
{
	struct position at = { n->answer_epoch, head->revision };

	if (n->step == SOURCE_WATCH) {
		documents_covered(n->documents, at, n->now_ns);
		return;
	}
	if (!n->source.listing)
		return;
	if (!n->list_first_revision)
		n->list_first_revision = n->list_min_revision = head->revision;
	/* Pages that may be old can be of different revisions, in any order. */
	if (head->revision < n->list_min_revision)
		n->list_min_revision = head->revision;
	memcpy(n->list_after_key, head->last_key, sizeof(n->list_after_key));
	if (head->more)
		return;
	at.revision = n->list_min_revision;
	documents_list_end(n->documents, at, at, n->now_ns);
	if (n->list_min_revision == n->list_first_revision)
		documents_covered(n->documents, at, n->now_ns);
}

/*
 * Whether this entry must not renew its claim to read the platform: it stood in
 * for a reader that reads again. With a claim of its own it would not notice that
 * it is no longer needed, and would go on reading.
 */
static bool is_claim_needless(const struct node *n)
{
	struct source_view v = source_view_of(n);

	return v.rank && v.others_ns + SOURCE_CONTACT_NS > v.now_ns;
}

static void record_contact(struct node *n, bool ok, struct position at)
{
	uint32_t failures = n->source.failures;

	if (ok) {
		if (!is_claim_needless(n))
			peer_set_contact(n->peers, at, n->now_ns);
		if (failures)
			n->port.log(n->port.ctx, NODE_INFO, "platform", NULL,
				    "answers again after %u failures",
				    failures);
		return;
	}
	n->counters.platform_calls_failed++;
	peer_set_trouble(n->peers, n->now_ns - SOURCE_CONTACT_NS, n->now_ns);
}

/* Logs only the first of a series. */
static void record_behind(struct node *n)
{
	n->counters.platform_behind++;
	if (!n->source.behind)
		n->port.log(
			n->port.ctx, NODE_WARNING, "platform", NULL,
			"history after revision %llu of epoch %llu is gone, "
			"listing again",
			(unsigned long long)n->watched_after.revision,
			(unsigned long long)n->watched_after.epoch);
}

/**
 * node_answer_end() - handle the end of a call to the platform
 * @n: entry
 * @outcome: outcome of the call
 * @head: properties of the answer; read only when @outcome is SOURCE_OK
 * @now_ns: current time
 */
void node_answer_end(struct node *n, enum source_outcome outcome,
		     const struct answer_head *head, uint64_t now_ns)
{
	struct position at = { 0 };
	struct source_view v;
	bool changed;

	n->now_ns = now_ns;
	if (outcome == SOURCE_BEHIND)
		record_behind(n);
	if (outcome == SOURCE_OK) {
		apply_answer_head(n, head);
		at = (struct position){ n->answer_epoch, head->revision };
	}
	if (outcome != SOURCE_BUSY)
		record_contact(n, outcome != SOURCE_FAILED, at);
	changed = position_after(documents_newest(n->documents), n->advertised);
	v = source_view_of(n);
	n->source.came_ns = outcome == SOURCE_OK ? head->transfer_ns : 0;
	source_end(&n->source, outcome, outcome == SOURCE_OK && head->more,
		   changed, &v);
	if (!n->source.listing)
		n->list_first_revision = 0;
	if (changed || outcome == SOURCE_FAILED)
		node_advertise(n, NULL);
	n->advertised = documents_newest(n->documents);
	node_start_calls(n);
	node_update_ready(n);
}

/*
 * Cancel the first listing, since a peer sent the documents. The pending answer
 * would delay those to other entries on the platform's link.
 */
static void abandon_listing(struct node *n)
{
	if (n->source.calling && n->step == SOURCE_LIST)
		n->port.cancel(n->port.ctx);
	source_needless(&n->source);
	n->list_first_revision = 0;
}

/**
 * node_fetch_begin() - start to apply the documents of a peer, which follow by
 *	node_take_relay_listed() when @head->whole, otherwise by node_take_relayed()
 * @n: entry
 * @head: positions of the documents
 * @now_ns: current time
 *
 * Of two listings at once each would lack documents that only the other names. So
 * an entry without a snapshot abandons its own listing, and another one refuses
 * that of the peer. A peer in an earlier epoch is refused as well: what it has was
 * retained when the later epoch began.
 *
 * Return: whether to apply the documents.
 */
bool node_fetch_begin(struct node *n, const struct relay_head *head,
		      uint64_t now_ns)
{
	n->now_ns = now_ns;
	if (head->through.epoch < documents_known(n->documents).epoch)
		return false;
	if (!head->whole)
		return true;
	if (n->source.listing && node_has_snapshot(n))
		return false;
	abandon_listing(n);
	documents_list_begin(n->documents);
	return true;
}

/**
 * node_fetch_end() - handle the end of a call to a peer
 * @n: entry
 * @head: positions of the documents, all of which were stored; NULL when the call
 *	failed or its documents were refused
 * @now_ns: current time
 */
void node_fetch_end(struct node *n, const struct relay_head *head,
		    uint64_t now_ns)
{
	bool was_empty = !node_has_snapshot(n);

	n->now_ns = now_ns;
	n->fetching = false;
	if (!head) {
		n->counters.peer_calls_failed++;
		return;
	}
	if (head->whole)
		documents_list_end(n->documents, head->through, head->floor,
				   now_ns);
	documents_covered(n->documents, head->through, now_ns);
	documents_knows(n->documents, head->newest);
	n->retained_fetched = n->fetching_retained;
	if (was_empty && node_has_snapshot(n))
		abandon_listing(n);
	/* Few entries of this data centre have documents of another one yet. */
	if (n->fetching_other_zone &&
	    position_after(documents_newest(n->documents), n->advertised)) {
		n->advertised = documents_newest(n->documents);
		node_advertise(n, NULL);
	}
	node_update_ready(n);
}
