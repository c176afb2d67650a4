/* Types of the simulated configuration service. */
#ifndef SIM_PLATFORM_H
#define SIM_PLATFORM_H

#include "sim.h"

#include "http.h"

#define VALUE_MAX_BYTES (1u << 20)
#define KEY_MAX_BYTES 256
#define FRONTENDS_MAX 64
#define REVISION_LATEST UINT64_MAX

/* key_store.c: values by key and revision, to serve an old state. */

struct key_store;

struct key_store *key_store_new(void);
void key_store_free(struct key_store *store);
int key_store_put(struct key_store *store, const char *key, const void *value,
		  size_t size_bytes, uint64_t *revision);
int key_store_delete(struct key_store *store, const char *key,
		     uint64_t *revision);
uint64_t key_store_revision(const struct key_store *store);
int key_store_get(const struct key_store *store, const char *key,
		  uint64_t as_of, GString *out, uint64_t *revision);
uint32_t key_store_list(const struct key_store *store, const char *prefix,
			uint64_t as_of, GString *out);
uint32_t key_store_changes(const struct key_store *store, uint64_t after,
			   uint64_t as_of, GString *out);
bool key_store_name_is_valid(const char *key);

/* load.c: initial keys. */

int key_store_load(struct key_store *store, const char *dir,
		   const char *program);

/* call_counters.c: counters of the calls received. */

enum call_kind { CALL_GET, CALL_LIST, CALL_WATCH, CALL_OTHER, CALLS };

/**
 * struct call_counters - counters of calls
 * @count: number of calls by kind
 * @not_found: number of CALL_GET for a key that does not exist
 * @second: current second, of the monotonic clock
 * @in_second: calls received in @second so far
 * @peak_per_s: most calls received in any one second
 */
struct call_counters {
	uint64_t count[CALLS];
	uint64_t not_found;
	uint64_t second;
	uint64_t in_second;
	uint64_t peak_per_s;
};

void call_counters_add(struct call_counters *c, enum call_kind kind,
		       uint64_t now_ns);
void call_counters_print(const struct call_counters *c, const char *name,
			 GString *out);

/**
 * struct platform_options - command line
 * @addrs: addresses of the frontends
 * @n_addrs: number of frontends, at least 1
 * @admin: address at which tests change keys and set faults, or ADDR_NONE
 * @keys_dir: directory with the initial keys, or NULL
 */
struct platform_options {
	uint64_t addrs[FRONTENDS_MAX];
	uint32_t n_addrs;
	uint64_t admin;
	const char *keys_dir;
};

struct platform;

/**
 * struct frontend - an address of the service; each can fail independently
 * @platform: service that the frontend belongs to
 * @addr: address that readers call
 * @server: HTTP server, NULL while the frontend is down
 * @down_until_ns: time at which a frontend that is down opens again
 * @stale_until_ns: time until which it serves @stale_revision, 0 if it
 *	serves the latest state
 * @stale_revision: revision of the old state
 * @watchers: struct watcher for each unanswered watch, oldest first
 * @calls: counters of the calls that this frontend received
 */
struct frontend {
	struct platform *platform;
	uint64_t addr;
	struct http_server *server;
	uint64_t down_until_ns;
	uint64_t stale_until_ns;
	uint64_t stale_revision;
	GQueue watchers;
	struct call_counters calls;
};

/* The service: a frontend for each of @opt.addrs, and a common key store. */
struct platform {
	struct platform_options opt;
	uv_loop_t loop;
	uv_timer_t timer;
	uv_signal_t term;
	struct key_store *store;
	struct frontend frontends[FRONTENDS_MAX];
	struct http_server *admin;
	struct call_counters calls;
};

int sim_platform_options_read(struct platform_options *o, int argc,
			      char **argv);
int sim_platform_open(struct platform *p);
void sim_platform_close(struct platform *p);
int frontend_open(struct frontend *f);
void frontend_set_down(struct frontend *f, uint64_t length_ns);
void frontend_set_stale(struct frontend *f, uint64_t length_ns,
			uint64_t revision);
uint64_t frontend_served_revision(const struct frontend *f);
void frontend_tick(struct frontend *f, uint64_t now_ns);
int frontend_handle(void *ctx, struct http_request *req, const char *method,
		    const char *path, const char *query, const GString *in,
		    GString *body);
void frontend_add_revision(struct http_request *req, uint64_t revision);
void watch_add(struct frontend *f, struct http_request *req, uint64_t after,
	       uint64_t deadline_ns);
void watch_answer_due(struct frontend *f, uint64_t now_ns);
void watch_abort_all(struct frontend *f);
int admin_handle(void *ctx, struct http_request *req, const char *method,
		 const char *path, const char *query, const GString *in,
		 GString *body);
int query_parse_number(const char *query, const char *name, uint64_t fallback,
		       uint64_t max, uint64_t *out);

#endif
