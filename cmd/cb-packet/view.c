/* Documents, from wherever they came, into the directory. */
#include "daemon.h"

#include "log.h"

#include <errno.h>
#include <string.h>

static void routes(struct packet_daemon *d, const struct document *doc,
		   struct route_table *take, uint64_t now_ns)
{
	unsigned long long version = take->version;
	uint32_t n = take->n_routes;
	int err = directory_routes(d->directory, take, now_ns);

	if (err)
		log_line(err == -EALREADY ? LOG_INFO : LOG_ERROR, "routes",
			 NULL, "version %llu not taken: %s", version,
			 strerror(-err));
	else
		log_line(LOG_INFO, "routes", NULL,
			 "version %llu in force, revision %llu, %u routes",
			 version, (unsigned long long)doc->revision, n);
}

static void target(struct packet_daemon *d, const struct document *doc,
		   const struct target_news *news, uint64_t now_ns)
{
	const struct target *t = directory_by_id(d->directory, news->id);
	uint8_t before = t ? t->stage : UINT8_MAX;
	char addr[32];

	/* A deletion seen first still says whose flows may come. */
	if (!doc->deleted || (!t && news->addr))
		t = directory_target(d->directory, news, now_ns);
	if (doc->deleted)
		t = directory_absent(d->directory, news->id, now_ns,
				     peer_set_trouble_ns(d->peer_set));
	if (!t) {
		if (!doc->deleted)
			log_line(LOG_ERROR, "target", doc->key,
				 "no room for another target");
		return;
	}
	if (t->stage != before)
		log_line(LOG_INFO, "target", doc->key,
			 "%s, service %s, %s, revision %llu%s",
			 t->stage == TARGET_SERVING   ? "serving"
			 : t->stage == TARGET_LEAVING ? "leaving"
						      : "absent",
			 directory_name_text(d->directory, t->news.service),
			 addr_text(t->news.addr, addr, sizeof(addr)),
			 (unsigned long long)doc->revision,
			 t->presumed_until_ns > now_ns ? ", presumed to live"
						       : "");
}

/**
 * view_changed() - a document is new, changed or gone
 * @ctx: process
 * @doc: document
 */
void view_changed(void *ctx, const struct document *doc)
{
	struct packet_daemon *d = ctx;
	uint64_t now_ns = uv_hrtime();
	struct document_news news;
	const char *problem = "";

	if (d->platform->read_document(doc, d->directory, &news, &problem)) {
		d->counters.documents_refused++;
		log_line(LOG_ERROR, "document", doc->key,
			 "revision %llu refused: %s",
			 (unsigned long long)doc->revision, problem);
		return;
	}
	if (news.kind == DOCUMENT_ROUTES)
		routes(d, doc, news.routes, now_ns);
	else if (news.kind == DOCUMENT_TARGET)
		target(d, doc, &news.target, now_ns);
}
