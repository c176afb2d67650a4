/*
 * cb-watch: reads the configuration from the platform or from the cb-watch of
 * other VMs, and sends it to the cb-entry of its VM.
 */
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
 * @loop: the only loop
 * @settings: settings in force
 * @spread: exchange of documents with the cb-watch of other VMs
 * @reader: client of the platform
 * @platform: connection to the platform
 * @link: connections to other VMs and to the cb-entry of this VM
 * @http: server for operators
 * @tick_timer: expires when @spread or @reader has to run next
 * @expire_timer: closes unused connections of @link
 * @sigterm: ends the process
 * @sigint: the same
 * @vms_key: key of the list of VMs
 * @template_name: name of the template that was read last
 * @template_text: its text, owned; NULL when the platform has none
 * @refusals: reasons of documents on the platform that were refused, by key
 * @vips: VIPs of the accounts in force
 * @has_vip_conflict: an account was refused for a VIP of another account
 * @vms_scratch: buffer of VMS_MAX addresses for decoding the list of VMs
 * @has_roster: the list of VMs is known, or known to be missing
 * @platform_ok: the platform answers, as @reader reported last
 */
struct watch {
	uv_loop_t *loop;
	struct watch_settings settings;
	struct spread *spread;
	struct reader *reader;
	struct platform *platform;
	struct watch_link *link;
	struct http_server *http;
	uv_timer_t tick_timer;
	uv_timer_t expire_timer;
	uv_signal_t sigterm;
	uv_signal_t sigint;
	char vms_key[PUBLISHED_KEY_MAX_BYTES];
	char template_name[NAME_MAX_BYTES];
	char *template_text;
	GHashTable *refusals;
	struct vips *vips;
	bool has_vip_conflict;
	uint64_t *vms_scratch;
	bool has_roster;
	bool platform_ok;
};

int watch_open(struct watch *w, uv_loop_t *loop,
	       const struct watch_settings *settings);
void watch_close(struct watch *w);

/* documents.c: documents of the platform. */
struct reader_port documents_port(struct watch *w);
void documents_free(struct watch *w);
int documents_check_content(void *ctx, const char *key,
			    const struct content *content);
void documents_put_in_force(struct watch *w, const char *key,
			    const struct content *content);
void documents_apply_roster(struct watch *w, const struct content *content);

/* operators.c: HTTP pages. */
int operators_respond(void *ctx, struct http_request *req, const char *method,
		      const char *path, const char *query, const GString *in,
		      GString *body);

#endif
