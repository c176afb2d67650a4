/* The scenarios, and what is judged in each. */
#define _GNU_SOURCE
#include "bed.h"

#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#define MS 1000ull
#define SECOND (1000 * MS)
#define IDLE_ROUTES 120
#define NAME_DIGITS 7
/* The largest value that the store takes: value-bytes. */
#define VALUE_BYTES 1048576
/* Answers of the store begin after 4 ms; a page has 500 items or 1 MB. */
#define ANSWER_US (4 * MS)
#define PAGE_ITEMS 500
#define PAGE_BYTES (1 << 20)
#define HISTORY_US (20 * SECOND)

enum tag { TAG_TRAFFIC, TAG_ADDED, TAG_DROPPED };

/* What a scenario is made of. */
struct plan {
	const char *name;
	uint32_t live; /* endpoints of svc-live */
	uint32_t vault; /* endpoints of svc-vault */
	uint64_t link_bytes_per_s;
	uint64_t drain_bound_us;
	uint64_t config_bound_us;
	uint64_t touch_us;
	void (*step)(uint64_t us);
};

static const struct vip traffic_vip = { 0x7f120001, 443 }; /* 127.18.0.1 */
static const struct vip dropped_vip = { 0x7f120001, 8080 };
static const struct vip added_vip = { 0x7f120001, 8443 };
static const struct plan *plan;
static pid_t waiter;
static uint64_t t0_us; /* all entries are ready */
static uint32_t phase;
static uint64_t version = 1;
static uint32_t more_routes;
static uint32_t idle_timeout_ms = 15000;
static bool has_dropped = true, has_added;
static uint64_t storm_next_us;
static uint32_t storm_left;
static uint64_t trouble_us; /* last moment with a disruption */
static uint64_t last_change_us;
static uint32_t broken, opened, ran, resets, answered;

static void append_route(FILE *f, uint32_t host, uint16_t port,
			 const char *kind, const char *service, uint32_t n,
			 uint32_t name_digits)
{
	fprintf(f,
		"%s{\"name\":\"r-%0*x\",\"host\":\"%u.%u.%u.%u\","
		"\"prefix\":\"/%u/\",\"kind\":\"%s\",\"timeout-ms\":3000,"
		"\"target-latency-ms\":600,\"priority\":1,\"service\":\"%s\","
		"\"retry-attempts\":2}",
		n ? "," : "", (int)name_digits, n, host >> 24, host >> 16 & 255,
		host >> 8 & 255, host & 255, port, kind, service);
}

/* @more_digits: for the name of the first route; @n_routes is set. */
static char *make_config(uint32_t name_digits, uint32_t more_digits,
			 uint32_t *n_routes, size_t *n_bytes)
{
	char *text;
	FILE *f = open_memstream(&text, n_bytes);
	uint32_t n = 0;

	fprintf(f, "{\"version\":%lu,\"routes\":[", (unsigned long)version);
	append_route(f, traffic_vip.ip, traffic_vip.port, "unsafe", "svc-vault",
		     n++, name_digits + more_digits);
	if (has_dropped)
		append_route(f, dropped_vip.ip, dropped_vip.port, "unsafe",
			     "svc-vault", n++, name_digits);
	if (has_added)
		append_route(f, added_vip.ip, added_vip.port, "unsafe",
			     "svc-vault", n++, name_digits);
	for (uint32_t i = 0; i < IDLE_ROUTES + more_routes; i++)
		append_route(f, 0x7f120100 + (i / 200 << 8) + i % 200, 443,
			     "unsafe", "svc-live", n++, name_digits);
	fprintf(f,
		"],\"services\":[{\"name\":\"svc-live\",\"health-check-path\":"
		"\"/health\",\"connection-limit\":2000},{\"name\":"
		"\"svc-vault\",\"health-check-path\":\"/health\","
		"\"connection-limit\":2000}],\"limits\":{\"idle-timeout-ms\":"
		"%u}}",
		idle_timeout_ms);
	fclose(f);
	*n_routes = n;
	return text;
}

/* The operator writes the newest configuration in full. @exact_bytes: its size,
 * to which the names of routes are made long enough; 0 for short names. */
static void write_config(uint32_t exact_bytes)
{
	uint32_t n, digits = NAME_DIGITS, more = 0;
	size_t n_bytes;
	char *text;

	version += 1 + next_random() % 3;
	text = make_config(digits, 0, &n, &n_bytes);
	if (exact_bytes) {
		more = exact_bytes - (uint32_t)n_bytes;
		digits += more / n;
		more %= n;
		free(text);
		text = make_config(digits, more, &n, &n_bytes);
	}
	note("operator: version %lu, revision %lu, %u routes, %zu bytes",
	     (unsigned long)version,
	     (unsigned long)store_put("op/config", text, (uint32_t)n_bytes), n,
	     n_bytes);
	free(text);
	last_change_us = now_us();
}

static void start_storm(uint32_t changes, uint64_t us)
{
	storm_left = changes;
	storm_next_us = us;
}

/* @last: drop one route and add one with the last change. */
static void storm_step(uint64_t us, uint64_t gap_us, bool last_changes_routes)
{
	while (storm_left && storm_next_us <= us) {
		storm_next_us += gap_us;
		idle_timeout_ms += 10;
		if (!--storm_left && last_changes_routes) {
			has_dropped = false;
			has_added = true;
		}
		write_config(0);
	}
}

/* Judged: a flow's opening packet reaches an endpoint too late. */
void scenario_opened(struct flow *f, struct endpoint *e)
{
	uint64_t us = now_us();

	opened++;
	if (e->state != ENDPOINT_DRAINING ||
	    f->sent_us <= e->drained_us + plan->drain_bound_us ||
	    us <= trouble_us + plan->touch_us)
		return;
	broken++;
	note("DRAIN: entry %u opened a flow at %s, client's SYN %.0f ms, "
	     "arrival %.0f ms after the store accepted draining",
	     f->entry, e->key, (double)(f->sent_us - e->drained_us) / 1000,
	     (double)(us - e->drained_us) / 1000);
}

static bool config_is_due(const struct flow *f)
{
	return plan->config_bound_us && !storm_left && !has_dropped &&
	       f->sent_us > last_change_us + plan->config_bound_us &&
	       f->sent_us > trouble_us + plan->touch_us;
}

void scenario_ran(struct flow *f, struct endpoint *e)
{
	ran++;
	f->ran_at = e;
	f->ran_us = now_us();
	if (f->tag != TAG_DROPPED || !config_is_due(f))
		return;
	broken++;
	note("CONFIG: entry %u: endpoint %s ran a request of the dropped "
	     "route, "
	     "sent %.0f ms after the store accepted version %lu",
	     f->entry, e->key, (double)(f->sent_us - last_change_us) / 1000,
	     (unsigned long)version);
}

void scenario_reset(struct flow *f)
{
	resets++;
	if (f->tag != TAG_ADDED || !config_is_due(f))
		return;
	broken++;
	note("CONFIG: entry %u reset a flow of the added route, sent %.0f ms "
	     "after the store accepted version %lu",
	     f->entry, (double)(f->sent_us - last_change_us) / 1000,
	     (unsigned long)version);
}

void scenario_answered(struct flow *f)
{
	(void)f;
	answered++;
}

static int by_key(const void *a, const void *b)
{
	const struct endpoint *x = *(struct endpoint *const *)a;
	const struct endpoint *y = *(struct endpoint *const *)b;

	return strcmp(y->key, x->key);
}

/* @percent of the endpoints of svc-vault drain and leave, the last ones by key. */
static void scale_in(uint32_t percent, uint64_t linger_us)
{
	struct endpoint *all[ENDPOINTS_MAX];
	uint32_t n = 0;

	for (uint32_t i = 0; i < n_endpoints; i++)
		if (!strcmp(endpoints[i]->service, "svc-vault") &&
		    endpoints[i]->state == ENDPOINT_READY)
			all[n++] = endpoints[i];
	qsort(all, n, sizeof(all[0]), by_key);
	for (uint32_t i = 0; i < n * percent / 100 && i < n; i++)
		endpoint_drain(all[i], linger_us);
}

static bool at(uint32_t next_phase, uint64_t since_us, uint64_t us)
{
	if (phase != next_phase - 1 || us < t0_us + since_us)
		return false;
	phase = next_phase;
	return true;
}

static void finish(void)
{
	note("flows opened %u, requests run %u, answered %u, resets %u; rule "
	     "broken %u times",
	     opened, ran, answered, resets, broken);
	bed.result = opened && answered ? broken > 0 : 2;
	bed.done = true;
}

/*
 * partial: a large deployment. A storm of configurations, near the end of which
 * some endpoints drain, twice; no faults.
 */
static void partial_step(uint64_t us)
{
	if (at(1, 5 * SECOND, us)) {
		more_routes = 1680;
		write_config(0);
	}
	if ((at(2, 10 * SECOND, us) || at(4, 28 * SECOND, us)) && bed.trouble)
		start_storm(9, us);
	if (at(3, 10 * SECOND + 620 * MS, us) ||
	    at(5, 28 * SECOND + 620 * MS, us))
		scale_in(6, 14 * SECOND);
	storm_step(us, 80 * MS, false);
	if (at(6, 43 * SECOND, us))
		finish();
}

/* Flows on the added and the dropped route, to each entry. */
static void probe_routes(uint64_t us)
{
	static uint64_t next_us;

	if (us < next_us)
		return;
	next_us = us + 500 * MS;
	for (uint32_t e = 1; e <= bed.n_entries; e++) {
		clients_probe(e, added_vip, TAG_ADDED);
		clients_probe(e, dropped_vip, TAG_DROPPED);
	}
}

/*
 * largest: a configuration of the largest size that the store takes. Without
 * trouble it has one byte less.
 */
static void largest_step(uint64_t us)
{
	if (at(1, 4 * SECOND, us)) {
		more_routes = 1680;
		has_dropped = false;
		has_added = true;
		write_config(bed.trouble ? VALUE_BYTES : VALUE_BYTES - 1);
	}
	if (phase == 1)
		probe_routes(us);
	if (at(2, 20 * SECOND, us))
		finish();
}

/*
 * silent: a storm of configurations; in it the open connections to the store go
 * silent, new ones work.
 */
static void silent_step(uint64_t us)
{
	if (at(1, 4 * SECOND, us)) {
		more_routes = 1680;
		write_config(0);
	}
	if (at(2, 9 * SECOND, us))
		start_storm(25, us);
	if (at(3, 9 * SECOND + 150 * MS, us) && bed.trouble) {
		store_silence_connections();
		trouble_us = us;
		note("the open connections to the store are silent now");
	}
	storm_step(us, 80 * MS, true);
	if (phase >= 3 && !storm_left && us >= t0_us + 12 * SECOND)
		probe_routes(us);
	if (at(4, 35 * SECOND, us))
		finish();
}

static const struct plan plans[] = {
	{ "partial", 480, 120, 2500000, 6 * SECOND, 6 * SECOND, 6 * SECOND,
	  partial_step },
	{ "largest", 14, 4, 0, 6 * SECOND, 6 * SECOND, 6 * SECOND,
	  largest_step },
	{ "silent", 14, 4, 0, 6 * SECOND, 6 * SECOND, 6 * SECOND, silent_step },
};

static bool entry_is_ready(uint32_t entry)
{
	static const char request[] = "GET /readiness HTTP/1.1\r\n"
				      "Host: entry\r\n\r\n";
	struct sockaddr_in to = address(ENTRY_IP + entry, bed.base + 1);
	char reply[256] = "";
	int fd = socket(AF_INET, SOCK_STREAM, 0);
	bool ready = false;

	if (!connect(fd, (struct sockaddr *)&to, sizeof(to)) &&
	    send(fd, request, sizeof(request) - 1, MSG_NOSIGNAL) > 0 &&
	    recv(fd, reply, sizeof(reply) - 1, 0) > 0)
		ready = strstr(reply, " 200 ") != NULL;
	close(fd);
	return ready;
}

/* A child process asks the entries, since this one has to serve the store. */
static void wait_for_entries(void)
{
	uint32_t ready = 0;

	waiter = fork();
	if (waiter)
		return;
	for (uint32_t i = 0; i < 200 && ready < bed.n_entries; i++) {
		usleep(100000);
		ready = 0;
		for (uint32_t e = 1; e <= bed.n_entries; e++)
			ready += entry_is_ready(e);
	}
	_exit(ready < bed.n_entries);
}

void scenario_open(void)
{
	struct store_conf store = { ANSWER_US, 0, PAGE_ITEMS, PAGE_BYTES,
				    HISTORY_US };

	for (size_t i = 0; i < sizeof(plans) / sizeof(plans[0]); i++)
		if (!strcmp(plans[i].name, bed.scenario))
			plan = &plans[i];
	if (!plan)
		fail_setup("no such scenario");
	store.link_bytes_per_s = plan->link_bytes_per_s;
	store_open(&store);
	clients_open();
	write_config(0);
	for (uint32_t i = 0; i < plan->live + plan->vault; i++)
		endpoint_add(i < plan->live ? "svc-live" : "svc-vault",
			     i % ZONES);
	wait_for_entries();
}

static void begin(uint64_t us)
{
	static const struct traffic t[] = {
		{ { 0x7f120001, 443 }, 100, TAG_TRAFFIC }
	};
	int status;

	if (waitpid(waiter, &status, WNOHANG) != waiter)
		return;
	waiter = 0;
	if (!WIFEXITED(status) || WEXITSTATUS(status)) {
		note("the entries did not get ready");
		bed.result = 2;
		bed.done = true;
		return;
	}
	t0_us = us;
	note("all entries are ready");
	clients_set_traffic(t, 1);
}

void scenario_tick(void)
{
	uint64_t us = now_us();

	if (waiter)
		begin(us);
	else if (!bed.done)
		plan->step(us);
}
