/* Applies published documents: routes, targets, evacuations. */
#include "node_impl.h"

#include <errno.h>

/* Limits the log lines that a writer of invalid documents can cause. */
#define REFUSALS_LOGGED_PER_S 20

static const char *const stage_names[] = { "serving", "leaving", "absent" };

/* Version of the configuration in force, 0 for none. */
uint64_t node_configuration_version(const struct node *n)
{
	const struct route_table *t = directory_table(n->directory);

	return t ? t->version : 0;
}

static void log_routes(struct node *n, const struct document *doc, int err,
		       uint64_t version, uint32_t routes)
{
	if (err)
		n->port.log(n->port.ctx,
			    err == -EALREADY ? NODE_INFO : NODE_ERROR, "routes",
			    NULL, "version %llu not taken, %llu is in force%s",
			    (unsigned long long)version,
			    (unsigned long long)node_configuration_version(n),
			    err == -ENOMEM ? ": out of memory" : "");
	else
		n->port.log(n->port.ctx, NODE_INFO, "routes", NULL,
			    "version %llu in force, revision %llu, %u routes",
			    (unsigned long long)version,
			    (unsigned long long)doc->revision, routes);
}

static void apply_routes(struct node *n, const struct document *doc,
			 struct route_table *table)
{
	uint64_t version = table->version;
	uint32_t routes = table->n_routes;
	int err = directory_routes(n->directory, table, n->now_ns);

	log_routes(n, doc, err, version, routes);
	/* Targets may have been published before a configuration named their
	 * service. */
	if (!err && directory_names(n->directory) > n->services_named)
		documents_again(n->documents);
	n->services_named = directory_names(n->directory);
}

static void log_target(struct node *n, const struct document *doc,
		       const struct target *t, const char *what)
{
	n->port.log(n->port.ctx, NODE_INFO, "target", doc->key,
		    "%s, service %s, started %llu, revision %llu%s", what,
		    directory_name_text(n->directory, t->news.service),
		    (unsigned long long)t->news.started_ms,
		    (unsigned long long)doc->revision,
		    t->stage == TARGET_ABSENT && t->presumed
			    ? ", presumed to live"
			    : "");
}

/*
 * Whether the documents are read for the first time. Serving targets are not
 * logged then, since the line of readiness has their number, and a line for each
 * would delay readiness on a small VM.
 */
static bool is_first_read(const struct node *n)
{
	return !node_has_snapshot(n);
}

static void apply_target(struct node *n, const struct document *doc,
			 const struct target_news *news)
{
	static const char *const not_taken[] = {
		[TARGET_NO_ROOM] = "not taken: target table is full",
		[TARGET_OUTDATED] = "not taken: older than what is known",
		[TARGET_FOREIGN] = "not taken: its id belongs to another key",
	};
	struct target *t = directory_by_id(n->directory, news->id);
	uint8_t before = t ? t->stage : UINT8_MAX;
	enum target_change change;

	t = directory_target(n->directory, news, n->now_ns, &change);
	if (change >= TARGET_NO_ROOM) {
		n->port.log(n->port.ctx, NODE_WARNING, "target", doc->key,
			    "%s, revision %llu", not_taken[change],
			    (unsigned long long)doc->revision);
		return;
	}
	if (change == TARGET_RESTARTED) {
		log_target(n, doc, t, "restarted");
		path_target_restarted(n->path, t);
	}
	if (t->stage != before &&
	    !(t->stage == TARGET_SERVING && is_first_read(n)))
		log_target(n, doc, t, stage_names[t->stage]);
}

/* @trouble_ns: time of the platform's last trouble, during which the entry may
 * only have lapsed; 0 when it was deleted. */
static void apply_absence(struct node *n, const struct document *doc,
			  const struct target_news *news, uint64_t trouble_ns)
{
	struct target *t = directory_by_id(n->directory, news->id);
	uint8_t before;

	/* The last value of a deleted entry still names the target of open flows. */
	if (!t && news->addr) {
		apply_target(n, doc, news);
		t = directory_by_id(n->directory, news->id);
	}
	if (!t)
		return;
	before = t->stage;
	directory_absent(n->directory, news, n->now_ns, trouble_ns);
	if (t->stage != before)
		log_target(n, doc, t, stage_names[t->stage]);
}

/*
 * Refuse a document that could not be decoded. Any client of the platform can
 * write where targets publish themselves. An invalid entry names no target: it
 * ends the target that was published under its key before, and no other.
 */
static void refuse_document(struct node *n, const struct document *doc,
			    const struct decoded_document *news,
			    const char *problem)
{
	struct target_news named = { 0 };

	n->counters.documents_refused++;
	if (n->now_ns >= n->refusals_since_ns + NS_PER_S) {
		n->refusals_since_ns = n->now_ns;
		n->refusals = 0;
	}
	if (n->refusals++ < REFUSALS_LOGGED_PER_S)
		n->port.log(n->port.ctx, NODE_WARNING, "document", doc->key,
			    "revision %llu refused: %s",
			    (unsigned long long)doc->revision, problem);
	if (news->kind != DOCUMENT_TARGET)
		return;
	named.id = news->target.id;
	named.entry = news->target.entry;
	apply_absence(n, doc, &named, 0);
}

static void apply_evacuation(struct node *n, const struct document *doc,
			     const char *data_centre)
{
	int err = directory_evacuate(n->directory, data_centre, !doc->deleted);

	if (err == -EALREADY)
		return;
	if (!err && doc->deleted)
		node_cold_evacuation_over(n, (uint32_t)hash_text(data_centre));
	if (err)
		n->port.log(n->port.ctx, NODE_ERROR, "evacuation", data_centre,
			    "not taken, revision %llu: %s",
			    (unsigned long long)doc->revision,
			    err == -ENOSPC ? "too many data centres"
					   : "name too long");
	else
		n->port.log(n->port.ctx, NODE_INFO, "evacuation", data_centre,
			    "%s, revision %llu",
			    doc->deleted ? "over" : "in force",
			    (unsigned long long)doc->revision);
}

/**
 * node_document_compare() - compare the age of a document with the one in force
 *	under its key, by their contents
 * @ctx: entry, struct node
 * @doc: document
 *
 * Versions of the configuration and sequence numbers of targets' entries grow even
 * when the platform is restored from an older copy.
 *
 * Return: above 0 when @doc is later, below 0 when it is earlier, 0 when the
 * contents give no order.
 */
int node_document_compare(void *ctx, const struct document *doc)
{
	struct node *n = ctx;
	struct decoded_document news;
	const char *problem = "";
	uint64_t version;

	if (n->port.decode(doc, n->directory, &news, &problem))
		return 0;
	if (news.kind == DOCUMENT_TARGET)
		return directory_compare(n->directory, &news.target);
	if (news.kind != DOCUMENT_ROUTES || !news.routes)
		return 0;
	version = news.routes->version;
	route_table_free(news.routes);
	return (version > node_configuration_version(n)) -
	       (version < node_configuration_version(n));
}

/**
 * node_document_changed() - apply a document that is newer than the known one
 *	under its key
 * @ctx: entry, struct node
 * @doc: document
 *
 * Return: false when it has to be passed once more after a configuration named
 * more services.
 */
bool node_document_changed(void *ctx, const struct document *doc)
{
	struct node *n = ctx;
	struct decoded_document news;
	const char *problem = "";
	int err = n->port.decode(doc, n->directory, &news, &problem);

	if (err)
		refuse_document(n, doc, &news, problem);
	else if (news.kind == DOCUMENT_ROUTES && news.routes)
		apply_routes(n, doc, news.routes);
	else if (news.kind == DOCUMENT_EVACUATION)
		apply_evacuation(n, doc, news.data_centre);
	else if (news.kind == DOCUMENT_TARGET && doc->deleted)
		apply_absence(n, doc, &news.target,
			      peer_set_trouble_ns(n->peers));
	else if (news.kind == DOCUMENT_TARGET)
		apply_target(n, doc, &news.target);
	return err != -ENOENT;
}
