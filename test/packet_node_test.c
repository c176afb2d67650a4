/* An entry without its sockets: reading, relaying, readiness, pause, stop. */
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

static void on_probe(void *ctx, const struct target *t)
{
	(void)ctx;
	(void)t;
}

static void on_again(void *ctx, const struct flow_state *f, uint8_t reason)
{
	(void)ctx;
	(void)f;
	(void)reason;
}

static void on_send(void *ctx, const struct flow_state *f, const uint8_t *bytes,
		    uint32_t n_bytes)
{
	struct fixture *x = ctx;

	(void)f;
	(void)bytes;
	(void)n_bytes;
	x->calls.sends++;
}

static void on_flow(void *ctx, const struct flow_state *f)
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
 * "routes" holds a version and a target latency as text, "t/ID" is a target of
 * the one service, "e/NAME" the evacuation of a data centre.
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
		out->target.entry = out->target.id;
		if (d->value && !strcmp((char *)d->value, "bad"))
			return -EPROTO;
		out->target.service = directory_known(names, "service");
		if (d->value && out->target.service == DIRECTORY_NAME_NONE)
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
	t->routes[0].aim_ms = (uint32_t)strtoul(rest, NULL, 10);
	t->routes[0].timeout_ms = 2000;
	t->routes[0].n_shares = 1;
	t->routes[0].shares[0].service = directory_name(names, "service");
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
		.resend = on_again,
		.send_queued = on_send,
		.reset = on_flow,
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

static void pass(struct fixture *f, uint64_t ns)
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

static void fact(struct fixture *f,
		 void (*take)(void *, const struct document *), const char *key,
		 uint64_t revision, const char *value)
{
	struct document d = doc(key, revision, value);

	take(f->node, &d);
}

static void listed(struct fixture *f)
{
	struct answer_head head = { .revision = 10 };

	pass(f, 40 * MS);
	assert_int_equal(f->calls.lists, 1);
	node_answer_begin(f->node, 0, f->now_ns);
	fact(f, node_take_listed, "routes", 5, "3");
	fact(f, node_take_listed, "t/1", 6, "x");
	node_answer_end(f->node, SOURCE_OK, &head, f->now_ns);
}

/* What becomes of an opening packet. */
static uint8_t opening(struct fixture *f, uint64_t vip)
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

static void test_ready_once_it_knows(void **state)
{
	struct fixture *f = *state;

	pass(f, 20 * MS);
	assert_false(f->node->ready);
	listed(f);
	assert_true(f->node->ready);
	/* Changes that come in a row are read in one call. */
	pass(f, 280 * MS);
	assert_int_equal(f->calls.watches, 0);
	pass(f, 60 * MS);
	assert_int_equal(f->calls.watches, 1);
	assert_int_equal(f->calls.watch_after, 10);
}

/*
 * Symptom: a young entry refuses routes that are in force. Sequence: it starts
 * while the platform turns it away; a peer told that it knows more. Cause: it
 * was ready with an older view.
 */
static void test_not_ready_before_it_knows_what_peers_do(void **state)
{
	struct fixture *f = *state;
	struct hello h = { .from = PEER, .newest = { 0, 50 }, .boot = 1 };
	struct relay_head head = { .through = { 0, 60 }, .newest = { 0, 50 } };

	node_receive_hello(f->node, &h, f->now_ns);
	assert_int_equal(f->calls.fetches, 1);
	assert_int_equal(f->calls.fetch_from, PEER);
	/* The peer does not answer; after a second the platform is read. */
	pass(f, 900 * MS);
	assert_int_equal(f->calls.lists, 0);
	node_receive_hello(f->node, &h, f->now_ns);
	pass(f, 200 * MS);
	node_receive_hello(f->node, &h, f->now_ns);
	listed(f);
	assert_false(f->node->ready);
	assert_true(node_fetch_begin(f->node, &head, f->now_ns));
	fact(f, node_take_changed, "routes", 50, "9");
	node_fetch_end(f->node, &head, f->now_ns);
	assert_true(f->node->ready);
	assert_int_equal(directory_table(f->node->directory)->version, 9);
	/* A peer that is ahead later is no reason to leave; but what is missing
	 * here may be there. */
	assert_int_equal(opening(f, NO_VIP), PATH_RESET);
	h.newest.revision = 70;
	node_receive_hello(f->node, &h, f->now_ns);
	assert_int_equal(opening(f, NO_VIP), PATH_DROP);
	pass(f, 40 * MS);
	assert_true(f->node->ready);
}

/*
 * Symptom: after all entries lost power each serves 0.1 s later than it could.
 * Sequence: targets publish themselves all the time, so that another peer knows
 * more than the one that was asked. Cause: an entry asked one after the other.
 */
static void test_ready_though_a_peer_went_on(void **state)
{
	struct fixture *f = *state;
	struct hello h = { .from = PEER, .newest = { 0, 50 }, .boot = 1 };
	struct relay_head head = { .through = { 0, 60 }, .newest = { 0, 50 } };

	node_receive_hello(f->node, &h, f->now_ns);
	f->now_ns += 100 * MS;
	h.newest.revision = 55;
	node_receive_hello(f->node, &h, f->now_ns);
	assert_true(node_fetch_begin(f->node, &head, f->now_ns));
	fact(f, node_take_changed, "routes", 50, "9");
	node_fetch_end(f->node, &head, f->now_ns);
	assert_true(f->node->ready);
	/* What is missing here may be there all the same. */
	assert_int_equal(opening(f, NO_VIP), PATH_DROP);
}

/*
 * Symptom: entries that start together have no time to read what is published.
 * Sequence: one that knows nothing asks for an answer, the other, too, in its
 * answer. Cause: they answered each other as fast as the network allowed.
 */
static void test_an_answer_asks_for_none(void **state)
{
	struct fixture *f = *state;
	struct hello h = { .from = PEER, .boot = 1, .reply = true };

	pass(f, 20 * MS);
	assert_true(f->calls.last.reply);
	node_receive_hello(f->node, &h, f->now_ns);
	assert_false(f->calls.last.reply);
}

/*
 * Symptom: targets vanish from one entry. Sequence: it lists the platform over
 * two pages; in between a peer sends its whole state. Cause: the second listing
 * began inside the first, and what only the first had named counted as gone.
 */
static void test_no_whole_state_of_a_peer_while_listing(void **state)
{
	struct fixture *f = *state;
	struct answer_head more = { .revision = 20, .more = true };
	struct relay_head whole = { .through = { 0, 18 },
				    .newest = { 0, 18 },
				    .whole = true };

	/* What it had asked for is gone: it lists anew. */
	listed(f);
	pass(f, 400 * MS);
	node_answer_end(f->node, SOURCE_BEHIND, &more, f->now_ns);
	pass(f, 40 * MS);
	strcpy(more.last_key, "t/1");
	node_answer_begin(f->node, 0, f->now_ns);
	fact(f, node_take_listed, "routes", 5, "3");
	fact(f, node_take_listed, "t/1", 6, "x");
	node_answer_end(f->node, SOURCE_OK, &more, f->now_ns);
	assert_false(node_fetch_begin(f->node, &whole, f->now_ns));
	node_fetch_end(f->node, NULL, f->now_ns);
	node_answer_begin(f->node, 0, f->now_ns);
	fact(f, node_take_listed, "t/2", 7, "x");
	more.more = false;
	node_answer_end(f->node, SOURCE_OK, &more, f->now_ns);
	assert_int_equal(directory_by_id(f->node->directory, 1)->stage,
			 TARGET_SERVING);
	assert_int_equal(directory_by_id(f->node->directory, 2)->stage,
			 TARGET_SERVING);
}

/* The same of an entry that knows nothing yet: the peer is sooner, so the listing
 * is what ends, and the peer's state alone says what stands. */
static void test_whole_state_of_a_peer_ends_the_first_listing(void **state)
{
	struct fixture *f = *state;
	struct answer_head more = { .revision = 10, .more = true };
	struct relay_head whole = { .through = { 0, 18 },
				    .newest = { 0, 18 },
				    .floor = { 0, 18 },
				    .whole = true };

	strcpy(more.last_key, "t/1");
	pass(f, 40 * MS);
	node_answer_begin(f->node, 0, f->now_ns);
	fact(f, node_take_listed, "routes", 5, "3");
	fact(f, node_take_listed, "t/1", 6, "x");
	node_answer_end(f->node, SOURCE_OK, &more, f->now_ns);
	assert_int_equal(f->calls.cancels, 0);
	assert_true(node_fetch_begin(f->node, &whole, f->now_ns));
	assert_int_equal(f->calls.cancels, 1);
	fact(f, node_take_relay_listed, "routes", 5, "3");
	fact(f, node_take_relay_listed, "t/2", 7, "x");
	node_fetch_end(f->node, &whole, f->now_ns);
	/* Target 1 left after the page that named it. */
	assert_int_equal(directory_by_id(f->node->directory, 1)->stage,
			 TARGET_ABSENT);
	assert_int_equal(directory_by_id(f->node->directory, 2)->stage,
			 TARGET_SERVING);
	assert_true(f->node->ready);
	/* The page on its way is of the listing that was given up. */
	pass(f, 400 * MS);
	assert_int_equal(f->calls.lists, 2);
	assert_int_equal(f->calls.watches, 1);
	assert_int_equal(f->calls.watch_after, 18);
}

/*
 * Symptom: an entry opens flows at targets that are gone, and refuses routes
 * that are in force. Sequence: it starts and lists the platform; the pages
 * after the first may be seconds old, and one is. Cause: it was ready with that.
 */
static void test_not_ready_with_pages_that_are_old(void **state)
{
	struct fixture *f = *state;
	struct answer_head head = { .revision = 20, .more = true };
	struct hello h = { .from = PEER, .boot = 1 };

	strcpy(head.last_key, "t/1");
	pass(f, 40 * MS);
	assert_true(f->calls.list_exact);
	node_answer_begin(f->node, 0, f->now_ns);
	fact(f, node_take_listed, "routes", 5, "3");
	fact(f, node_take_listed, "t/1", 6, "x");
	node_answer_end(f->node, SOURCE_OK, &head, f->now_ns);
	assert_int_equal(f->calls.lists, 2);
	assert_false(f->calls.list_exact);
	head = (struct answer_head){ .revision = 12 };
	node_answer_begin(f->node, 0, f->now_ns);
	fact(f, node_take_listed, "t/2", 7, "x");
	node_answer_end(f->node, SOURCE_OK, &head, f->now_ns);
	assert_false(f->node->ready);
	node_receive_hello(f->node, &h, f->now_ns);
	node_stop(f->node, f->now_ns);
	assert_int_equal(f->calls.last.newest.revision, 0);
	f->node->stop_ns = 0;
	/* What came since is asked for at once. */
	assert_int_equal(f->calls.watches, 1);
	assert_int_equal(f->calls.watch_after, 12);
	assert_int_equal(f->calls.watch_wait_ns, 0);
	head.revision = 20;
	node_answer_begin(f->node, 0, f->now_ns);
	fact(f, node_take_changed, "t/2", 15, NULL);
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
 * Symptom: flows go to an evacuated data centre, or one that was taken back
 * gets none. Sequence: an entry starts while both change; the later pages of
 * its listing are from before, and show one that is over and lack one that was
 * begun. Cause: it was ready, and told others, with the old pages.
 */
static void test_old_page_ends_and_hides_no_evacuation(void **state)
{
	struct fixture *f = *state;
	struct answer_head head = { .revision = 20, .more = true };

	strcpy(head.last_key, "routes");
	pass(f, 40 * MS);
	node_answer_begin(f->node, 0, f->now_ns);
	fact(f, node_take_listed, "routes", 5, "3");
	node_answer_end(f->node, SOURCE_OK, &head, f->now_ns);
	/* A peer tells of the one that was begun, at 18. */
	fact(f, node_take_changed, "e/garda", 18, "{}");
	head = (struct answer_head){ .revision = 12 };
	node_answer_begin(f->node, 0, f->now_ns);
	fact(f, node_take_listed, "e/como", 7, "{}");
	fact(f, node_take_listed, "t/1", 6, "x");
	node_answer_end(f->node, SOURCE_OK, &head, f->now_ns);
	assert_false(f->node->ready);
	assert_true(evacuated(f, "garda"));
	head.revision = 20;
	node_answer_begin(f->node, 0, f->now_ns);
	fact(f, node_take_changed, "e/como", 15, NULL);
	fact(f, node_take_changed, "e/garda", 18, "{}");
	node_answer_end(f->node, SOURCE_OK, &head, f->now_ns);
	assert_true(f->node->ready);
	assert_true(evacuated(f, "garda"));
	assert_false(evacuated(f, "como"));
}

/* A write that was held up, or a peer that is behind, begins none anew. */
static void test_evacuation_that_is_over_stays_over(void **state)
{
	struct fixture *f = *state;

	listed(f);
	fact(f, node_take_changed, "e/garda", 11, "{}");
	assert_true(evacuated(f, "garda"));
	fact(f, node_take_changed, "e/garda", 13, NULL);
	fact(f, node_take_changed, "e/garda", 12, "{}");
	assert_false(evacuated(f, "garda"));
	fact(f, node_take_changed, "e/garda", 14, "{}");
	assert_true(evacuated(f, "garda"));
}

/* All pages as new as the first: there is nothing to wait for. */
static void test_ready_with_pages_that_are_not_old(void **state)
{
	struct fixture *f = *state;
	struct answer_head head = { .revision = 20, .more = true };

	strcpy(head.last_key, "t/1");
	pass(f, 40 * MS);
	node_answer_begin(f->node, 0, f->now_ns);
	fact(f, node_take_listed, "routes", 5, "3");
	node_answer_end(f->node, SOURCE_OK, &head, f->now_ns);
	head = (struct answer_head){ .revision = 21 };
	node_answer_begin(f->node, 0, f->now_ns);
	fact(f, node_take_listed, "t/2", 7, "x");
	node_answer_end(f->node, SOURCE_OK, &head, f->now_ns);
	assert_true(f->node->ready);
}

/*
 * Symptom: a start of many entries takes thousands of calls. Sequence: a peer
 * brings everything while the first pages are read. Cause: the rest was read.
 */
static void test_listing_ends_when_a_peer_brings_all(void **state)
{
	struct fixture *f = *state;
	struct answer_head head = { .revision = 20, .more = true };
	struct relay_head relay = { .through = { 0, 60 }, .newest = { 0, 50 } };
	struct hello h = { .from = PEER, .newest = { 0, 50 }, .boot = 1 };

	strcpy(head.last_key, "t/1");
	pass(f, 40 * MS);
	node_answer_begin(f->node, 0, f->now_ns);
	fact(f, node_take_listed, "routes", 5, "3");
	node_answer_end(f->node, SOURCE_OK, &head, f->now_ns);
	assert_int_equal(f->calls.lists, 2);
	node_receive_hello(f->node, &h, f->now_ns);
	assert_true(node_fetch_begin(f->node, &relay, f->now_ns));
	fact(f, node_take_changed, "routes", 50, "9");
	fact(f, node_take_changed, "t/3", 30, "x");
	node_fetch_end(f->node, &relay, f->now_ns);
	assert_true(f->node->ready);
	/* The page on its way would keep others from theirs. */
	assert_int_equal(f->calls.cancels, 1);
	assert_int_equal(f->calls.lists, 2);
	assert_int_equal(directory_by_id(f->node->directory, 3)->stage,
			 TARGET_SERVING);
}

static void test_bad_document_leaves_the_old_one(void **state)
{
	struct fixture *f = *state;

	listed(f);
	fact(f, node_take_changed, "routes", 12, "bad");
	assert_int_equal(directory_table(f->node->directory)->version, 3);
	assert_int_equal(f->node->counters.documents_refused, 1);
	fact(f, node_take_changed, "routes", 13, "4");
	assert_int_equal(directory_table(f->node->directory)->version, 4);
}

static void test_news_are_told_at_once(void **state)
{
	struct fixture *f = *state;
	struct hello h = { .from = PEER, .boot = 1 };
	struct answer_head head = { .revision = 20 };
	uint32_t before;

	listed(f);
	node_receive_hello(f->node, &h, f->now_ns);
	before = f->calls.hellos;
	node_answer_begin(f->node, 0, f->now_ns);
	fact(f, node_take_changed, "routes", 20, "4");
	node_answer_end(f->node, SOURCE_OK, &head, f->now_ns);
	assert_int_equal(f->calls.hellos, before + 1);
	assert_int_equal(f->calls.last.newest.revision, 20);
}

/*
 * Answers to the last requests, and next ones, at a target with one slot.
 * Return: how many wait.
 */
static uint32_t next_requests(struct fixture *f, uint32_t requests)
{
	struct target *t = directory_by_id(f->node->directory, 1);
	uint32_t wait = 0;

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
		wait += v.action == PATH_WAIT;
	}
	return wait;
}

static void load(struct fixture *f, uint32_t requests)
{
	assert_int_equal(next_requests(f, requests), 0);
}

/*
 * Symptom: a planned stop cuts flows. Sequence: the process is told to stop and
 * ends while the router still sends it packets. Cause: it did not wait for the
 * router.
 */
static void test_planned_stop_forwards_until_the_router_moved(void **state)
{
	struct fixture *f = *state;
	struct hello h = { .from = PEER, .boot = 1 };

	listed(f);
	node_receive_hello(f->node, &h, f->now_ns);
	node_stop(f->node, f->now_ns);
	assert_false(f->node->ready);
	assert_true(f->calls.last.leaving);
	for (uint32_t i = 0; i < 20; i++) {
		pass(f, 100 * MS);
		assert_false(node_may_exit(f->node, f->now_ns));
		assert_int_equal(opening(f, VIP), PATH_FORWARD);
		assert_false(f->node->ready);
	}
	pass(f, 700 * MS);
	assert_true(node_may_exit(f->node, f->now_ns));
}

/* A client's opening packet comes; its next follows a microsecond later. */
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

static void test_planned_stop_sends_what_waits(void **state)
{
	struct fixture *f = *state;

	listed(f);
	fact(f, node_take_changed, "routes", 20, "4 100");
	/* The first answer shows that the one slot takes 40 ms. */
	open_flow(f);
	load(f, 1);
	pass(f, 40 * MS);
	load(f, 1);
	pass(f, 40 * MS);
	assert_in_range(next_requests(f, 8), 1, 7);
	assert_int_equal(f->calls.sends, 0);
	node_stop(f->node, f->now_ns);
	assert_in_range(f->calls.sends, 1, 7);
	assert_int_equal(path_queued_count(f->node->path), 0);
}

static void test_planned_stop_has_an_end(void **state)
{
	struct fixture *f = *state;

	listed(f);
	node_stop(f->node, f->now_ns);
	for (uint32_t i = 0; i < 45; i++) {
		pass(f, 100 * MS);
		assert_int_equal(opening(f, VIP), PATH_FORWARD);
	}
	assert_true(node_may_exit(f->node, f->now_ns));
}

/*
 * Symptom: entries spend more on heartbeats than a node may. Sequence: many
 * targets have flows; ten peers are told of each five times a second. Cause:
 * loads went with every heartbeat whatever their number.
 */
static uint64_t heartbeat_bytes_per_s(struct fixture *f, uint32_t targets,
				      uint32_t peers, uint32_t requests)
{
	uint64_t before;

	listed(f);
	for (uint32_t i = 0; i < targets; i++) {
		char key[16];

		snprintf(key, sizeof(key), "t/%u", 100 + i);
		fact(f, node_take_changed, key, 100 + i, "x");
		directory_by_id(f->node->directory, 100 + i)->feeds = 1000;
	}
	before = f->calls.hello_bytes;
	for (uint32_t second = 0; second < 10; second++) {
		for (uint32_t i = 0; i < targets && i < 20; i++)
			for (uint32_t k = 0; k < 100; k++)
				outlier_failed(
					directory_by_id(f->node->directory,
							100 + i),
					&policy_usual, f->now_ns);
		for (uint32_t i = 0; i < 50; i++) {
			if (i % 10 == 0)
				load(f, requests);
			for (uint32_t p = 0; i % 10 == 0 && p < peers; p++) {
				struct hello h = { .from = PEER + p * 65536,
						   .zone = f->calls.last.zone,
						   .boot = 1 };

				node_receive_hello(f->node, &h, f->now_ns);
			}
			pass(f, 20 * MS);
		}
	}
	return (f->calls.hello_bytes - before) / 10;
}

static void test_heartbeats_stay_within_the_budget(void **state)
{
	assert_in_range(heartbeat_bytes_per_s(*state, 200, 20, 0), 1, 21000);
}

/* How many in a second, to one peer. */
static uint32_t heartbeats(struct fixture *f, uint32_t requests)
{
	uint32_t before = f->calls.hellos;

	for (uint32_t i = 0; i < 5; i++) {
		struct hello h = { .from = PEER,
				   .zone = f->calls.last.zone,
				   .boot = 1 };

		load(f, requests);
		node_receive_hello(f->node, &h, f->now_ns);
		pass(f, 200 * MS);
	}
	return f->calls.hellos - before;
}

/*
 * Symptom: requests wait for targets that are idle by now, or meet others that
 * came at the same time. Sequence: a target has as much to do as it can, and
 * entries learn of each other's requests five times a second. Cause: what was
 * told is older than what requests take.
 */
static void test_heartbeats_come_sooner_under_load(void **state)
{
	struct fixture *f = *state;
	uint32_t calm, loaded;

	listed(f);
	calm = heartbeats(f, 0);
	loaded = heartbeats(f, 3);
	assert_in_range(calm, 5, 6);
	assert_in_range(loaded, 12, 17);
	assert_true(f->calls.last.has_loads);
	assert_int_equal(f->calls.last.n_loads, 1);
	assert_in_range(f->calls.last.loads[0].running_centi, 200, 300);
}

static void test_heartbeats_under_load_stay_within_the_budget(void **state)
{
	assert_in_range(heartbeat_bytes_per_s(*state, 18, 3, 3), 9000, 21000);
}

static void test_many_heartbeats_under_load_stay_within_it(void **state)
{
	assert_in_range(heartbeat_bytes_per_s(*state, 200, 20, 3), 1, 21000);
}

/*
 * Symptom: an entry that has started knows no target for ever. Sequence: a peer
 * tells the targets before the configuration. Cause: a target of a service that
 * nothing had named was refused, and not looked at again.
 */
static void test_targets_before_their_configuration(void **state)
{
	struct fixture *f = *state;

	fact(f, node_take_changed, "t/1", 6, "x");
	fact(f, node_take_changed, "t/2", 7, "bad");
	assert_int_equal(directory_slots(f->node->directory), 0);
	fact(f, node_take_changed, "routes", 5, "3");
	assert_int_equal(directory_slots(f->node->directory), 1);
	assert_int_equal(f->node->counters.documents_refused, 2);
}

/*
 * Symptom: flows go to a target that nobody published. Sequence: somebody else
 * writes over its entry. Cause: what had been published before stayed in force.
 */
static void test_entry_written_over_names_no_target(void **state)
{
	struct fixture *f = *state;
	struct target *t;

	listed(f);
	t = directory_by_id(f->node->directory, 1);
	assert_int_equal(t->stage, TARGET_SERVING);
	fact(f, node_take_changed, "t/1", 20, "bad");
	assert_int_equal(t->stage, TARGET_ABSENT);
	assert_false(t->presumed);
	fact(f, node_take_changed, "t/1", 21, "x");
	assert_int_equal(t->stage, TARGET_SERVING);
}

/* The platform's answer to the call under way, of an epoch. */
static bool answered_in(struct fixture *f, uint64_t epoch, uint64_t revision,
			const char *version)
{
	struct answer_head head = { .revision = revision };
	bool joined = node_answer_begin(f->node, epoch, f->now_ns);

	if (joined)
		fact(f,
		     f->node->step == SOURCE_LIST ? node_take_listed
						  : node_take_changed,
		     "routes", revision, version);
	node_answer_end(f->node, joined ? SOURCE_OK : SOURCE_BEHIND, &head,
			f->now_ns);
	return joined;
}

static uint64_t version_of(const struct fixture *f)
{
	return directory_table(f->node->directory)->version;
}

/* It knows version 24 at revision 26 of epoch 1, and watches. */
static void before_restore(struct fixture *f)
{
	pass(f, 40 * MS);
	assert_true(answered_in(f, 1, 26, "24"));
	pass(f, 400 * MS);
	assert_int_equal(f->calls.watches, 1);
	assert_int_equal(f->calls.watch_after, 26);
}

/* Guards against a watch that misses what came before its revision. */
static void test_watch_of_another_epoch_is_no_answer(void **state)
{
	struct fixture *f = *state;

	before_restore(f);
	assert_false(answered_in(f, 2, 30, "32"));
	assert_int_equal(version_of(f), 24);
	pass(f, 40 * MS);
	assert_int_equal(f->calls.lists, 2);
	assert_true(f->calls.list_exact);
	assert_true(answered_in(f, 2, 30, "32"));
	assert_int_equal(version_of(f), 32);
	pass(f, 400 * MS);
	assert_int_equal(f->calls.watch_after, 30);
}

/* Guards against a configuration that is late: its revision was used before. */
static void test_lower_revision_of_a_later_epoch_is_in_force(void **state)
{
	struct fixture *f = *state;

	before_restore(f);
	answered_in(f, 2, 23, "14");
	pass(f, 40 * MS);
	assert_true(answered_in(f, 2, 23, "14"));
	assert_int_equal(version_of(f), 24);
	pass(f, 400 * MS);
	assert_int_equal(f->calls.watch_after, 23);
	assert_true(answered_in(f, 2, 26, "28"));
	assert_int_equal(version_of(f), 28);
}

/* Guards against answers that were under way while a peer told of the epoch. */
static void test_watch_asked_before_a_peer_told_of_the_epoch(void **state)
{
	struct fixture *f = *state;
	struct hello h = { .from = PEER, .newest = { 2, 23 }, .boot = 1 };
	struct relay_head head = { .through = { 2, 23 },
				   .newest = { 2, 23 },
				   .whole = true };

	before_restore(f);
	node_receive_hello(f->node, &h, f->now_ns);
	assert_int_equal(f->calls.fetches, 1);
	assert_true(node_fetch_begin(f->node, &head, f->now_ns));
	node_fetch_end(f->node, &head, f->now_ns);
	/* It asked after 26, and would miss 24 to 26. */
	assert_false(answered_in(f, 2, 30, "32"));
}

/* Guards against a listing of two halves that were never there together. */
static void test_pages_of_two_epochs_make_no_listing(void **state)
{
	struct fixture *f = *state;
	struct answer_head more = { .revision = 26, .more = true };

	strcpy(more.last_key, "t/1");
	pass(f, 40 * MS);
	assert_true(node_answer_begin(f->node, 1, f->now_ns));
	fact(f, node_take_listed, "routes", 5, "3");
	node_answer_end(f->node, SOURCE_OK, &more, f->now_ns);
	assert_false(answered_in(f, 2, 23, "14"));
	assert_false(f->node->ready);
	pass(f, 40 * MS);
	assert_true(answered_in(f, 2, 23, "14"));
	assert_true(f->node->ready);
}

/* Guards against a replica that lags, and a peer that has not heard of it. */
static void test_earlier_epoch_takes_nothing_back(void **state)
{
	struct fixture *f = *state;
	struct relay_head head = { .through = { 1, 90 },
				   .newest = { 1, 90 },
				   .whole = true };

	pass(f, 40 * MS);
	assert_true(answered_in(f, 2, 23, "28"));
	pass(f, 400 * MS);
	assert_false(answered_in(f, 1, 80, "30"));
	pass(f, 40 * MS);
	assert_int_equal(f->calls.lists, 2);
	assert_false(answered_in(f, 1, 80, "30"));
	assert_false(node_fetch_begin(f->node, &head, f->now_ns));
	head.whole = false;
	assert_false(node_fetch_begin(f->node, &head, f->now_ns));
	assert_int_equal(version_of(f), 28);
}

/* Guards against targets taken for gone: in a copy their entries are as old as it
 * is, and run out before they are renewed. */
static void test_entries_that_lapse_in_a_restored_store(void **state)
{
	struct fixture *f = *state;
	struct answer_head head = { .revision = 12 };

	listed(f);
	pass(f, 400 * MS);
	assert_int_equal(f->calls.watches, 1);
	/* Nobody has seen the store away. */
	assert_false(node_answer_begin(f->node, 1, f->now_ns));
	node_answer_end(f->node, SOURCE_BEHIND, &head, f->now_ns);
	pass(f, 20 * MS);
	assert_true(node_answer_begin(f->node, 1, f->now_ns));
	fact(f, node_take_listed, "routes", 5, "3");
	fact(f, node_take_listed, "t/1", 6, "x");
	node_answer_end(f->node, SOURCE_OK, &head, f->now_ns);
	fact(f, node_take_changed, "t/1", 13, NULL);
	assert_int_equal(directory_by_id(f->node->directory, 1)->stage,
			 TARGET_ABSENT);
	assert_true(directory_by_id(f->node->directory, 1)->presumed);
}

/* Guards against a newcomer that serves what only the older copy says. */
static void test_not_ready_before_it_has_what_peers_carry(void **state)
{
	struct fixture *f = *state;
	struct hello h = {
		.from = PEER, .newest = { 2, 23 }, .carried = 77, .boot = 1
	};
	struct relay_head head = { .through = { 2, 23 },
				   .newest = { 2, 23 },
				   .whole = false };
	struct document kept = doc("routes", 26, "24");

	pass(f, 40 * MS);
	/* Its first heartbeat comes while the listing is on its way. */
	node_receive_hello(f->node, &h, f->now_ns);
	node_fetch_end(f->node, NULL, f->now_ns);
	assert_true(answered_in(f, 2, 23, "14"));
	assert_false(f->node->ready);
	assert_true(node_fetch_begin(f->node, &head, f->now_ns));
	kept.epoch = 1;
	node_take_relayed(f->node, &kept);
	node_fetch_end(f->node, &head, f->now_ns);
	assert_true(f->node->ready);
	assert_int_equal(version_of(f), 24);
}

static void test_pause_drops_what_waited(void **state)
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
		TEST(test_ready_once_it_knows),
		TEST(test_not_ready_before_it_knows_what_peers_do),
		TEST(test_no_whole_state_of_a_peer_while_listing),
		TEST(test_whole_state_of_a_peer_ends_the_first_listing),
		TEST(test_ready_though_a_peer_went_on),
		TEST(test_an_answer_asks_for_none),
		TEST(test_not_ready_with_pages_that_are_old),
		TEST(test_old_page_ends_and_hides_no_evacuation),
		TEST(test_evacuation_that_is_over_stays_over),
		TEST(test_ready_with_pages_that_are_not_old),
		TEST(test_listing_ends_when_a_peer_brings_all),
		TEST(test_bad_document_leaves_the_old_one),
		TEST(test_news_are_told_at_once),
		TEST(test_planned_stop_forwards_until_the_router_moved),
		TEST(test_planned_stop_sends_what_waits),
		TEST(test_planned_stop_has_an_end),
		TEST(test_heartbeats_stay_within_the_budget),
		TEST(test_heartbeats_come_sooner_under_load),
		TEST(test_heartbeats_under_load_stay_within_the_budget),
		TEST(test_many_heartbeats_under_load_stay_within_it),
		TEST(test_targets_before_their_configuration),
		TEST(test_entry_written_over_names_no_target),
		TEST(test_entries_that_lapse_in_a_restored_store),
		TEST(test_watch_of_another_epoch_is_no_answer),
		TEST(test_lower_revision_of_a_later_epoch_is_in_force),
		TEST(test_watch_asked_before_a_peer_told_of_the_epoch),
		TEST(test_pages_of_two_epochs_make_no_listing),
		TEST(test_earlier_epoch_takes_nothing_back),
		TEST(test_not_ready_before_it_has_what_peers_carry),
		TEST(test_pause_drops_what_waited),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
