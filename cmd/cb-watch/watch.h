/* cb-watch: reads or relays the configuration, and serves the entry beside. */
#ifndef CB_WATCH_H
#define CB_WATCH_H

#include "http.h"
#include "link_watch.h"
#include "platform.h"
#include "reader.h"
#include "settings.h"
#include "spread.h"
#include "vips.h"

#include <glib.h>
#include <uv.h>

#define VMS_MAX SPREAD_PEERS_MAX

/**
 * struct watch - the process
 * @template: name of the template read last
 * @template_text: its text, NULL when the platform has none
 * @refused: documents that the platform has and that are not in force, with
 *	the reason, by key
 * @vips: VIPs of the accounts in force
 * @vips_refused: some account was refused for a VIP of another
 * @vms: scratch for the list of VMs
 */
struct watch {
	uv_loop_t *loop;
	struct watch_settings settings;
	struct spread *spread;
	struct reader *reader;
	struct platform *platform;
	struct watch_link *link;
	struct http_server *http;
	uv_timer_t tick;
	uv_timer_t expire;
	uv_signal_t sigterm;
	uv_signal_t sigint;
	char vms_key[PUBLISHED_KEY_MAX_BYTES];
	char template[NAME_MAX_BYTES];
	char *template_text;
	GHashTable *refused;
	struct vips *vips;
	bool vips_refused;
	uint64_t *vms;
	bool roster_known;
	bool platform_ok;
};

int watch_open(struct watch *w, uv_loop_t *loop,
	       const struct watch_settings *settings);
void watch_close(struct watch *w);

/* documents.c */
struct reader_port documents_port(struct watch *w);
void documents_free(struct watch *w);
int documents_check(void *ctx, const char *key, const struct content *content);
void documents_in_force(struct watch *w, const char *key,
			const struct content *content);
void documents_roster(struct watch *w, const struct content *content);

/* operators.c */
int operators_answer(void *ctx, struct http_request *req, const char *method,
		     const char *path, const char *query, const GString *in,
		     GString *body);

#endif
