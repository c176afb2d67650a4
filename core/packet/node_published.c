/* What is published takes effect: routes, targets, evacuations. */
#include "node_impl.h"

#include <errno.h>

/* Whoever writes entries that are refused must not fill the log. */
#define REFUSALS_LOGGED_PER_S 20

static const char *const stage_names[] = { "serving", "leaving", "absent" };

/* Version of the configuration in force, 0 for none. */
uint64_t node_version(const struct node *n)
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
			    (unsigned long long)node_version(n),
			    err == -ENOMEM ? ": out of memory" : "");
	else
		n->port.log(n->port.ctx, NODE_INFO, "routes", NULL,
			    "version %llu in force, revision %llu, %u routes",
			    (unsigned long long)version,
			    (unsigned long long)doc->revision, routes);
}

static void take_routes(struct node *n, const struct document *doc,
			struct route_table *take)
{
	uint64_t version = take->version;
	uint32_t routes = take->n_routes;
	int err = directory_routes(n->directory, take, n->now_ns);

	log_routes(n, doc, err, version, routes);
	/* Targets may have been published before their service was named. */
	if (!err && directory_names(n->directory) > n->names_taken)
		documents_again(n->documents);
	n->names_taken = directory_names(n->directory);
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
 * The first time all are new, and the line of readiness counts them: a line
 * each would keep a small VM from serving for longer.
 */
static bool young(const struct node *n)
{
	return !node_knows(n);
}

static void take_target(struct node *n, const struct document *doc,
			const struct target_news *news)
{
	static const char *const not_taken[] = {
		[TARGET_NO_ROOM] = "not taken: no room for another target",
		[TARGET_OUTDATED] = "not taken: older than what is known",
		[TARGET_FOREIGN] = "not taken: another key has this id",
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
	if (t->stage != before && !(t->stage == TARGET_SERVING && young(n)))
		log_target(n, doc, t, stage_names[t->stage]);
}

/* @trouble_ns: of the platform, when the entry may only have lapsed. */
static void take_absent(struct node *n, const struct document *doc,
			const struct target_news *news, uint64_t trouble_ns)
{
	struct target *t = directory_by_id(n->directory, news->id);
	uint8_t before;

	/* A deletion seen first still says whose flows may come. */
	if (!t && news->addr) {
		take_target(n, doc, news);
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
 * Anybody may write where targets publish themselves. Such an entry names no
 * target: whatever was published under its key before it does not hold any
 * more, and all other entries do.
 */
static void refuse(struct node *n, const struct document *doc,
		   const struct document_news *news, const char *problem)
{
	struct target_news named = { 0 };

	n->counters.documents_refused++;
	if (n->now_ns >= n->refusals_ns + NS_PER_S) {
		n->refusals_ns = n->now_ns;
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
	take_absent(n, doc, &named, 0);
}

static void take_evacuation(struct node *n, const struct document *doc,
			    const char *data_centre)
{
	int err = directory_evacuate(n->directory, data_centre, !doc->deleted);

	if (err == -EALREADY)
		return;
	if (!err && doc->deleted)
		node_cold_returned(n, (uint32_t)hash_text(data_centre));
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
 * node_document_compare() - the order of a document and what is known under its
 *	key, by what they say themselves
 * @ctx: entry
 * @doc: document
 *
 * Versions of the configuration and the numbers of targets' entries grow, also
 * while the platform goes back.
 *
 * Return: above 0 when @doc is the later one, below 0 when it is the earlier
 * one, 0 when that cannot be told.
 */
int node_document_compare(void *ctx, const struct document *doc)
{
	struct node *n = ctx;
	struct document_news news;
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
	return (version > node_version(n)) - (version < node_version(n));
}

/**
 * node_document_changed() - a document is newer than what was known under its
 *	key
 * @ctx: entry
 * @doc: document
 *
 * Return: false when it has to be shown again once more services are named.
 */
bool node_document_changed(void *ctx, const struct document *doc)
{
	struct node *n = ctx;
	struct document_news news;
	const char *problem = "";
	int err = n->port.decode(doc, n->directory, &news, &problem);

	if (err)
		refuse(n, doc, &news, problem);
	else if (news.kind == DOCUMENT_ROUTES && news.routes)
		take_routes(n, doc, news.routes);
	else if (news.kind == DOCUMENT_EVACUATION)
		take_evacuation(n, doc, news.data_centre);
	else if (news.kind == DOCUMENT_TARGET && doc->deleted)
		take_absent(n, doc, &news.target,
			    peer_set_trouble_ns(n->peers));
	else if (news.kind == DOCUMENT_TARGET)
		take_target(n, doc, &news.target);
	return err != -ENOENT;
}
