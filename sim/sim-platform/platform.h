/* Types of the stand-in for the configuration service. */
#ifndef SIM_PLATFORM_H
#define SIM_PLATFORM_H

#include "sim.h"

#include "http.h"

#define VALUE_MAX_BYTES (1u << 20)
#define KEY_MAX_BYTES 256
#define FRONTS_MAX 64
#define REVISION_LATEST UINT64_MAX

/* keys.c: values by key and revision, so that an old state can be served. */

struct keys;

struct keys *keys_new(void);
void keys_free(struct keys *k);
int keys_put(struct keys *k, const char *key, const void *value,
	     size_t size_bytes, uint64_t *revision);
int keys_delete(struct keys *k, const char *key, uint64_t *revision);
uint64_t keys_revision(const struct keys *k);
int keys_get(const struct keys *k, const char *key, uint64_t as_of,
	     GString *out, uint64_t *revision);
uint32_t keys_list(const struct keys *k, const char *prefix, uint64_t as_of,
		   GString *out);
uint32_t keys_changes(const struct keys *k, uint64_t after, uint64_t as_of,
		      GString *out);
bool keys_name_ok(const char *key);

/* load.c: the keys at the start. */

int keys_load(struct keys *k, const char *dir, const char *program);

/* calls.c: what the service was asked. */

enum call { CALL_GET, CALL_LIST, CALL_WATCH, CALL_OTHER, CALLS };

/**
 * struct calls - calls counted
 * @n: by kind
 * @not_found: of them, keys that are not there
 * @second: second counted at the moment
 * @in_second: calls in it so far
 * @peak_per_s: most calls in a second
 */
struct calls {
	uint64_t n[CALLS];
	uint64_t not_found;
	uint64_t second;
	uint64_t in_second;
	uint64_t peak_per_s;
};

void calls_count(struct calls *c, enum call kind, uint64_t now_ns);
void calls_print(const struct calls *c, const char *name, GString *out);

/**
 * struct platform_options - command line
 * @addrs: where readers call, one or more
 * @n_addrs: how many
 * @admin: where tests change keys and set faults, ADDR_NONE for none
 * @keys_dir: keys at the start, NULL for none
 */
struct platform_options {
	uint64_t addrs[FRONTS_MAX];
	uint32_t n_addrs;
	uint64_t admin;
	const char *keys_dir;
};

struct platform;

/**
 * struct front - an address of the service; each can fail on its own
 * @platform: back
 * @addr: address
 * @server: NULL while it is down
 * @down_deadline_ns: when it is back, 0 when it is up
 * @stale_deadline_ns: until when it serves an old state
 * @stale_revision: that state
 * @watchers: calls that wait
 * @calls: what it was asked
 */
struct front {
	struct platform *platform;
	uint64_t addr;
	struct http_server *server;
	uint64_t down_deadline_ns;
	uint64_t stale_deadline_ns;
	uint64_t stale_revision;
	GQueue watchers;
	struct calls calls;
};

/* The service. */
struct platform {
	struct platform_options opt;
	uv_loop_t loop;
	uv_timer_t timer;
	uv_signal_t term;
	struct keys *keys;
	struct front fronts[FRONTS_MAX];
	struct http_server *admin;
	struct calls calls;
};

int sim_platform_options_read(struct platform_options *o, int argc,
			      char **argv);
int sim_platform_open(struct platform *p);
void sim_platform_close(struct platform *p);
int front_open(struct front *f);
void front_down(struct front *f, uint64_t length_ns);
void front_stale(struct front *f, uint64_t length_ns, uint64_t revision);
uint64_t front_as_of(const struct front *f);
void front_step(struct front *f, uint64_t now_ns);
int front_handle(void *ctx, struct http_request *req, const char *method,
		 const char *path, const char *query, const GString *in,
		 GString *body);
void front_revision(struct http_request *req, uint64_t revision);
void watch_begin(struct front *f, struct http_request *req, uint64_t after,
		 uint64_t deadline_ns);
void watch_step(struct front *f, uint64_t now_ns);
void watch_drop(struct front *f);
int admin_handle(void *ctx, struct http_request *req, const char *method,
		 const char *path, const char *query, const GString *in,
		 GString *body);
int number_query(const char *query, const char *name, uint64_t fallback,
		 uint64_t max, uint64_t *out);

#endif
