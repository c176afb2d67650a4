/* What is published takes effect: routes and targets. */
#include "node_impl.h"

#include <errno.h>

static const char *const stage_names[] = { "serving", "leaving", "absent" };

/* Version of the configuration in force, 0 for none. */
uint64_t node_version(const struct node *n)
{
	const struct route_table *t = directory_table(n->directory);

	return t ? t->version : 0;
}

static void take_routes(struct node *n, const struct document *doc,
			struct route_table *take)
{
	unsigned long long taken = take->version;
	uint32_t routes = take->n_routes;
	int err = directory_routes(n->directory, take, n->now_ns);

	if (err)
		n->port.log(n->port.ctx,
			    err == -EALREADY ? NODE_INFO : NODE_ERROR, "routes",
			    NULL, "version %llu not taken, %llu is in force%s",
			    taken, (unsigned long long)node_version(n),
			    err == -ENOMEM ? ": out of memory" : "");
	else
		n->port.log(n->port.ctx, NODE_INFO, "routes", NULL,
			    "version %llu in force, revision %llu, %u routes",
			    taken, (unsigned long long)doc->revision, routes);
}

static void take_target(struct node *n, const struct document *doc,
			const struct target_news *news)
{
	struct target *t = directory_by_id(n->directory, news->id);
	uint8_t before = t ? t->stage : UINT8_MAX;

	/* A deletion seen first still says whose flows may come. */
	if (!doc->deleted || (!t && news->addr))
		t = directory_target(n->directory, news, n->now_ns);
	if (doc->deleted)
		t = directory_absent(n->directory, news->id, n->now_ns,
				     peer_set_trouble_ns(n->peers));
	if (!t && !doc->deleted)
		n->port.log(n->port.ctx, NODE_ERROR, "target", doc->key,
			    "no room for another target");
	if (!t || t->stage == before)
		return;
	n->port.log(n->port.ctx, NODE_INFO, "target", doc->key,
		    "%s, service %s, revision %llu%s", stage_names[t->stage],
		    directory_name_text(n->directory, t->news.service),
		    (unsigned long long)doc->revision,
		    t->presumed ? ", presumed to live" : "");
}

/* A document is newer than what was known under its key. */
void node_document_changed(void *ctx, const struct document *doc)
{
	struct node *n = ctx;
	struct document_news news;
	const char *problem = "";

	if (n->port.decode(doc, n->directory, &news, &problem)) {
		n->counters.documents_refused++;
		n->port.log(n->port.ctx, NODE_ERROR, "document", doc->key,
			    "revision %llu refused: %s",
			    (unsigned long long)doc->revision, problem);
		return;
	}
	if (news.kind == DOCUMENT_ROUTES && news.routes)
		take_routes(n, doc, news.routes);
	else if (news.kind == DOCUMENT_TARGET)
		take_target(n, doc, &news.target);
}
