/* struct node: reading the platform, documents of peers, readiness, pauses,
 * planned stops, heartbeats. */
#include "hello_codec.h"
#include "node.h"
#include "outlier.h"

#include <errno.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <cmocka.h>

#define MS NS_PER_MS
#define PEER ADDR(0x0a000002, 7720)
#define VIP ADDR(0xc6120001, 443)
#define NO_VIP ADDR(0xc6120009, 9)
#define CALLER ADDR(0x64400001, 1000)

struct calls {
	uint32_t lists;
	bool list_exact;
	uint32_t watches;
	uint64_t watch_after;
	uint64_t watch_wait_ns;
	uint32_t cancels;
	uint32_t fetches;
	uint64_t fetch_from;
	uint32_t hellos;
	uint64_t hello_bytes;
	uint32_t sends;
	struct hello last;
};

struct fixture {
	struct node *node;
	struct calls calls;
	uint64_t now_ns;
	uint32_t rounds;
};

static void on_list(void *ctx, const char *after_key, bool exact)
{
	struct fixture *f = ctx;

	(void)after_key;
	f->calls.lists++;
	f->calls.list_exact = exact;
}

static void on_watch(void *ctx, uint64_t after, uint64_t wait_ns)
{
	struct fixture *f = ctx;

	f->calls.watches++;
	f->calls.watch_after = after;
	f->calls.watch_wait_ns = wait_ns;
}

static void on_cancel(void *ctx)
{
	struct fixture *f = ctx;

	f->calls.cancels++;
}

static void on_fetch(void *ctx, uint64_t peer, struct position after)
{
	struct fixture *f = ctx;

	(void)after;
	f->calls.fetches++;
	f->calls.fetch_from = peer;
}

static void on_hello(void *ctx, const uint64_t *to, uint32_t n,
		     const struct hello *h)
{
	struct fixture *f = ctx;
	uint8_t data[HELLO_MAX_BYTES];

	(void)to;
	f->calls.hello_bytes += (uint64_t)n * hello_encode(h, data);
	f->calls.hellos++;
	f->calls.last = *h;
}

static int on_probe(void *ctx, const struct target *t)
{
	(void)ctx;
	(void)t;
	return 0;
}

static void on_resend(void *ctx, const struct flow_state *f, uint8_t reason)
{
	(void)ctx;
	(void)f;
	(void)reason;
}

static void on_send_queued(void *ctx, const struct flow_state *f,
			   const uint8_t *bytes, uint32_t n_bytes)
{
	struct fixture *x = ctx;

	(void)f;
	(void)bytes;
	(void)n_bytes;
	x->calls.sends++;
}

static void on_reset(void *ctx, const struct flow_state *f)
{
	(void)ctx;
	(void)f;
}

static void on_health(void *ctx, const struct target *t, uint8_t before)
{
	(void)ctx;
	(void)t;
	(void)before;
}

static void on_log(void *ctx, enum node_log_level level, const char *step,
		   const char *peer, const char *format, ...)
{
	(void)ctx;
	(void)level;
	(void)step;
	(void)peer;
	(void)format;
}

/*
 * Decode a document of these tests: the value of "routes" is the version and
 * the latency objective in ms as text, "t/ID" is a target of the only service,
 * "e/NAME" the evacuation of a data centre.
 */
static int decode(const struct document *d, struct directory *names,
		  struct decoded_document *out, const char **problem)
{
	struct route_table *t;
	char *rest;

	*problem = "bad";
	*out = (struct decoded_document){ 0 };
	if (d->key[0] == 't') {
		out->kind = DOCUMENT_TARGET;
		out->target.id = strtoull(d->key + 2, NULL, 10);
		out->target.addr = ADDR(0x0b000000 + out->target.id, 80);
		out->target.key_hash = out->target.id;
		if (d->value && !strcmp((char *)d->value, "bad"))
			return -EPROTO;
		out->target.service = directory_find_service(names, "service");
		if (d->value && out->target.service == DIRECTORY_SERVICE_NONE)
			return -ENOENT;
		out->target.zone = (uint32_t)hash_text("garda");
		out->target.slots = 1;
		return 0;
	}
	if (d->key[0] == 'e') {
		out->kind = DOCUMENT_EVACUATION;
		strcpy(out->data_centre, d->key + 2);
		return 0;
	}
	if (d->value && !strcmp((char *)d->value, "bad"))
		return -EPROTO;
	t = calloc(1, sizeof(*t));
	t->version = strtoull((char *)d->value, &rest, 10);
	t->n_routes = 1;
	t->routes = calloc(1, sizeof(*t->routes));
	t->routes[0].vip = VIP;
	t->routes[0].objective_ms = (uint32_t)strtoul(rest, NULL, 10);
	t->routes[0].timeout_ms = 2000;
	t->routes[0].n_shares = 1;
	t->routes[0].shares[0].service =
		directory_add_service(names, "service");
	out->kind = DOCUMENT_ROUTES;
	out->routes = t;
	return 0;
}

static int setup(void **state)
{
	struct fixture *f = calloc(1, sizeof(*f));
	struct node_conf conf = {
		.self = ADDR(0x0a000001, 7720),
		.data_centre = "garda",
		.boot = 7,
		.flows_max = 64,
		.flow_lifetime_ns = 60 * NS_PER_S,
		.stop_ns = 4500 * MS,
		.n_seeds = 1,
		.seeds = { PEER },
	};
	struct node_port port = {
		.ctx = f,
		.list = on_list,
		.watch = on_watch,
		.cancel = on_cancel,
		.fetch = on_fetch,
		.hello = on_hello,
		.probe = on_probe,
		.resend = on_resend,
		.send_queued = on_send_queued,
		.reset = on_reset,
		.health = on_health,
		.decode = decode,
		.log = on_log,
	};

	f->now_ns = 100 * NS_PER_S;
	f->node = node_new(&conf, port, f->now_ns);
	*state = f;
	return 0;
}

static int teardown(void **state)
{
	struct fixture *f = *state;

	node_free(f->node);
	free(f);
	return 0;
}

static void advance(struct fixture *f, uint64_t ns)
{
	uint64_t end_ns = f->now_ns + ns;

	for (; f->now_ns < end_ns; f->now_ns += 20 * MS)
		node_tick(f->node, f->now_ns);
}

static struct document doc(const char *key, uint64_t revision,
			   const char *value)
{
	struct document d = { .revision = revision, .created = revision };

	strcpy(d.key, key);
	d.deleted = !value;
	d.value = (uint8_t *)value;
	d.size_bytes = value ? (uint32_t)strlen(value) : 0;
	return d;
}

static void put_document(struct fixture *f,
			 void (*take)(void *, const struct document *),
			 const char *key, uint64_t revision, const char *value)
{
	struct document d = doc(key, revision, value);

	take(f->node, &d);
}

static void apply_listing(struct fixture *f)
{
	struct answer_head head = { .revision = 10 };

	advance(f, 40 * MS);
	assert_int_equal(f->calls.lists, 1);
	node_answer_begin(f->node, 0, f->now_ns);
	put_document(f, node_take_listed, "routes", 5, "3");
	put_document(f, node_take_listed, "t/1", 6, "x");
	node_answer_end(f->node, SOURCE_OK, &head, f->now_ns);
}

/* Pass a SYN of a client to @vip. Return: the action decided, enum
 * path_action. */
static uint8_t send_syn(struct fixture *f, uint64_t vip)
{
	static const uint8_t bytes[32];
	struct packet k = { .flow = { CALLER, vip },
			    .flags = PACKET_SYN,
			    .bytes = bytes,
			    .n_bytes = sizeof(bytes) };
	struct path_verdict v;

	node_packet(f->node, &k, f->now_ns, &v);
	return v.action;
}

static void test_ready_after_first_listing(void **state)
{
	struct fixture *f = *state;

	advance(f, 20 * MS);
	assert_false(f->node->ready);
	apply_listing(f);
	assert_true(f->node->ready);
	/* The watch starts later, so that changes in close succession are read
	 * in one call. */
	advance(f, 280 * MS);
	assert_int_equal(f->calls.watches, 0);
	advance(f, 60 * MS);
	assert_int_equal(f->calls.watches, 1);
	assert_int_equal(f->calls.watch_after, 10);
}

/*
 * A young entry would refuse routes that are in force, if it became ready with
 * an older state than a peer: it starts while the platform rejects its calls,
 * and a heartbeat shows that the peer is ahead.
 */
static void test_not_ready_while_behind_a_peer(void **state)
{
	struct fixture *f = *state;
	struct hello h = { .from = PEER, .newest = { 0, 50 }, .boot = 1 };
	struct relay_head head = { .through = { 0, 60 }, .newest = { 0, 50 } };

	node_receive_hello(f->node, &h, f->now_ns);
	assert_int_equal(f->calls.fetches, 1);
	assert_int_equal(f->calls.fetch_from, PEER);
	/* The peer does not answer. After a second the platform is read. */
	advance(f, 900 * MS);
	assert_int_equal(f->calls.lists, 0);
	node_receive_hello(f->node, &h, f->now_ns);
	advance(f, 200 * MS);
	node_receive_hello(f->node, &h, f->now_ns);
	apply_listing(f);
	assert_false(f->node->ready);
	assert_true(node_fetch_begin(f->node, &head, f->now_ns));
	put_document(f, node_take_changed, "routes", 50, "9");
	node_fetch_end(f->node, &head, f->now_ns);
	assert_true(f->node->ready);
	assert_int_equal(directory_route_table(f->node->directory)->version, 9);
	/* The entry stays ready when a peer gets ahead, but a route that is
	 * missing here may then be in force. */
	assert_int_equal(send_syn(f, NO_VIP), PATH_RESET);
	h.newest.revision = 70;
	node_receive_hello(f->node, &h, f->now_ns);
	assert_int_equal(send_syn(f, NO_VIP), PATH_DROP);
	advance(f, 40 * MS);
	assert_true(f->node->ready);
}

/*
 * After a power failure of all entries each would be ready 0.1 s later than
 * possible, if it asked one peer after the other: targets publish themselves
 * all the time, so that some other peer is always ahead of the one asked.
 */
static void test_ready_with_state_of_one_peer(void **state)
{
	struct fixture *f = *state;
	struct hello h = { .from = PEER, .newest = { 0, 50 }, .boot = 1 };
	struct relay_head head = { .through = { 0, 60 }, .newest = { 0, 50 } };

	node_receive_hello(f->node, &h, f->now_ns);
	f->now_ns += 100 * MS;
	h.newest.revision = 55;
	node_receive_hello(f->node, &h, f->now_ns);
	assert_true(node_fetch_begin(f->node, &head, f->now_ns));
	put_document(f, node_take_changed, "routes", 50, "9");
	node_fetch_end(f->node, &head, f->now_ns);
	assert_true(f->node->ready);
	/* A route that is missing here may be in force at the other peer. */
	assert_int_equal(send_syn(f, NO_VIP), PATH_DROP);
}

/*
 * Entries that start together would answer each other as fast as the network
 * allows, and have no time to read the documents.
 */
static void test_reply_to_heartbeat_requests_no_reply(void **state)
{
	struct fixture *f = *state;
	struct hello h = { .from = PEER, .boot = 1, .reply = true };

	advance(f, 20 * MS);
	assert_true(f->calls.last.reply);
	node_receive_hello(f->node, &h, f->now_ns);
	assert_false(f->calls.last.reply);
}

/*
 * Targets would vanish from an entry that lists the platform in two pages, when
 * a peer sends all its documents in between: a second listing inside the first
 * makes documents that only the first names count as deleted.
 */
static void test_state_of_peer_is_refused_while_listing(void **state)
{
	struct fixture *f = *state;
	struct answer_head more = { .revision = 20, .more = true };
	struct relay_head whole = { .through = { 0, 18 },
				    .newest = { 0, 18 },
				    .is_full_state = true };

	/* The watched history is gone, so the entry lists again. */
	apply_listing(f);
	advance(f, 400 * MS);
	node_answer_end(f->node, SOURCE_GONE, &more, f->now_ns);
	advance(f, 40 * MS);
	strcpy(more.last_key, "t/1");
	node_answer_begin(f->node, 0, f->now_ns);
	put_document(f, node_take_listed, "routes", 5, "3");
	put_document(f, node_take_listed, "t/1", 6, "x");
	node_answer_end(f->node, SOURCE_OK, &more, f->now_ns);
	assert_false(node_fetch_begin(f->node, &whole, f->now_ns));
	node_fetch_end(f->node, NULL, f->now_ns);
	node_answer_begin(f->node, 0, f->now_ns);
	put_document(f, node_take_listed, "t/2", 7, "x");
	more.more = false;
	node_answer_end(f->node, SOURCE_OK, &more, f->now_ns);
	assert_int_equal(directory_by_id(f->node->directory, 1)->stage,
			 TARGET_SERVING);
	assert_int_equal(directory_by_id(f->node->directory, 2)->stage,
			 TARGET_SERVING);
}

/* Peers would keep using a target that drains: they fetch between two pages,
 * and the second page brings a change that is older than one of the first. */
static void test_position_between_pages_is_not_advertised(void **state)
{
	struct fixture *f = *state;
	struct hello h = { .from = PEER, .boot = 1, .reply = true };
	struct answer_head head = { .revision = 20, .more = true };

	strcpy(head.last_key, "routes");
	apply_listing(f);
	advance(f, 400 * MS);
	node_answer_end(f->node, SOURCE_GONE, &head, f->now_ns);
	advance(f, 40 * MS);
	node_answer_begin(f->node, 0, f->now_ns);
	put_document(f, node_take_listed, "routes", 19, "4");
	node_answer_end(f->node, SOURCE_OK, &head, f->now_ns);
	node_receive_hello(f->node, &h, f->now_ns);
	assert_int_equal(f->calls.last.newest.revision, 10);
	head.more = false;
	head.revision = 23;
	node_answer_begin(f->node, 0, f->now_ns);
	put_document(f, node_take_listed, "t/1", 18, "bad");
	put_document(f, node_take_listed, "t/2", 22, "x");
	node_answer_end(f->node, SOURCE_OK, &head, f->now_ns);
	assert_int_equal(f->calls.last.newest.revision, 19);
	assert_int_equal(f->node->counters.documents_late, 0);
}

/* Peers would not fetch a change: it was written to a key of the first page
 * after that page was read, and before a change that the second page brought. */
static void test_change_between_pages_is_advertised(void **state)
{
	struct fixture *f = *state;
	struct hello h = { .from = PEER, .boot = 1, .reply = true };
	struct answer_head head = { .revision = 10, .more = true };

	strcpy(head.last_key, "routes");
	advance(f, 40 * MS);
	node_answer_begin(f->node, 0, f->now_ns);
	put_document(f, node_take_listed, "routes", 5, "3");
	node_answer_end(f->node, SOURCE_OK, &head, f->now_ns);
	head.more = false;
	head.revision = 12;
	node_answer_begin(f->node, 0, f->now_ns);
	put_document(f, node_take_listed, "t/1", 12, "x");
	node_answer_end(f->node, SOURCE_OK, &head, f->now_ns);
	node_receive_hello(f->node, &h, f->now_ns);
	assert_int_equal(f->calls.last.newest.revision, 5);
	advance(f, 400 * MS);
	assert_int_equal(f->calls.watch_after, 10);
	node_answer_begin(f->node, 0, f->now_ns);
	put_document(f, node_take_changed, "routes", 11, "4");
	put_document(f, node_take_changed, "t/1", 12, "x");
	node_answer_end(f->node, SOURCE_OK, &head, f->now_ns);
	assert_int_equal(f->calls.last.newest.revision, 12);
	assert_int_equal(f->node->counters.documents_late, 0);
}

/* What a peer sent before its answer turned out to be invalid must not hide the
 * rest: the entry would not ask again. */
static void test_cut_answer_of_peer_is_fetched_again(void **state)
{
	struct fixture *f = *state;
	struct hello h = { .from = PEER, .newest = { 0, 21 }, .boot = 1 };
	struct relay_head head = { .through = { 0, 30 }, .newest = { 0, 21 } };

	apply_listing(f);
	node_receive_hello(f->node, &h, f->now_ns);
	assert_int_equal(f->calls.fetches, 1);
	assert_true(node_fetch_begin(f->node, &head, f->now_ns));
	put_document(f, node_take_relayed, "routes", 21, "4");
	node_fetch_end(f->node, NULL, f->now_ns);
	node_receive_hello(f->node, &h, f->now_ns);
	assert_int_equal(f->calls.fetches, 2);
	assert_true(node_fetch_begin(f->node, &head, f->now_ns));
	put_document(f, node_take_relayed, "routes", 21, "4");
	put_document(f, node_take_relayed, "t/2", 20, "x");
	node_fetch_end(f->node, &head, f->now_ns);
	assert_non_null(directory_by_id(f->node->directory, 2));
	node_receive_hello(f->node, &h, f->now_ns);
	assert_int_equal(f->calls.fetches, 2);
}

/* A peer whose documents are refused each time would be asked as fast as it
 * answers. */
static void test_refused_documents_are_fetched_less_often(void **state)
{
	struct fixture *f = *state;
	struct hello h = { .from = PEER, .newest = { 0, 21 }, .boot = 1 };
	uint32_t fetches = 0;

	apply_listing(f);
	for (uint32_t i = 0; i < 100; i++) {
		node_receive_hello(f->node, &h, f->now_ns);
		if (f->calls.fetches > fetches)
			node_fetch_end(f->node, NULL, f->now_ns);
		fetches = f->calls.fetches;
		advance(f, 20 * MS);
	}
	assert_in_range(fetches, 5, 10);
	assert_int_equal(f->node->counters.peer_calls_failed, fetches);
	/* What the platform says of that position ends the series. */
	h.newest.revision = 10;
	node_receive_hello(f->node, &h, f->now_ns);
	advance(f, 20 * MS);
	assert_int_equal(f->node->fetch_failures, 0);
}

/* A deleted target would get flows for good: the entry lists the platform
 * without it while a peer, which is behind, sends it. */
static void test_state_of_overtaken_peer_is_refused(void **state)
{
	struct fixture *f = *state;
	struct hello h = { .from = PEER, .newest = { 0, 8 }, .boot = 1 };
	struct relay_head head = { .through = { 0, 9 },
				   .newest = { 0, 8 },
				   .is_full_state = true };

	node_receive_hello(f->node, &h, f->now_ns);
	assert_int_equal(f->calls.fetches, 1);
	advance(f, 1100 * MS);
	node_receive_hello(f->node, &h, f->now_ns);
	apply_listing(f);
	assert_int_equal(documents_synced(f->node->documents).revision, 10);
	assert_false(node_fetch_begin(f->node, &head, f->now_ns));
	head.is_full_state = false;
	assert_false(node_fetch_begin(f->node, &head, f->now_ns));
	node_fetch_end(f->node, NULL, f->now_ns);
	/* Nor does the entry ask for what it knows to be older. */
	node_receive_hello(f->node, &h, f->now_ns);
	assert_int_equal(f->calls.fetches, 1);
}

/* A listing with old pages is not known to be current; that it is as new as a
 * peer's state is enough to be ready. */
static void test_old_listing_that_overtook_a_peer_counts(void **state)
{
	struct fixture *f = *state;
	struct hello h = { .from = PEER, .newest = { 0, 8 }, .boot = 1 };
	struct relay_head head = { .through = { 0, 9 },
				   .newest = { 0, 8 },
				   .is_full_state = true };
	struct answer_head page = { .revision = 20, .more = true };

	strcpy(page.last_key, "routes");
	advance(f, 40 * MS);
	node_answer_begin(f->node, 0, f->now_ns);
	put_document(f, node_take_listed, "routes", 5, "3");
	node_answer_end(f->node, SOURCE_OK, &page, f->now_ns);
	node_receive_hello(f->node, &h, f->now_ns);
	page = (struct answer_head){ .revision = 12 };
	node_answer_begin(f->node, 0, f->now_ns);
	put_document(f, node_take_listed, "t/1", 6, "x");
	node_answer_end(f->node, SOURCE_OK, &page, f->now_ns);
	assert_false(f->node->ready);
	assert_false(node_fetch_begin(f->node, &head, f->now_ns));
	node_fetch_end(f->node, NULL, f->now_ns);
	advance(f, 20 * MS);
	assert_true(f->node->ready);
	assert_int_equal(documents_synced(f->node->documents).revision, 9);
}

/* An entry would lose its snapshot with the documents of a peer that entered an
 * epoch and has read only a part of it. */
static void test_incomplete_state_of_peer_is_refused(void **state)
{
	struct fixture *f = *state;
	struct relay_head head = { .through = { 2, 0 },
				   .newest = { 2, 19 },
				   .is_full_state = true };

	apply_listing(f);
	assert_false(node_fetch_begin(f->node, &head, f->now_ns));
}

/*
 * An entry without documents gets them from a peer sooner than by its listing.
 * It abandons the listing, and only the peer's documents count.
 */
static void test_state_of_peer_replaces_first_listing(void **state)
{
	struct fixture *f = *state;
	struct answer_head more = { .revision = 10, .more = true };
	struct relay_head whole = { .through = { 0, 18 },
				    .newest = { 0, 18 },
				    .floor = { 0, 18 },
				    .is_full_state = true };

	strcpy(more.last_key, "t/1");
	advance(f, 40 * MS);
	node_answer_begin(f->node, 0, f->now_ns);
	put_document(f, node_take_listed, "routes", 5, "3");
	put_document(f, node_take_listed, "t/1", 6, "x");
	node_answer_end(f->node, SOURCE_OK, &more, f->now_ns);
	assert_int_equal(f->calls.cancels, 0);
	assert_true(node_fetch_begin(f->node, &whole, f->now_ns));
	assert_int_equal(f->calls.cancels, 1);
	put_document(f, node_take_relay_listed, "routes", 5, "3");
	put_document(f, node_take_relay_listed, "t/2", 7, "x");
	node_fetch_end(f->node, &whole, f->now_ns);
	/* Target 1 was deleted after the page that named it. */
	assert_int_equal(directory_by_id(f->node->directory, 1)->stage,
			 TARGET_ABSENT);
	assert_int_equal(directory_by_id(f->node->directory, 2)->stage,
			 TARGET_SERVING);
	assert_true(f->node->ready);
	/* The pending page belongs to the abandoned listing. */
	advance(f, 400 * MS);
	assert_int_equal(f->calls.lists, 2);
	assert_int_equal(f->calls.watches, 1);
	assert_int_equal(f->calls.watch_after, 18);
}

/*
 * An entry would open flows at targets that are gone, and refuse routes that
 * are in force, if it became ready with a listing of which pages after the
 * first are seconds old.
 */
static void test_not_ready_with_old_pages(void **state)
{
	struct fixture *f = *state;
	struct answer_head head = { .revision = 20, .more = true };
	struct hello h = { .from = PEER, .boot = 1 };

	strcpy(head.last_key, "t/1");
	advance(f, 40 * MS);
	assert_true(f->calls.list_exact);
	node_answer_begin(f->node, 0, f->now_ns);
	put_document(f, node_take_listed, "routes", 5, "3");
	put_document(f, node_take_listed, "t/1", 6, "x");
	node_answer_end(f->node, SOURCE_OK, &head, f->now_ns);
	assert_int_equal(f->calls.lists, 2);
	assert_false(f->calls.list_exact);
	head = (struct answer_head){ .revision = 12 };
	node_answer_begin(f->node, 0, f->now_ns);
	put_document(f, node_take_listed, "t/2", 7, "x");
	node_answer_end(f->node, SOURCE_OK, &head, f->now_ns);
	assert_false(f->node->ready);
	node_receive_hello(f->node, &h, f->now_ns);
	node_stop(f->node, f->now_ns);
	assert_int_equal(f->calls.last.newest.revision, 0);
	f->node->stop_ns = 0;
	/* Changes since the old pages are requested at once. */
	assert_int_equal(f->calls.watches, 1);
	assert_int_equal(f->calls.watch_after, 12);
	assert_int_equal(f->calls.watch_wait_ns, 0);
	head.revision = 20;
	node_answer_begin(f->node, 0, f->now_ns);
	put_document(f, node_take_changed, "t/2", 15, NULL);
	node_answer_end(f->node, SOURCE_OK, &head, f->now_ns);
	assert_true(f->node->ready);
	assert_int_equal(directory_by_id(f->node->directory, 1)->stage,
			 TARGET_SERVING);
	assert_int_equal(directory_by_id(f->node->directory, 2)->stage,
			 TARGET_ABSENT);
}

static bool evacuated(const struct fixture *f, const char *data_centre)
{
	return evacuations_has(directory_evacuations(f->node->directory),
			       (uint32_t)hash_text(data_centre));
}

/*
 * Flows would go to an evacuated data centre, or one whose evacuation is over
 * would get none: an entry starts while both change, and the old later pages of
 * its listing show the one that is over and lack the one that has begun. The
 * entry must neither be ready nor advertise such pages.
 */
static void test_old_page_neither_ends_nor_starts_an_evacuation(void **state)
{
	struct fixture *f = *state;
	struct answer_head head = { .revision = 20, .more = true };

	strcpy(head.last_key, "routes");
	advance(f, 40 * MS);
	node_answer_begin(f->node, 0, f->now_ns);
	put_document(f, node_take_listed, "routes", 5, "3");
	node_answer_end(f->node, SOURCE_OK, &head, f->now_ns);
	/* A peer sends the evacuation that began at revision 18. */
	put_document(f, node_take_changed, "e/garda", 18, "{}");
	head = (struct answer_head){ .revision = 12 };
	node_answer_begin(f->node, 0, f->now_ns);
	put_document(f, node_take_listed, "e/como", 7, "{}");
	put_document(f, node_take_listed, "t/1", 6, "x");
	node_answer_end(f->node, SOURCE_OK, &head, f->now_ns);
	assert_false(f->node->ready);
	assert_true(evacuated(f, "garda"));
	head.revision = 20;
	node_answer_begin(f->node, 0, f->now_ns);
	put_document(f, node_take_changed, "e/como", 15, NULL);
	put_document(f, node_take_changed, "e/garda", 18, "{}");
	node_answer_end(f->node, SOURCE_OK, &head, f->now_ns);
	assert_true(f->node->ready);
	assert_true(evacuated(f, "garda"));
	assert_false(evacuated(f, "como"));
}

/* A delayed write, or a peer that is behind, may send an older version. */
static void test_late_write_does_not_restart_an_evacuation(void **state)
{
	struct fixture *f = *state;

	apply_listing(f);
	put_document(f, node_take_changed, "e/garda", 11, "{}");
	assert_true(evacuated(f, "garda"));
	put_document(f, node_take_changed, "e/garda", 13, NULL);
	put_document(f, node_take_changed, "e/garda", 12, "{}");
	assert_false(evacuated(f, "garda"));
	put_document(f, node_take_changed, "e/garda", 14, "{}");
	assert_true(evacuated(f, "garda"));
}

static void test_ready_with_pages_as_new_as_the_first(void **state)
{
	struct fixture *f = *state;
	struct answer_head head = { .revision = 20, .more = true };

	strcpy(head.last_key, "t/1");
	advance(f, 40 * MS);
	node_answer_begin(f->node, 0, f->now_ns);
	put_document(f, node_take_listed, "routes", 5, "3");
	node_answer_end(f->node, SOURCE_OK, &head, f->now_ns);
	head = (struct answer_head){ .revision = 21 };
	node_answer_begin(f->node, 0, f->now_ns);
	put_document(f, node_take_listed, "t/2", 7, "x");
	node_answer_end(f->node, SOURCE_OK, &head, f->now_ns);
	assert_true(f->node->ready);
}

/*
 * A start of many entries would take thousands of calls to the platform, if an
 * entry read the remaining pages after a peer has sent all documents.
 */
static void test_listing_is_cancelled_when_peer_sends_all(void **state)
{
	struct fixture *f = *state;
	struct answer_head head = { .revision = 20, .more = true };
	struct relay_head relay = { .through = { 0, 60 }, .newest = { 0, 50 } };
	struct hello h = { .from = PEER, .newest = { 0, 50 }, .boot = 1 };

	strcpy(head.last_key, "t/1");
	advance(f, 40 * MS);
	node_answer_begin(f->node, 0, f->now_ns);
	put_document(f, node_take_listed, "routes", 5, "3");
	node_answer_end(f->node, SOURCE_OK, &head, f->now_ns);
	assert_int_equal(f->calls.lists, 2);
	node_receive_hello(f->node, &h, f->now_ns);
	assert_true(node_fetch_begin(f->node, &relay, f->now_ns));
	put_document(f, node_take_changed, "routes", 50, "9");
	put_document(f, node_take_changed, "t/3", 30, "x");
	node_fetch_end(f->node, &relay, f->now_ns);
	assert_true(f->node->ready);
	/* The pending page would delay those of other entries. */
	assert_int_equal(f->calls.cancels, 1);
	assert_int_equal(f->calls.lists, 2);
	assert_int_equal(directory_by_id(f->node->directory, 3)->stage,
			 TARGET_SERVING);
}

static void test_invalid_configuration_keeps_previous_one(void **state)
{
	struct fixture *f = *state;

	apply_listing(f);
	put_document(f, node_take_changed, "routes", 12, "bad");
	assert_int_equal(directory_route_table(f->node->directory)->version, 3);
	assert_int_equal(f->node->counters.documents_refused, 1);
	put_document(f, node_take_changed, "routes", 13, "4");
	assert_int_equal(directory_route_table(f->node->directory)->version, 4);
}

static void test_changes_are_advertised_at_once(void **state)
{
	struct fixture *f = *state;
	struct hello h = { .from = PEER, .boot = 1 };
	struct answer_head head = { .revision = 20 };
	uint32_t before;

	apply_listing(f);
	node_receive_hello(f->node, &h, f->now_ns);
	advance(f, 400 * MS);
	assert_int_equal(f->calls.watches, 1);
	before = f->calls.hellos;
	node_answer_begin(f->node, 0, f->now_ns);
	put_document(f, node_take_changed, "routes", 20, "4");
	node_answer_end(f->node, SOURCE_OK, &head, f->now_ns);
	assert_int_equal(f->calls.hellos, before + 1);
	assert_int_equal(f->calls.last.newest.revision, 20);
}

/*
 * Send the next request of each flow at a target with one slot, which also
 * acknowledges the answers to the previous ones. Return: number of queued
 * requests.
 */
static uint32_t send_next_requests(struct fixture *f, uint32_t requests)
{
	struct target *t = directory_by_id(f->node->directory, 1);
	uint32_t queued = 0;

	f->rounds++;
	for (uint32_t i = 0; i < requests; i++) {
		struct packet k = {
			.flow = { ADDR(0x64400001 + i, 1000), VIP },
			.cookie = t->cookie,
			.seq = 100 * f->rounds,
			.ack = 1000 * f->rounds,
			.flags = PACKET_ACK,
			.size_bytes = 100,
		};
		struct path_verdict v;

		node_packet(f->node, &k, f->now_ns, &v);
		queued += v.action == PATH_WAIT;
	}
	return queued;
}

static void send_requests_unqueued(struct fixture *f, uint32_t requests)
{
	assert_int_equal(send_next_requests(f, requests), 0);
}

/*
 * A planned stop would break flows, if the process ended while the router still
 * sends it packets.
 */
static void test_planned_stop_forwards_until_router_stops_sending(void **state)
{
	struct fixture *f = *state;
	struct hello h = { .from = PEER, .boot = 1 };

	apply_listing(f);
	node_receive_hello(f->node, &h, f->now_ns);
	node_stop(f->node, f->now_ns);
	assert_false(f->node->ready);
	assert_true(f->calls.last.leaving);
	for (uint32_t i = 0; i < 20; i++) {
		advance(f, 100 * MS);
		assert_false(node_may_exit(f->node, f->now_ns));
		assert_int_equal(send_syn(f, VIP), PATH_FORWARD);
		assert_false(f->node->ready);
	}
	advance(f, 700 * MS);
	assert_true(node_may_exit(f->node, f->now_ns));
}

/* Open a flow; its next packet follows a microsecond later. */
static void open_flow(struct fixture *f)
{
	struct packet k = {
		.flow = { ADDR(0x64400001, 1000), VIP },
		.flags = PACKET_SYN,
	};
	struct path_verdict v;

	node_packet(f->node, &k, f->now_ns, &v);
	assert_int_equal(v.action, PATH_FORWARD);
	f->now_ns += NS_PER_US;
}

static void test_planned_stop_releases_queue(void **state)
{
	struct fixture *f = *state;

	apply_listing(f);
	put_document(f, node_take_changed, "routes", 20, "4 100");
	/* The first answer shows that a request takes 40 ms. */
	open_flow(f);
	send_requests_unqueued(f, 1);
	advance(f, 40 * MS);
	send_requests_unqueued(f, 1);
	advance(f, 40 * MS);
	assert_in_range(send_next_requests(f, 8), 1, 7);
	assert_int_equal(f->calls.sends, 0);
	node_stop(f->node, f->now_ns);
	assert_in_range(f->calls.sends, 1, 7);
	assert_int_equal(path_queued_count(f->node->path), 0);
}

static void test_planned_stop_ends_at_its_time_limit(void **state)
{
	struct fixture *f = *state;

	apply_listing(f);
	node_stop(f->node, f->now_ns);
	for (uint32_t i = 0; i < 45; i++) {
		advance(f, 100 * MS);
		assert_int_equal(send_syn(f, VIP), PATH_FORWARD);
	}
	assert_true(node_may_exit(f->node, f->now_ns));
}

/*
 * Heartbeats of an entry exceed the budget of control traffic, if the loads of
 * many targets are sent to ten peers in every heartbeat. Return: bytes sent in
 * a second, on average of ten.
 */
static uint64_t heartbeat_bytes_per_s(struct fixture *f, uint32_t targets,
				      uint32_t peers, uint32_t requests)
{
	uint64_t before;

	apply_listing(f);
	for (uint32_t i = 0; i < targets; i++) {
		char key[16];

		snprintf(key, sizeof(key), "t/%u", 100 + i);
		put_document(f, node_take_changed, key, 100 + i, "x");
		directory_by_id(f->node->directory, 100 + i)->feeds = 1000;
	}
	before = f->calls.hello_bytes;
	for (uint32_t second = 0; second < 10; second++) {
		for (uint32_t i = 0; i < targets && i < 20; i++)
			for (uint32_t k = 0; k < 100; k++)
				outlier_record_failure(
					directory_by_id(f->node->directory,
							100 + i),
					&policy_default, f->now_ns);
		for (uint32_t i = 0; i < 50; i++) {
			if (i % 10 == 0)
				send_requests_unqueued(f, requests);
			for (uint32_t p = 0; i % 10 == 0 && p < peers; p++) {
				struct hello h = { .from = PEER + p * 65536,
						   .zone = f->calls.last.zone,
						   .boot = 1 };

				node_receive_hello(f->node, &h, f->now_ns);
			}
			advance(f, 20 * MS);
		}
	}
	return (f->calls.hello_bytes - before) / 10;
}

static void test_heartbeats_stay_within_budget(void **state)
{
	assert_in_range(heartbeat_bytes_per_s(*state, 200, 20, 0), 1, 21000);
}

/* Return: heartbeats sent to one peer in a second. */
static uint32_t count_heartbeats(struct fixture *f, uint32_t requests)
{
	uint32_t before = f->calls.hellos;

	for (uint32_t i = 0; i < 5; i++) {
		struct hello h = { .from = PEER,
				   .zone = f->calls.last.zone,
				   .boot = 1 };

		send_requests_unqueued(f, requests);
		node_receive_hello(f->node, &h, f->now_ns);
		advance(f, 200 * MS);
	}
	return f->calls.hellos - before;
}

/*
 * Requests would be queued for targets that are idle by now, or meet requests
 * of other entries: with five heartbeats a second the reported loads are older
 * than requests take.
 */
static void test_heartbeats_are_more_frequent_under_load(void **state)
{
	struct fixture *f = *state;
	uint32_t calm, loaded;

	apply_listing(f);
	calm = count_heartbeats(f, 0);
	loaded = count_heartbeats(f, 3);
	assert_in_range(calm, 5, 6);
	assert_in_range(loaded, 12, 17);
	assert_true(f->calls.last.has_loads);
	assert_int_equal(f->calls.last.n_loads, 1);
	assert_in_range(f->calls.last.loads[0].running_centi, 200, 300);
}

static void test_heartbeats_under_load_stay_within_budget(void **state)
{
	assert_in_range(heartbeat_bytes_per_s(*state, 18, 3, 3), 9000, 21000);
}

static void
test_loaded_heartbeats_of_many_targets_stay_within_budget(void **state)
{
	assert_in_range(heartbeat_bytes_per_s(*state, 200, 20, 3), 1, 21000);
}

/*
 * An entry that has just started would never know a target: a peer sends the
 * targets before the configuration, and a target of a service that no
 * configuration names yet is refused. It has to be applied again later.
 */
static void test_targets_apply_after_later_configuration(void **state)
{
	struct fixture *f = *state;

	put_document(f, node_take_changed, "t/1", 6, "x");
	put_document(f, node_take_changed, "t/2", 7, "bad");
	assert_int_equal(directory_target_count(f->node->directory), 0);
	put_document(f, node_take_changed, "routes", 5, "3");
	assert_int_equal(directory_target_count(f->node->directory), 1);
	assert_int_equal(f->node->counters.documents_refused, 2);
}

/*
 * Flows would go to a target that is no longer published, when somebody else
 * overwrites its record with an invalid one.
 */
static void test_overwritten_record_ends_its_target(void **state)
{
	struct fixture *f = *state;
	struct target *t;

	apply_listing(f);
	t = directory_by_id(f->node->directory, 1);
	assert_int_equal(t->stage, TARGET_SERVING);
	put_document(f, node_take_changed, "t/1", 20, "bad");
	assert_int_equal(t->stage, TARGET_ABSENT);
	assert_false(t->presumed_alive);
	put_document(f, node_take_changed, "t/1", 21, "x");
	assert_int_equal(t->stage, TARGET_SERVING);
}

/* Answer the pending call to the platform with a configuration of an epoch.
 * Return: whether the answer was applied. */
static bool answer_in_epoch(struct fixture *f, uint64_t epoch,
			    uint64_t revision, const char *version)
{
	struct answer_head head = { .revision = revision };
	bool is_applied = node_answer_begin(f->node, epoch, f->now_ns);

	if (is_applied)
		put_document(f,
			     f->node->step == SOURCE_LIST ? node_take_listed
							  : node_take_changed,
			     "routes", revision, version);
	node_answer_end(f->node, is_applied ? SOURCE_OK : SOURCE_GONE, &head,
			f->now_ns);
	return is_applied;
}

static uint64_t configuration_version(const struct fixture *f)
{
	return directory_route_table(f->node->directory)->version;
}

/* Apply version 24 at revision 26 of epoch 1, and start the watch. */
static void watch_before_restore(struct fixture *f)
{
	advance(f, 40 * MS);
	assert_true(answer_in_epoch(f, 1, 26, "24"));
	advance(f, 400 * MS);
	assert_int_equal(f->calls.watches, 1);
	assert_int_equal(f->calls.watch_after, 26);
}

/* Changes of the new epoch before the watched revision would be missed. */
static void test_answer_to_watch_of_other_epoch_is_refused(void **state)
{
	struct fixture *f = *state;

	watch_before_restore(f);
	assert_false(answer_in_epoch(f, 2, 30, "32"));
	assert_int_equal(configuration_version(f), 24);
	advance(f, 40 * MS);
	assert_int_equal(f->calls.lists, 2);
	assert_true(f->calls.list_exact);
	assert_true(answer_in_epoch(f, 2, 30, "32"));
	assert_int_equal(configuration_version(f), 32);
	advance(f, 400 * MS);
	assert_int_equal(f->calls.watch_after, 30);
}

/*
 * A configuration would be late, since its revision was used before in the
 * earlier epoch.
 */
static void test_lower_revision_of_later_epoch_is_applied(void **state)
{
	struct fixture *f = *state;

	watch_before_restore(f);
	answer_in_epoch(f, 2, 23, "14");
	advance(f, 40 * MS);
	assert_true(answer_in_epoch(f, 2, 23, "14"));
	assert_int_equal(configuration_version(f), 24);
	advance(f, 400 * MS);
	assert_int_equal(f->calls.watch_after, 23);
	assert_true(answer_in_epoch(f, 2, 26, "28"));
	assert_int_equal(configuration_version(f), 28);
}

/* Changes would be missed: a peer advertises the new epoch during a watch. */
static void test_watch_started_before_new_epoch_is_refused(void **state)
{
	struct fixture *f = *state;
	struct hello h = { .from = PEER, .newest = { 2, 23 }, .boot = 1 };
	struct relay_head head = { .through = { 2, 23 },
				   .newest = { 2, 23 },
				   .is_full_state = true };

	watch_before_restore(f);
	node_receive_hello(f->node, &h, f->now_ns);
	assert_int_equal(f->calls.fetches, 1);
	assert_true(node_fetch_begin(f->node, &head, f->now_ns));
	node_fetch_end(f->node, &head, f->now_ns);
	/* The watch is after 26, and would miss revisions 24 to 26. */
	assert_false(answer_in_epoch(f, 2, 30, "32"));
}

/* Pages of two epochs would form a listing of a state that never existed. */
static void test_pages_of_two_epochs_form_no_listing(void **state)
{
	struct fixture *f = *state;
	struct answer_head more = { .revision = 26, .more = true };

	strcpy(more.last_key, "t/1");
	advance(f, 40 * MS);
	assert_true(node_answer_begin(f->node, 1, f->now_ns));
	put_document(f, node_take_listed, "routes", 5, "3");
	node_answer_end(f->node, SOURCE_OK, &more, f->now_ns);
	assert_false(answer_in_epoch(f, 2, 23, "14"));
	assert_false(f->node->ready);
	advance(f, 40 * MS);
	assert_true(answer_in_epoch(f, 2, 23, "14"));
	assert_true(f->node->ready);
}

/*
 * A replica of the platform that lags, or a peer that has not learned of the
 * new epoch, would restore older documents.
 */
static void test_answers_of_earlier_epoch_are_refused(void **state)
{
	struct fixture *f = *state;
	struct relay_head head = { .through = { 1, 90 },
				   .newest = { 1, 90 },
				   .is_full_state = true };

	advance(f, 40 * MS);
	assert_true(answer_in_epoch(f, 2, 23, "28"));
	advance(f, 400 * MS);
	assert_false(answer_in_epoch(f, 1, 80, "30"));
	advance(f, 40 * MS);
	assert_int_equal(f->calls.lists, 2);
	assert_false(answer_in_epoch(f, 1, 80, "30"));
	assert_false(node_fetch_begin(f->node, &head, f->now_ns));
	head.is_full_state = false;
	assert_false(node_fetch_begin(f->node, &head, f->now_ns));
	assert_int_equal(configuration_version(f), 28);
}

/*
 * Targets would count as gone: in a restored copy their records are as old as
 * the copy, and lapse before they are renewed.
 */
static void test_lapsed_records_of_restored_store_keep_targets(void **state)
{
	struct fixture *f = *state;
	struct answer_head head = { .revision = 12 };

	apply_listing(f);
	advance(f, 400 * MS);
	assert_int_equal(f->calls.watches, 1);
	/* No call to the store has failed before. */
	assert_false(node_answer_begin(f->node, 1, f->now_ns));
	node_answer_end(f->node, SOURCE_GONE, &head, f->now_ns);
	advance(f, 20 * MS);
	assert_true(node_answer_begin(f->node, 1, f->now_ns));
	put_document(f, node_take_listed, "routes", 5, "3");
	put_document(f, node_take_listed, "t/1", 6, "x");
	node_answer_end(f->node, SOURCE_OK, &head, f->now_ns);
	put_document(f, node_take_changed, "t/1", 13, NULL);
	assert_int_equal(directory_by_id(f->node->directory, 1)->stage,
			 TARGET_ABSENT);
	assert_true(directory_by_id(f->node->directory, 1)->presumed_alive);
}

/*
 * An entry that has just started would serve what only the restored older copy
 * contains.
 */
static void test_not_ready_without_documents_retained_by_peers(void **state)
{
	struct fixture *f = *state;
	struct hello h = { .from = PEER,
			   .newest = { 2, 23 },
			   .retained_digest = 77,
			   .boot = 1 };
	struct relay_head head = { .through = { 2, 23 },
				   .newest = { 2, 23 },
				   .is_full_state = false };
	struct document kept = doc("routes", 26, "24");

	advance(f, 40 * MS);
	/* The peer's first heartbeat comes while the listing is pending. */
	node_receive_hello(f->node, &h, f->now_ns);
	node_fetch_end(f->node, NULL, f->now_ns);
	assert_true(answer_in_epoch(f, 2, 23, "14"));
	assert_false(f->node->ready);
	assert_true(node_fetch_begin(f->node, &head, f->now_ns));
	kept.epoch = 1;
	node_take_relayed(f->node, &kept);
	node_fetch_end(f->node, &head, f->now_ns);
	assert_true(f->node->ready);
	assert_int_equal(configuration_version(f), 24);
}

static void test_long_pause_drops_unread_packets(void **state)
{
	struct fixture *f = *state;

	assert_false(node_process_stalled(f->node, 100 * MS, f->now_ns));
	assert_int_equal(f->node->counters.held_up, 0);
	assert_false(node_process_stalled(f->node, 500 * MS, f->now_ns));
	assert_int_equal(f->node->counters.held_up, 1);
	assert_true(node_process_stalled(f->node, 2 * NS_PER_S, f->now_ns));
	assert_int_equal(f->node->counters.paused, 1);
}

int main(void)
{
#define TEST(name) cmocka_unit_test_setup_teardown(name, setup, teardown)
	const struct CMUnitTest tests[] = {
		TEST(test_ready_after_first_listing),
		TEST(test_not_ready_while_behind_a_peer),
		TEST(test_state_of_peer_is_refused_while_listing),
		TEST(test_position_between_pages_is_not_advertised),
		TEST(test_change_between_pages_is_advertised),
		TEST(test_cut_answer_of_peer_is_fetched_again),
		TEST(test_refused_documents_are_fetched_less_often),
		TEST(test_state_of_overtaken_peer_is_refused),
		TEST(test_old_listing_that_overtook_a_peer_counts),
		TEST(test_incomplete_state_of_peer_is_refused),
		TEST(test_state_of_peer_replaces_first_listing),
		TEST(test_ready_with_state_of_one_peer),
		TEST(test_reply_to_heartbeat_requests_no_reply),
		TEST(test_not_ready_with_old_pages),
		TEST(test_old_page_neither_ends_nor_starts_an_evacuation),
		TEST(test_late_write_does_not_restart_an_evacuation),
		TEST(test_ready_with_pages_as_new_as_the_first),
		TEST(test_listing_is_cancelled_when_peer_sends_all),
		TEST(test_invalid_configuration_keeps_previous_one),
		TEST(test_changes_are_advertised_at_once),
		TEST(test_planned_stop_forwards_until_router_stops_sending),
		TEST(test_planned_stop_releases_queue),
		TEST(test_planned_stop_ends_at_its_time_limit),
		TEST(test_heartbeats_stay_within_budget),
		TEST(test_heartbeats_are_more_frequent_under_load),
		TEST(test_heartbeats_under_load_stay_within_budget),
		TEST(test_loaded_heartbeats_of_many_targets_stay_within_budget),
		TEST(test_targets_apply_after_later_configuration),
		TEST(test_overwritten_record_ends_its_target),
		TEST(test_lapsed_records_of_restored_store_keep_targets),
		TEST(test_answer_to_watch_of_other_epoch_is_refused),
		TEST(test_lower_revision_of_later_epoch_is_applied),
		TEST(test_watch_started_before_new_epoch_is_refused),
		TEST(test_pages_of_two_epochs_form_no_listing),
		TEST(test_answers_of_earlier_epoch_are_refused),
		TEST(test_not_ready_without_documents_retained_by_peers),
		TEST(test_long_pause_drops_unread_packets),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
