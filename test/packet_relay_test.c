/* Relay of documents between entries, whole and as deltas. */
#include "relay_codec.h"

#include <errno.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdlib.h>
#include <string.h>
#include <cmocka.h>

#define NOW_NS NS_PER_S
#define LARGE_BYTES 250000
#define KEY "configuration"

static bool ignore_change(void *ctx, const struct document *d)
{
	(void)ctx;
	(void)d;
	return true;
}

static int no_order(void *ctx, const struct document *d)
{
	(void)ctx;
	(void)d;
	return 0;
}

static const struct documents_expiry expiry = { NS_PER_S, NS_PER_S };

static struct position at(uint64_t revision)
{
	return (struct position){ 0, revision };
}

static void collect(void *ctx, const struct document *d)
{
	documents_put(ctx, d, DOCUMENT_CHANGED, NOW_NS);
}

static bool begin_collect(void *ctx, const struct relay_head *head,
			  struct document_sink *to)
{
	(void)head;
	*to = (struct document_sink){ ctx, collect };
	return true;
}

static bool refuse(void *ctx, const struct relay_head *head,
		   struct document_sink *to)
{
	(void)ctx;
	(void)head;
	(void)to;
	return false;
}

static struct document_value value_at(void *ctx, uint64_t key_hash,
				      struct position since)
{
	return documents_value_at(ctx, key_hash, since);
}

static void test_relay_sends_documents_that_peer_lacks(void **state)
{
	struct documents_port port = { NULL, ignore_change, no_order };
	struct documents *from = documents_new(port, expiry);
	struct documents *to = documents_new(port, expiry);
	struct document d = { .key = "a", .revision = 3, .created = 3 };
	GString *body = g_string_new(NULL);
	struct relay_base none = { 0 };
	struct relay_delta_cache delta = { 0 };
	struct relay_head head;

	(void)state;
	d.value = (uint8_t *)"one";
	d.size_bytes = 3;
	documents_put(from, &d, DOCUMENT_CHANGED, 1);
	strcpy(d.key, "b");
	d.revision = 5;
	documents_put(from, &d, DOCUMENT_CHANGED, 1);
	documents_advance_synced(from, at(6), NOW_NS);
	relay_encode(from, at(3), &none, &delta, body);
	assert_int_equal(
		relay_decode((uint8_t *)body->str, (uint32_t)body->len,
			     (struct relay_receiver){ to, refuse, value_at },
			     &head),
		-EBUSY);
	assert_int_equal(documents_count(to), 0);
	assert_int_equal(relay_decode((uint8_t *)body->str, (uint32_t)body->len,
				      (struct relay_receiver){
					      to, begin_collect, value_at },
				      &head),
			 0);
	assert_int_equal(head.through.revision, 6);
	assert_int_equal(head.newest.revision, 5);
	assert_false(head.is_full_state);
	assert_int_equal(documents_count(to), 1);
	assert_string_equal(documents_at(to, 0)->key, "b");
	for (uint32_t i = 0; i < body->len; i++)
		assert_int_not_equal(
			relay_decode((uint8_t *)body->str, i,
				     (struct relay_receiver){ to, begin_collect,
							      value_at },
				     &head),
			0);
	g_string_free(body, TRUE);
	documents_free(from);
	documents_free(to);
}

/* Puts a value of which a few bytes depend on the revision. */
static void put_value(struct documents *s, uint64_t revision,
		      uint32_t size_bytes)
{
	struct document d = { .key = KEY,
			      .revision = revision,
			      .created = 1,
			      .size_bytes = size_bytes };
	struct rng rng = { 77 };

	d.value = malloc(size_bytes);
	for (uint32_t i = 0; i < size_bytes; i++)
		d.value[i] = (uint8_t)rng_next(&rng);
	memcpy(d.value + size_bytes / 2, &revision, sizeof(revision));
	documents_put(s, &d, DOCUMENT_CHANGED, NOW_NS);
	documents_advance_synced(s, at(revision), NOW_NS);
	free(d.value);
}

static void put_large(struct documents *s, uint64_t revision)
{
	put_value(s, revision, LARGE_BYTES);
}

struct pair {
	struct documents *from;
	struct documents *to;
	struct relay_delta_cache delta;
	GString *body;
};

static int setup(void **state)
{
	struct documents_port port = { NULL, ignore_change, no_order };
	struct pair *p = g_new0(struct pair, 1);

	p->from = documents_new(port, expiry);
	p->to = documents_new(port, expiry);
	p->body = g_string_new(NULL);
	*state = p;
	return 0;
}

static int teardown(void **state)
{
	struct pair *p = *state;

	documents_free(p->from);
	documents_free(p->to);
	g_string_free(p->body, TRUE);
	if (p->delta.bytes)
		g_string_free(p->delta.bytes, TRUE);
	g_free(p);
	return 0;
}

/* @p->to fetches the documents that it lacks from @p->from. */
static int fetch(struct pair *p)
{
	struct relay_base base = relay_select_base(p->to);
	struct relay_head head;
	int err;

	relay_encode(p->from, documents_synced(p->to), &base, &p->delta,
		     p->body);
	err = relay_decode((uint8_t *)p->body->str, (uint32_t)p->body->len,
			   (struct relay_receiver){ p->to, begin_collect,
						    value_at },
			   &head);
	if (!err)
		documents_advance_synced(p->to, head.through, NOW_NS);
	return err;
}

static void assert_same(const struct pair *p)
{
	const struct document *a = documents_at(p->from, 0);
	const struct document *b = documents_at(p->to, 0);

	assert_int_equal(a->revision, b->revision);
	assert_int_equal(a->size_bytes, b->size_bytes);
	assert_memory_equal(a->value, b->value, a->size_bytes);
}

/* An entry that starts would have no configuration, and one that runs would keep
 * the earlier one, if the largest value did not fit into a peer's answer. */
static void test_largest_value_passes_a_peer(void **state)
{
	struct pair *p = *state;

	for (uint32_t i = 0; i < 3; i++) {
		put_value(p->from, 5 + i, (1 << 20) - 2 + i);
		assert_int_equal(fetch(p), 0);
		assert_same(p);
	}
}

/*
 * On links of 2 Mbit/s, a leaving target gets flows for five more seconds. A
 * configuration of 1,250 routes changes three times a second, and sending it
 * whole to every VM fills the links.
 */
static void test_change_of_large_document_is_sent_as_delta(void **state)
{
	struct pair *p = *state;

	put_large(p->from, 5);
	assert_int_equal(fetch(p), 0);
	assert_true(p->body->len > LARGE_BYTES / 2);
	assert_same(p);
	put_large(p->from, 9);
	assert_int_equal(fetch(p), 0);
	assert_in_range(p->body->len, 1, 1000);
	assert_same(p);
}

static void test_two_changes_are_sent_as_one_delta(void **state)
{
	struct pair *p = *state;

	put_large(p->from, 5);
	fetch(p);
	put_large(p->from, 7);
	put_large(p->from, 9);
	assert_int_equal(fetch(p), 0);
	assert_in_range(p->body->len, 1, 1000);
	assert_same(p);
}

static void test_value_is_sent_whole_to_peer_far_behind(void **state)
{
	struct pair *p = *state;

	put_large(p->from, 5);
	fetch(p);
	for (uint64_t i = 6; i < 7 + DOCUMENT_EARLIER_MAX; i++)
		put_large(p->from, i);
	assert_int_equal(fetch(p), 0);
	assert_true(p->body->len > LARGE_BYTES / 2);
	assert_same(p);
}

static void test_expired_base_is_sent_whole(void **state)
{
	struct pair *p = *state;

	put_large(p->from, 5);
	fetch(p);
	put_large(p->from, 9);
	documents_tick(p->from, NOW_NS + 60 * NS_PER_S);
	assert_int_equal(fetch(p), 0);
	assert_true(p->body->len > LARGE_BYTES / 2);
	assert_same(p);
}

/* The asking entry got a later change from another peer meanwhile. */
static void test_delta_applies_when_base_is_no_longer_current(void **state)
{
	struct pair *p = *state;
	struct relay_base base;
	struct relay_head head;

	put_large(p->from, 5);
	fetch(p);
	base = relay_select_base(p->to);
	put_large(p->from, 9);
	relay_encode(p->from, documents_synced(p->to), &base, &p->delta,
		     p->body);
	put_large(p->to, 8);
	assert_int_equal(relay_decode((uint8_t *)p->body->str,
				      (uint32_t)p->body->len,
				      (struct relay_receiver){
					      p->to, begin_collect, value_at },
				      &head),
			 0);
	assert_same(p);
}

static void test_delta_of_unknown_base_is_rejected(void **state)
{
	struct pair *p = *state;
	struct relay_base base;
	struct relay_head head;

	put_large(p->from, 5);
	base = relay_select_base(p->from);
	put_large(p->from, 9);
	relay_encode(p->from, at(5), &base, &p->delta, p->body);
	assert_int_equal(relay_decode((uint8_t *)p->body->str,
				      (uint32_t)p->body->len,
				      (struct relay_receiver){
					      p->to, begin_collect, value_at },
				      &head),
			 -ESTALE);
	assert_int_equal(documents_count(p->to), 0);
}

/* A delta must not be applied to a value that only has the same revision. */
static void test_base_of_other_epoch_is_ignored(void **state)
{
	struct pair *p = *state;
	struct relay_base base;

	put_large(p->from, 5);
	base = relay_select_base(p->from);
	base.since.epoch = 1;
	put_large(p->from, 9);
	relay_encode(p->from, at(5), &base, &p->delta, p->body);
	assert_true(p->body->len > LARGE_BYTES / 2);
}

/* Links must not be filled with a configuration that the peer has already. */
static void test_retained_document_that_peer_has_is_not_sent(void **state)
{
	struct pair *p = *state;

	put_large(p->from, 5);
	assert_int_equal(fetch(p), 0);
	documents_advance_synced(p->from, (struct position){ 2, 23 }, NOW_NS);
	documents_advance_synced(p->to, (struct position){ 2, 23 }, NOW_NS);
	assert_int_equal(fetch(p), 0);
	assert_true(p->body->len < 100);
	assert_same(p);
}

/* After a restore the configuration must not be sent whole to every entry. */
static void test_unchanged_document_of_new_epoch_is_sent_as_delta(void **state)
{
	struct position restored = { 2, 4 };
	struct pair *p = *state;
	struct document d;

	put_large(p->from, 5);
	assert_int_equal(fetch(p), 0);
	d = *documents_at(p->from, 0);
	d.epoch = restored.epoch;
	d.revision = restored.revision;
	documents_list_begin(p->from);
	documents_put(p->from, &d, DOCUMENT_LISTED, NOW_NS);
	documents_list_end(p->from, restored, restored, NOW_NS);
	documents_advance_synced(p->from, restored, NOW_NS);
	assert_int_equal(fetch(p), 0);
	assert_true(p->body->len < 1000);
	assert_same(p);
	assert_int_equal(documents_at(p->to, 0)->epoch, 2);
}

static void count_large(void *ctx, const struct document *d)
{
	*(uint32_t *)ctx += d->size_bytes == LARGE_BYTES;
}

static struct documents *asking;

static struct document_value value_of_asking(void *ctx, uint64_t key_hash,
					     struct position since)
{
	(void)ctx;
	return documents_value_at(asking, key_hash, since);
}

static bool begin_count(void *ctx, const struct relay_head *head,
			struct document_sink *to)
{
	(void)head;
	*to = (struct document_sink){ ctx, count_large };
	return true;
}

/*
 * A full state must contain the configuration that the peer has, since the peer
 * deletes what it lacks, but must not fill the link with its value.
 */
static void test_full_state_names_document_that_peer_has(void **state)
{
	struct pair *p = *state;
	struct relay_base base;
	struct relay_head head;
	uint32_t named = 0;

	put_large(p->from, 5);
	assert_int_equal(fetch(p), 0);
	base = relay_select_base(p->to);
	documents_advance_synced(p->from, (struct position){ 2, 23 }, NOW_NS);
	relay_encode(p->from, documents_synced(p->to), &base, &p->delta,
		     p->body);
	asking = p->to;
	assert_int_equal(
		relay_decode((uint8_t *)p->body->str, (uint32_t)p->body->len,
			     (struct relay_receiver){ &named, begin_count,
						      value_of_asking },
			     &head),
		0);
	assert_true(head.is_full_state);
	assert_int_equal(named, 1);
	assert_true(p->body->len < 1000);
}

/* A new entry must not delete a document of which the copy has an older
 * version. */
static void test_relay_sends_position_of_stale_version_at_platform(void **state)
{
	struct document d = { .key = "a",
			      .epoch = 1,
			      .revision = 26,
			      .stale_at = { 2, 20 },
			      .value = (uint8_t *)"24",
			      .size_bytes = 2 };
	struct pair *p = *state;

	documents_put(p->from, &d, DOCUMENT_CHANGED, NOW_NS);
	documents_advance_synced(p->from, (struct position){ 2, 23 }, NOW_NS);
	assert_int_equal(fetch(p), 0);
	assert_int_equal(documents_at(p->to, 0)->epoch, 1);
	assert_int_equal(documents_at(p->to, 0)->stale_at.epoch, 2);
	documents_tick(p->to, NOW_NS + 60 * NS_PER_S);
	assert_false(documents_at(p->to, 0)->deleted);
}

/* A delta that many peers ask for is encoded once. */
static void test_delta_is_cached(void **state)
{
	struct pair *p = *state;
	struct relay_base base;
	const GString *first;

	put_large(p->from, 5);
	base = relay_select_base(p->from);
	put_large(p->from, 9);
	relay_encode(p->from, at(5), &base, &p->delta, p->body);
	first = p->delta.bytes;
	assert_int_equal(p->delta.to.revision, 9);
	p->delta.bytes->str[0] ^= 1;
	relay_encode(p->from, at(5), &base, &p->delta, p->body);
	assert_ptr_equal(p->delta.bytes, first);
	put_large(p->from, 11);
	relay_encode(p->from, at(5), &base, &p->delta, p->body);
	assert_int_equal(p->delta.to.revision, 11);
	put_large(p->to, 5);
	assert_int_equal(fetch(p), 0);
	assert_same(p);
}

static void test_truncated_deltas_are_rejected(void **state)
{
	struct pair *p = *state;
	struct relay_head head;

	put_large(p->from, 5);
	fetch(p);
	put_large(p->from, 9);
	fetch(p);
	for (uint32_t i = 0; i < p->body->len; i++)
		assert_int_not_equal(
			relay_decode((uint8_t *)p->body->str, i,
				     (struct relay_receiver){
					     p->to, begin_collect, value_at },
				     &head),
			0);
}

#define TEST(name) cmocka_unit_test_setup_teardown(name, setup, teardown)

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test_setup_teardown(
			test_retained_document_that_peer_has_is_not_sent, setup,
			teardown),
		cmocka_unit_test_setup_teardown(
			test_unchanged_document_of_new_epoch_is_sent_as_delta,
			setup, teardown),
		cmocka_unit_test_setup_teardown(
			test_full_state_names_document_that_peer_has, setup,
			teardown),
		cmocka_unit_test_setup_teardown(
			test_relay_sends_position_of_stale_version_at_platform,
			setup, teardown),
		cmocka_unit_test_setup_teardown(
			test_base_of_other_epoch_is_ignored, setup, teardown),
		cmocka_unit_test_setup_teardown(
			test_largest_value_passes_a_peer, setup, teardown),
		cmocka_unit_test(test_relay_sends_documents_that_peer_lacks),
		TEST(test_change_of_large_document_is_sent_as_delta),
		TEST(test_two_changes_are_sent_as_one_delta),
		TEST(test_value_is_sent_whole_to_peer_far_behind),
		TEST(test_expired_base_is_sent_whole),
		TEST(test_delta_applies_when_base_is_no_longer_current),
		TEST(test_delta_of_unknown_base_is_rejected),
		TEST(test_delta_is_cached),
		TEST(test_truncated_deltas_are_rejected),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
