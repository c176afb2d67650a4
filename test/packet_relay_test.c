/* Documents between entries: whole, and as what changed. */
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

static bool ignore(void *ctx, const struct document *d)
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

static const struct documents_times kept = { NS_PER_S, NS_PER_S };

static struct position at(uint64_t revision)
{
	return (struct position){ 0, revision };
}

static void collect(void *ctx, const struct document *d)
{
	documents_put(ctx, d, DOCUMENT_CHANGED, NOW_NS);
}

static bool begin(void *ctx, const struct relay_head *head,
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

static struct document_value known(void *ctx, uint64_t key_hash,
				   struct position since)
{
	return documents_value(ctx, key_hash, since);
}

static void test_relay_brings_what_is_missing(void **state)
{
	struct documents_port nobody = { NULL, ignore, no_order };
	struct documents *from = documents_new(nobody, kept);
	struct documents *to = documents_new(nobody, kept);
	struct document d = { .key = "a", .revision = 3, .created = 3 };
	GString *body = g_string_new(NULL);
	struct relay_base none = { 0 };
	struct relay_delta delta = { 0 };
	struct relay_head head;

	(void)state;
	d.value = (uint8_t *)"one";
	d.size_bytes = 3;
	documents_put(from, &d, DOCUMENT_CHANGED, 1);
	strcpy(d.key, "b");
	d.revision = 5;
	documents_put(from, &d, DOCUMENT_CHANGED, 1);
	documents_covered(from, at(6), NOW_NS);
	relay_encode(from, at(3), &none, &delta, body);
	assert_int_equal(relay_decode((uint8_t *)body->str, (uint32_t)body->len,
				      (struct relay_port){ to, refuse, known },
				      &head),
			 -EBUSY);
	assert_int_equal(documents_count(to), 0);
	assert_int_equal(relay_decode((uint8_t *)body->str, (uint32_t)body->len,
				      (struct relay_port){ to, begin, known },
				      &head),
			 0);
	assert_int_equal(head.through.revision, 6);
	assert_int_equal(head.newest.revision, 5);
	assert_false(head.whole);
	assert_int_equal(documents_count(to), 1);
	assert_string_equal(documents_at(to, 0)->key, "b");
	for (uint32_t i = 0; i < body->len; i++)
		assert_int_not_equal(
			relay_decode((uint8_t *)body->str, i,
				     (struct relay_port){ to, begin, known },
				     &head),
			0);
	g_string_free(body, TRUE);
	documents_free(from);
	documents_free(to);
}

/* A large value of which a few bytes differ by revision. */
static void put_large(struct documents *s, uint64_t revision)
{
	struct document d = { .key = KEY,
			      .revision = revision,
			      .created = 1,
			      .size_bytes = LARGE_BYTES };
	struct rng rng = { 77 };

	d.value = malloc(LARGE_BYTES);
	for (uint32_t i = 0; i < LARGE_BYTES; i++)
		d.value[i] = (uint8_t)rng_next(&rng);
	memcpy(d.value + LARGE_BYTES / 2, &revision, sizeof(revision));
	documents_put(s, &d, DOCUMENT_CHANGED, NOW_NS);
	documents_covered(s, at(revision), NOW_NS);
	free(d.value);
}

struct pair {
	struct documents *from;
	struct documents *to;
	struct relay_delta delta;
	GString *body;
};

static int setup(void **state)
{
	struct documents_port nobody = { NULL, ignore, no_order };
	struct pair *p = g_new0(struct pair, 1);

	p->from = documents_new(nobody, kept);
	p->to = documents_new(nobody, kept);
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

/* @p->to asks @p->from for what it lacks. */
static int fetch(struct pair *p)
{
	struct relay_base base = relay_base(p->to);
	struct relay_head head;
	int err;

	relay_encode(p->from, documents_through(p->to), &base, &p->delta,
		     p->body);
	err = relay_decode((uint8_t *)p->body->str, (uint32_t)p->body->len,
			   (struct relay_port){ p->to, begin, known }, &head);
	if (!err)
		documents_covered(p->to, head.through, NOW_NS);
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

/*
 * Symptom: a leaving target gets flows five seconds later, on links of 2
 * Mbit/s. Sequence: a configuration of 1,250 routes changes three times a
 * second; each change goes to every VM whole, and the links are full with it.
 * Cause: what had not changed was sent again.
 */
static void test_a_change_is_small(void **state)
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

static void test_two_changes_at_once(void **state)
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

static void test_far_behind_it_goes_whole(void **state)
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

static void test_earlier_values_are_forgotten(void **state)
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

/* The asking VM had the change from somebody else meanwhile, and more. */
static void test_base_that_moved_on_meanwhile(void **state)
{
	struct pair *p = *state;
	struct relay_base base;
	struct relay_head head;

	put_large(p->from, 5);
	fetch(p);
	base = relay_base(p->to);
	put_large(p->from, 9);
	relay_encode(p->from, documents_through(p->to), &base, &p->delta,
		     p->body);
	put_large(p->to, 8);
	assert_int_equal(
		relay_decode((uint8_t *)p->body->str, (uint32_t)p->body->len,
			     (struct relay_port){ p->to, begin, known }, &head),
		0);
	assert_same(p);
}

static void test_base_that_is_not_known_is_refused(void **state)
{
	struct pair *p = *state;
	struct relay_base base;
	struct relay_head head;

	put_large(p->from, 5);
	base = relay_base(p->from);
	put_large(p->from, 9);
	relay_encode(p->from, at(5), &base, &p->delta, p->body);
	assert_int_equal(
		relay_decode((uint8_t *)p->body->str, (uint32_t)p->body->len,
			     (struct relay_port){ p->to, begin, known }, &head),
		-ESTALE);
	assert_int_equal(documents_count(p->to), 0);
}

/* Guards against a change applied to a value that only shares its revision. */
static void test_base_of_another_epoch_is_no_base(void **state)
{
	struct pair *p = *state;
	struct relay_base base;

	put_large(p->from, 5);
	base = relay_base(p->from);
	base.since.epoch = 1;
	put_large(p->from, 9);
	relay_encode(p->from, at(5), &base, &p->delta, p->body);
	assert_true(p->body->len > LARGE_BYTES / 2);
}

/* Guards against links filled with a configuration that the peer has already. */
static void test_carried_document_that_the_peer_has_is_not_sent(void **state)
{
	struct pair *p = *state;

	put_large(p->from, 5);
	assert_int_equal(fetch(p), 0);
	documents_covered(p->from, (struct position){ 2, 23 }, NOW_NS);
	documents_covered(p->to, (struct position){ 2, 23 }, NOW_NS);
	assert_int_equal(fetch(p), 0);
	assert_true(p->body->len < 100);
	assert_same(p);
}

/* Guards against every link filled with the configuration after a restore. */
static void test_unchanged_document_of_a_later_epoch_is_small(void **state)
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
	documents_covered(p->from, restored, NOW_NS);
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

static struct document_value asking_knows(void *ctx, uint64_t key_hash,
					  struct position since)
{
	(void)ctx;
	return documents_value(asking, key_hash, since);
}

static bool begin_count(void *ctx, const struct relay_head *head,
			struct document_sink *to)
{
	(void)head;
	*to = (struct document_sink){ ctx, count_large };
	return true;
}

/* Guards against a configuration that a peer's whole state leaves out, and
 * against links filled with one that the peer has. */
static void test_whole_state_names_what_the_peer_has(void **state)
{
	struct pair *p = *state;
	struct relay_base base;
	struct relay_head head;
	uint32_t named = 0;

	put_large(p->from, 5);
	assert_int_equal(fetch(p), 0);
	base = relay_base(p->to);
	documents_covered(p->from, (struct position){ 2, 23 }, NOW_NS);
	relay_encode(p->from, documents_through(p->to), &base, &p->delta,
		     p->body);
	asking = p->to;
	assert_int_equal(relay_decode((uint8_t *)p->body->str,
				      (uint32_t)p->body->len,
				      (struct relay_port){ &named, begin_count,
							   asking_knows },
				      &head),
			 0);
	assert_true(head.whole);
	assert_int_equal(named, 1);
	assert_true(p->body->len < 1000);
}

/* Guards against a newcomer that ends what a copy has less of. */
static void test_relay_tells_what_is_outdated_at_the_platform(void **state)
{
	struct document d = { .key = "a",
			      .epoch = 1,
			      .revision = 26,
			      .outdated = { 2, 20 },
			      .value = (uint8_t *)"24",
			      .size_bytes = 2 };
	struct pair *p = *state;

	documents_put(p->from, &d, DOCUMENT_CHANGED, NOW_NS);
	documents_covered(p->from, (struct position){ 2, 23 }, NOW_NS);
	assert_int_equal(fetch(p), 0);
	assert_int_equal(documents_at(p->to, 0)->epoch, 1);
	assert_int_equal(documents_at(p->to, 0)->outdated.epoch, 2);
	documents_tick(p->to, NOW_NS + 60 * NS_PER_S);
	assert_false(documents_at(p->to, 0)->deleted);
}

/* The same change asked for by many is encoded once. */
static void test_change_is_kept(void **state)
{
	struct pair *p = *state;
	struct relay_base base;
	const GString *first;

	put_large(p->from, 5);
	base = relay_base(p->from);
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

static void test_cut_changes_are_refused(void **state)
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
				     (struct relay_port){ p->to, begin, known },
				     &head),
			0);
}

#define TEST(name) cmocka_unit_test_setup_teardown(name, setup, teardown)

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test_setup_teardown(
			test_carried_document_that_the_peer_has_is_not_sent,
			setup, teardown),
		cmocka_unit_test_setup_teardown(
			test_unchanged_document_of_a_later_epoch_is_small,
			setup, teardown),
		cmocka_unit_test_setup_teardown(
			test_whole_state_names_what_the_peer_has, setup,
			teardown),
		cmocka_unit_test_setup_teardown(
			test_relay_tells_what_is_outdated_at_the_platform,
			setup, teardown),
		cmocka_unit_test_setup_teardown(
			test_base_of_another_epoch_is_no_base, setup, teardown),
		cmocka_unit_test(test_relay_brings_what_is_missing),
		TEST(test_a_change_is_small),
		TEST(test_two_changes_at_once),
		TEST(test_far_behind_it_goes_whole),
		TEST(test_earlier_values_are_forgotten),
		TEST(test_base_that_moved_on_meanwhile),
		TEST(test_base_that_is_not_known_is_refused),
		TEST(test_change_is_kept),
		TEST(test_cut_changes_are_refused),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
