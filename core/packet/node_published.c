/* Applies published documents: routes, targets, evacuations. */
#include "node_impl.h"

#include <errno.h>

/* Limits the log lines that a writer of invalid documents can cause. */
#define REFUSALS_LOGGED_PER_S 20

static const char *const stage_names[] = { "serving", "leaving", "absent" };

/* Version of the configuration in force, 0 for none. */
uint64_t node_configuration_version(const struct node *node)
{
	const struct route_table *table =
		directory_route_table(node->directory);

	return table ? table->version : 0;
}

static void log_routes(struct node *node, const struct document *doc, int err,
		       uint64_t version, uint32_t routes)
{
	if (err)
		node->port.log(
			node->port.ctx,
			err == -EALREADY ? NODE_INFO : NODE_ERROR, "routes",
			NULL, "version %llu not taken, %llu is in force%s",
			(unsigned long long)version,
			(unsigned long long)node_configuration_version(node),
			err == -ENOMEM ? ": out of memory" : "");
	else
		node->port.log(
			node->port.ctx, NODE_INFO, "routes", NULL,
			"version %llu in force, revision %llu, %u routes",
			(unsigned long long)version,
			(unsigned long long)doc->revision, routes);
}

static void apply_routes(struct node *node, const struct document *doc,
			 struct route_table *table)
{
	uint64_t version = table->version;
	uint32_t routes = table->n_routes;
	int err = directory_set_routes(node->directory, table, node->now_ns);

	log_routes(node, doc, err, version, routes);
	/* Targets may have been published before a configuration named their
	 * service. */
	if (!err &&
	    directory_service_count(node->directory) > node->services_named)
		documents_redeliver(node->documents);
	node->services_named = directory_service_count(node->directory);
}

static void log_target(struct node *node, const struct document *doc,
		       const struct target *target, const char *what)
{
	node->port.log(node->port.ctx, NODE_INFO, "target", doc->key,
		       "%s, service %s, started %llu, revision %llu%s", what,
		       directory_service_name(node->directory,
					      target->advertised.service),
		       (unsigned long long)target->advertised.started_ms,
		       (unsigned long long)doc->revision,
		       target->stage == TARGET_ABSENT && target->presumed_alive
			       ? ", presumed to live"
			       : "");
}

/*
 * Whether the documents are read for the first time. Serving targets are not
 * logged then, since the log line of readiness has their number, and a line
 * for each would delay readiness on a small VM.
 */
static bool is_first_read(const struct node *node)
{
	return !node_has_snapshot(node);
}

static void apply_target(struct node *node, const struct document *doc,
			 const struct target_advertisement *update)
{
	static const char *const not_taken[] = {
		[TARGET_NO_CAPACITY] = "not taken: target table is full",
		[TARGET_OUTDATED] = "not taken: older than what is known",
		[TARGET_ID_CONFLICT] =
			"not taken: its id belongs to another key",
	};
	struct target *target = directory_by_id(node->directory, update->id);
	uint8_t before = target ? target->stage : UINT8_MAX;
	enum target_change change;

	target = directory_update_target(node->directory, update, node->now_ns,
					 &change);
	if (change >= TARGET_NO_CAPACITY) {
		node->port.log(node->port.ctx, NODE_WARNING, "target", doc->key,
			       "%s, revision %llu", not_taken[change],
			       (unsigned long long)doc->revision);
		return;
	}
	if (change == TARGET_RESTARTED) {
		log_target(node, doc, target, "restarted");
		path_target_restarted(node->path, target);
	}
	if (target->stage != before &&
	    !(target->stage == TARGET_SERVING && is_first_read(node)))
		log_target(node, doc, target, stage_names[target->stage]);
}

/* @platform_failed_ns: when the platform last failed to answer, so that the
 * record may only have lapsed; 0 to take it as deleted. */
static void apply_absence(struct node *node, const struct document *doc,
			  const struct target_advertisement *update,
			  uint64_t platform_failed_ns)
{
	struct target *target = directory_by_id(node->directory, update->id);
	uint8_t before;

	/* The last value of a deleted record names the target of open flows. */
	if (!target && update->addr) {
		apply_target(node, doc, update);
		target = directory_by_id(node->directory, update->id);
	}
	if (!target)
		return;
	before = target->stage;
	directory_mark_absent(node->directory, update, node->now_ns,
			      platform_failed_ns);
	if (target->stage != before)
		log_target(node, doc, target, stage_names[target->stage]);
}

/*
 * Refuse a document that could not be decoded. Any client of the platform can
 * write where targets publish themselves. An invalid record names no target: it
 * ends the target that was published under its key before, and no other.
 */
static void refuse_document(struct node *node, const struct document *doc,
			    const struct decoded_document *update,
			    const char *problem)
{
	struct target_advertisement named = { 0 };

	node->counters.documents_refused++;
	if (node->now_ns >= node->refusals_since_ns + NS_PER_S) {
		node->refusals_since_ns = node->now_ns;
		node->refusals = 0;
	}
	if (node->refusals++ < REFUSALS_LOGGED_PER_S)
		node->port.log(node->port.ctx, NODE_WARNING, "document",
			       doc->key, "revision %llu refused: %s",
			       (unsigned long long)doc->revision, problem);
	if (update->kind != DOCUMENT_TARGET)
		return;
	named.id = update->target.id;
	named.key_hash = update->target.key_hash;
	apply_absence(node, doc, &named, 0);
}

static void apply_evacuation(struct node *node, const struct document *doc,
			     const char *data_centre)
{
	int err = directory_set_evacuated(node->directory, data_centre,
					  !doc->deleted);

	if (err == -EALREADY)
		return;
	if (!err && doc->deleted)
		node_cold_evacuation_over(node,
					  (uint32_t)hash_text(data_centre));
	if (err)
		node->port.log(node->port.ctx, NODE_ERROR, "evacuation",
			       data_centre, "not taken, revision %llu: %s",
			       (unsigned long long)doc->revision,
			       err == -ENOSPC ? "too many data centres"
					      : "name too long");
	else
		node->port.log(node->port.ctx, NODE_INFO, "evacuation",
			       data_centre, "%s, revision %llu",
			       doc->deleted ? "over" : "in force",
			       (unsigned long long)doc->revision);
}

/**
 * node_document_compare() - compare the age of a document with the one in force
 *	under its key, by their contents
 * @ctx: entry, struct node
 * @doc: document
 *
 * Versions of the configuration and sequence numbers of targets' records grow
 * even when the platform is restored from an older copy.
 *
 * Return: above 0 when @doc is later, below 0 when it is earlier, 0 when the
 * contents give no order.
 */
int node_document_compare(void *ctx, const struct document *doc)
{
	struct node *node = ctx;
	struct decoded_document update;
	const char *problem = "";
	uint64_t version;

	if (node->port.decode(doc, node->directory, &update, &problem))
		return 0;
	if (update.kind == DOCUMENT_TARGET)
		return directory_compare_advertisement(node->directory,
						       &update.target);
	if (update.kind != DOCUMENT_ROUTES || !update.routes)
		return 0;
	version = update.routes->version;
	route_table_free(update.routes);
	return (version > node_configuration_version(node)) -
	       (version < node_configuration_version(node));
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
	struct node *node = ctx;
	struct decoded_document update;
	const char *problem = "";
	int err = node->port.decode(doc, node->directory, &update, &problem);

	if (err)
		refuse_document(node, doc, &update, problem);
	else if (update.kind == DOCUMENT_ROUTES && update.routes)
		apply_routes(node, doc, update.routes);
	else if (update.kind == DOCUMENT_EVACUATION)
		apply_evacuation(node, doc, update.data_centre);
	else if (update.kind == DOCUMENT_TARGET && doc->deleted)
		apply_absence(node, doc, &update.target,
			      peer_set_platform_failed_ns(node->peers));
	else if (update.kind == DOCUMENT_TARGET)
		apply_target(node, doc, &update.target);
	return err != -ENOENT;
}
