/*
 * Merging of published documents by position: no document goes back to an
 * earlier version, and no deletion is missed.
 */
#include "documents.h"

#include <errno.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdlib.h>
#include <string.h>
#include <cmocka.h>

#define KEEP_DELETED_NS (60 * NS_PER_S)
#define RETAIN_NS (2 * NS_PER_S)

static uint32_t change_count;

static bool on_change(void *ctx, const struct document *d)
{
	(void)ctx;
	(void)d;
	change_count++;
	return true;
}

static int no_order(void *ctx, const struct document *d)
{
	(void)ctx;
	(void)d;
	return 0;
}

static struct documents *new_documents(void)
{
	struct documents_port port = { NULL, on_change, no_order };
	struct documents_expiry expiry = { KEEP_DELETED_NS, RETAIN_NS };

	change_count = 0;
	return documents_new(port, expiry);
}

static struct position at(uint64_t revision)
{
	return (struct position){ 0, revision };
}

static struct document version(const char *key, uint64_t revision,
			       const char *value)
{
	struct document d = { .revision = revision, .created = 1 };

	strcpy(d.key, key);
	d.deleted = !value;
	d.value = (uint8_t *)value;
	d.size_bytes = value ? (uint32_t)strlen(value) : 0;
	return d;
}

static int put(struct documents *s, const char *key, uint64_t revision,
	       const char *value, enum document_origin origin)
{
	struct document d = version(key, revision, value);

	return documents_put(s, &d, origin, NS_PER_S);
}

static const struct document *find(const struct documents *s, const char *key)
{
	for (uint32_t i = 0; i < documents_count(s); i++)
		if (!strcmp(documents_at(s, i)->key, key))
			return documents_at(s, i);
	return NULL;
}

static void test_later_version_wins_in_any_order(void **state)
{
	struct documents *s = new_documents();

	(void)state;
	assert_int_equal(put(s, "a", 5, "five", DOCUMENT_CHANGED), 0);
	assert_int_equal(put(s, "a", 3, "three", DOCUMENT_CHANGED), -EALREADY);
	assert_int_equal(put(s, "a", 5, "other", DOCUMENT_CHANGED), -EALREADY);
	assert_string_equal((char *)find(s, "a")->value, "five");
	assert_int_equal(change_count, 1);
	assert_int_equal(put(s, "a", 7, NULL, DOCUMENT_CHANGED), 0);
	assert_int_equal(put(s, "a", 6, "late", DOCUMENT_CHANGED), -EALREADY);
	assert_true(find(s, "a")->deleted);
	/* Open flows still need the last value. */
	assert_string_equal((char *)find(s, "a")->value, "five");
	documents_free(s);
}

static void test_listing_deletes_missing_documents(void **state)
{
	struct documents *s = new_documents();

	(void)state;
	put(s, "a", 2, "x", DOCUMENT_CHANGED);
	put(s, "b", 3, "x", DOCUMENT_CHANGED);
	put(s, "new", 12, "x", DOCUMENT_CHANGED);
	documents_list_begin(s);
	put(s, "a", 2, "x", DOCUMENT_LISTED);
	documents_list_end(s, at(10), at(10), NS_PER_S);
	assert_false(find(s, "a")->deleted);
	assert_true(find(s, "b")->deleted);
	/* Created after the first page was read. */
	assert_false(find(s, "new")->deleted);
	assert_int_equal(documents_complete(s).revision, 10);
	/* Its pages may have been stale. */
	assert_int_equal(documents_synced(s).revision, 0);
	documents_advance_synced(s, at(10), NS_PER_S);
	assert_int_equal(documents_synced(s).revision, 10);
	documents_free(s);
}

/*
 * A target that is gone gets flows as long as the process runs. The platform is
 * listed over several pages, and between two of them a peer with older
 * documents sends the target's entry, which the listing lacks. The entry must
 * not count as listed.
 */
static void test_peer_update_between_pages_hides_no_deletion(void **state)
{
	struct documents *s = new_documents();

	(void)state;
	put(s, "a", 2, "x", DOCUMENT_CHANGED);
	put(s, "b", 3, "x", DOCUMENT_CHANGED);
	documents_list_begin(s);
	put(s, "a", 2, "x", DOCUMENT_LISTED);
	put(s, "b", 3, "x", DOCUMENT_CHANGED);
	documents_list_end(s, at(10), at(10), NS_PER_S);
	assert_true(find(s, "b")->deleted);
	documents_free(s);
}

/* Entries that start would refuse the state of a peer without end: it was encoded
 * before the peer had a position, and sent again afterwards. */
static void test_new_position_invalidates_encoded_state(void **state)
{
	struct documents *s = new_documents();
	uint64_t before;

	(void)state;
	put(s, "a", 2, "x", DOCUMENT_CHANGED);
	before = documents_change_count(s);
	documents_advance_synced(s, at(2), NS_PER_S);
	assert_true(documents_change_count(s) > before);
	before = documents_change_count(s);
	documents_advance_synced(s, at(5), NS_PER_S);
	assert_int_equal(documents_change_count(s), before);
	documents_free(s);
}

static void test_expired_deletion_raises_floor(void **state)
{
	struct documents *s = new_documents();

	(void)state;
	put(s, "a", 2, "x", DOCUMENT_CHANGED);
	put(s, "a", 4, NULL, DOCUMENT_CHANGED);
	documents_advance_synced(s, at(4), NS_PER_S);
	documents_tick(s, NS_PER_S + KEEP_DELETED_NS - 1);
	assert_non_null(find(s, "a"));
	documents_tick(s, NS_PER_S + KEEP_DELETED_NS);
	assert_null(find(s, "a"));
	assert_int_equal(documents_floor(s).revision, 4);
	assert_int_equal(documents_newest(s).revision, 4);
	documents_free(s);
}

/* Puts a version of the given epoch. */
static int put_in_epoch(struct documents *s, uint64_t epoch, const char *key,
			uint64_t revision, const char *value,
			enum document_origin origin)
{
	struct document d = version(key, revision, value);

	d.epoch = epoch;
	return documents_put(s, &d, origin, NS_PER_S);
}

static struct documents *compared;

/* Values are numbers that grow, like the versions of a configuration; @ctx
 * points to the documents to compare with. */
static int compare_numbers(void *ctx, const struct document *d)
{
	const struct document *last = find(*(struct documents **)ctx, d->key);
	int a = atoi((const char *)d->value);
	int b = last ? atoi((const char *)last->value) : a;

	return (a > b) - (a < b);
}

/* One key at revision 26 of epoch 1, which is synced up to there. */
static struct documents *
new_documents_before_restore(struct documents_port port)
{
	struct documents_expiry expiry = { KEEP_DELETED_NS, RETAIN_NS };
	struct documents *s = documents_new(port, expiry);

	put_in_epoch(s, 1, "a", 26, "24", DOCUMENT_CHANGED);
	documents_advance_synced(s, (struct position){ 1, 26 }, NS_PER_S);
	change_count = 0;
	return s;
}

static void list_restored_copy(struct documents *s, const char *value)
{
	documents_list_begin(s);
	if (value)
		put_in_epoch(s, 2, "a", 20, value, DOCUMENT_LISTED);
	documents_list_end(s, (struct position){ 2, 23 },
			   (struct position){ 2, 23 }, NS_PER_S);
	documents_advance_synced(s, (struct position){ 2, 23 }, NS_PER_S);
}

/* A change must not count as old because an earlier epoch used its revision. */
static void test_reused_revision_of_new_epoch_is_stored(void **state)
{
	struct documents_port port = { NULL, on_change, no_order };
	struct documents *s = new_documents_before_restore(port);

	(void)state;
	list_restored_copy(s, "24");
	assert_int_equal(documents_synced(s).revision, 23);
	assert_int_equal(put_in_epoch(s, 2, "a", 26, "28", DOCUMENT_CHANGED),
			 0);
	assert_string_equal((char *)find(s, "a")->value, "28");
	assert_int_equal(put_in_epoch(s, 1, "a", 27, "26", DOCUMENT_CHANGED),
			 -EALREADY);
	assert_int_equal(documents_newest(s).revision, 23);
	documents_advance_synced(s, (struct position){ 2, 26 }, NS_PER_S);
	assert_int_equal(documents_newest(s).revision, 26);
	documents_free(s);
}

/* A document that the restored copy has unchanged must not be reported. */
static void test_unchanged_document_is_not_reported_after_restore(void **state)
{
	struct documents_port port = { NULL, on_change, no_order };
	struct documents *s = new_documents_before_restore(port);

	(void)state;
	list_restored_copy(s, "24");
	assert_int_equal(change_count, 0);
	assert_int_equal(documents_retained_digest(s), 0);
	documents_free(s);
}

/* An acknowledged document must not be deleted because the platform lost it. */
static void
test_document_lost_in_restore_is_retained_for_limited_time(void **state)
{
	struct documents_port port = { NULL, on_change, no_order };
	struct documents *s = new_documents_before_restore(port);

	(void)state;
	list_restored_copy(s, NULL);
	assert_false(find(s, "a")->deleted);
	assert_int_not_equal(documents_retained_digest(s), 0);
	documents_tick(s, NS_PER_S + RETAIN_NS - 1);
	assert_false(find(s, "a")->deleted);
	documents_tick(s, NS_PER_S + RETAIN_NS);
	assert_true(find(s, "a")->deleted);
	assert_int_equal(documents_retained_digest(s), 0);
	/* A later write creates it again. */
	assert_int_equal(put_in_epoch(s, 2, "a", 24, "24", DOCUMENT_CHANGED),
			 0);
	assert_false(find(s, "a")->deleted);
	documents_free(s);
}

/* Peers must not relay a lost document to each other without end. */
static void test_retention_ends_at_earliest_known_epoch_start(void **state)
{
	struct documents_port port = { NULL, on_change, no_order };
	struct documents *s = new_documents_before_restore(port);

	(void)state;
	list_restored_copy(s, NULL);
	documents_lower_epoch_start(s, 1, 0);
	documents_tick(s, NS_PER_S + 1);
	assert_false(find(s, "a")->deleted);
	documents_lower_epoch_start(s, 2, NS_PER_S / 2);
	documents_tick(s, NS_PER_S / 2 + RETAIN_NS);
	assert_true(find(s, "a")->deleted);
	documents_free(s);
}

/* A configuration must not go back when the platform is restored. */
static void test_older_version_of_restored_copy_is_ignored(void **state)
{
	struct documents *s =
		new_documents_before_restore((struct documents_port){
			&compared, on_change, compare_numbers });

	(void)state;
	compared = s;
	list_restored_copy(s, "14");
	assert_string_equal((char *)find(s, "a")->value, "24");
	/* It is retained without a limit until it is written again. */
	documents_tick(s, NS_PER_S + 2 * RETAIN_NS);
	assert_false(find(s, "a")->deleted);
	assert_int_not_equal(documents_retained_digest(s), 0);
	assert_int_equal(put_in_epoch(s, 2, "a", 24, "24", DOCUMENT_CHANGED),
			 0);
	assert_int_equal(documents_retained_digest(s), 0);
	assert_int_equal(change_count, 0);
	documents_free(s);
}

/* An entry that knows only the restored copy must get the later version. */
static void test_new_entry_takes_retained_document_of_peer(void **state)
{
	struct documents *peer =
		new_documents_before_restore((struct documents_port){
			&compared, on_change, compare_numbers });
	struct documents *s = documents_new(
		(struct documents_port){ &compared, on_change,
					 compare_numbers },
		(struct documents_expiry){ KEEP_DELETED_NS, RETAIN_NS });

	(void)state;
	compared = peer;
	list_restored_copy(peer, "14");
	compared = s;
	list_restored_copy(s, "14");
	assert_int_not_equal(documents_retained_digest(s),
			     documents_retained_digest(peer));
	assert_true(documents_peer_lacks(peer, documents_synced(s),
					 find(peer, "a")));
	assert_int_equal(documents_put(s, find(peer, "a"), DOCUMENT_CHANGED,
				       NS_PER_S),
			 0);
	assert_string_equal((char *)find(s, "a")->value, "24");
	assert_int_equal(documents_retained_digest(s),
			 documents_retained_digest(peer));
	/* Another listing of the copy does not restore the older version. */
	list_restored_copy(s, "14");
	assert_string_equal((char *)find(s, "a")->value, "24");
	documents_free(s);
	documents_free(peer);
}

/*
 * A target that left must not come back for good because a peer, which does not
 * know of the deletion yet, has retained its entry.
 */
static void test_deletion_in_new_epoch_is_not_undone_by_peer(void **state)
{
	struct documents *s =
		new_documents_before_restore((struct documents_port){
			&compared, on_change, compare_numbers });
	struct document retained = version("a", 27, "25");

	(void)state;
	compared = s;
	list_restored_copy(s, "24");
	put_in_epoch(s, 2, "a", 25, NULL, DOCUMENT_CHANGED);
	retained.epoch = 1;
	assert_int_equal(documents_put(s, &retained, DOCUMENT_CHANGED,
				       NS_PER_S),
			 -EALREADY);
	assert_true(find(s, "a")->deleted);
	documents_free(s);
}

/* New entries must be sent what is known about the restored copy. */
static void test_stale_version_at_platform_counts_as_change(void **state)
{
	struct documents *s =
		new_documents_before_restore((struct documents_port){
			&compared, on_change, compare_numbers });
	uint64_t before;

	(void)state;
	compared = s;
	list_restored_copy(s, NULL);
	before = documents_change_count(s);
	assert_int_equal(put_in_epoch(s, 2, "a", 20, "14", DOCUMENT_CHANGED),
			 -EALREADY);
	assert_true(documents_change_count(s) > before);
	documents_free(s);
}

/* A peer of an earlier epoch must not be sent only changes of that epoch. */
static void test_peer_of_earlier_epoch_needs_full_state(void **state)
{
	struct documents_port port = { NULL, on_change, no_order };
	struct documents *s = new_documents_before_restore(port);

	(void)state;
	assert_false(documents_peer_needs_full(s, (struct position){ 1, 26 }));
	put_in_epoch(s, 1, "b", 27, "x", DOCUMENT_CHANGED);
	put_in_epoch(s, 1, "b", 28, NULL, DOCUMENT_CHANGED);
	documents_tick(s, NS_PER_S + KEEP_DELETED_NS);
	assert_true(documents_peer_needs_full(s, (struct position){ 1, 26 }));
	list_restored_copy(s, "24");
	assert_int_equal(documents_floor(s).revision, 23);
	assert_true(documents_peer_needs_full(s, (struct position){ 1, 26 }));
	assert_false(documents_peer_needs_full(s, (struct position){ 2, 23 }));
	assert_false(documents_peer_needs_full(s, (struct position){ 3, 1 }));
	documents_free(s);
}

/*
 * A deletion must reach all entries: one that has read a listing, which
 * contains only what exists, cannot tell a peer what was deleted before.
 */
static void test_listing_raises_floor_to_its_position(void **state)
{
	struct documents *s = new_documents();

	(void)state;
	documents_list_begin(s);
	put(s, "a", 2, "x", DOCUMENT_LISTED);
	documents_list_end(s, at(10), at(10), NS_PER_S);
	documents_advance_synced(s, at(10), NS_PER_S);
	assert_true(documents_peer_needs_full(s, at(9)));
	assert_false(documents_peer_needs_full(s, at(10)));
	assert_true(documents_peer_needs_full(s, at(0)));
	/* A listing from a peer that missed no deletion has a lower floor. */
	documents_list_begin(s);
	put(s, "a", 2, "x", DOCUMENT_LISTED);
	documents_list_end(s, at(12), at(4), NS_PER_S);
	documents_advance_synced(s, at(12), NS_PER_S);
	assert_false(documents_peer_needs_full(s, at(5)));
	documents_free(s);
}

/* An older deletion in a peer's full state must not count as a listed
 * document. */
static void
test_older_deletion_in_full_state_does_not_keep_document(void **state)
{
	struct documents *s = new_documents();

	(void)state;
	put(s, "a", 4, "x", DOCUMENT_CHANGED);
	documents_list_begin(s);
	put(s, "a", 3, NULL, DOCUMENT_LISTED);
	documents_list_end(s, at(10), at(1), NS_PER_S);
	assert_true(find(s, "a")->deleted);
	documents_free(s);
}

/* A deletion of an earlier epoch must not hide a document that exists again. */
static void test_document_of_new_epoch_replaces_earlier_deletion(void **state)
{
	struct documents_port port = { NULL, on_change, no_order };
	struct documents *s = new_documents_before_restore(port);

	(void)state;
	put_in_epoch(s, 1, "a", 27, NULL, DOCUMENT_CHANGED);
	list_restored_copy(s, "24");
	assert_false(find(s, "a")->deleted);
	documents_free(s);
}

/* A delta must not be applied to a value that only has the same revision. */
static void test_value_of_other_epoch_is_not_found(void **state)
{
	struct documents_port port = { NULL, on_change, no_order };
	struct documents *s = new_documents_before_restore(port);
	struct position same = { 1, 26 }, other = { 2, 26 };

	(void)state;
	assert_non_null(documents_value_at(s, hash_text("a"), same).bytes);
	assert_null(documents_value_at(s, hash_text("a"), other).bytes);
	documents_free(s);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_later_version_wins_in_any_order),
		cmocka_unit_test(test_listing_deletes_missing_documents),
		cmocka_unit_test(
			test_peer_update_between_pages_hides_no_deletion),
		cmocka_unit_test(test_new_position_invalidates_encoded_state),
		cmocka_unit_test(test_expired_deletion_raises_floor),
		cmocka_unit_test(test_reused_revision_of_new_epoch_is_stored),
		cmocka_unit_test(
			test_unchanged_document_is_not_reported_after_restore),
		cmocka_unit_test(
			test_document_lost_in_restore_is_retained_for_limited_time),
		cmocka_unit_test(
			test_retention_ends_at_earliest_known_epoch_start),
		cmocka_unit_test(
			test_older_version_of_restored_copy_is_ignored),
		cmocka_unit_test(test_value_of_other_epoch_is_not_found),
		cmocka_unit_test(
			test_deletion_in_new_epoch_is_not_undone_by_peer),
		cmocka_unit_test(
			test_stale_version_at_platform_counts_as_change),
		cmocka_unit_test(
			test_new_entry_takes_retained_document_of_peer),
		cmocka_unit_test(test_peer_of_earlier_epoch_needs_full_state),
		cmocka_unit_test(
			test_document_of_new_epoch_replaces_earlier_deletion),
		cmocka_unit_test(test_listing_raises_floor_to_its_position),
		cmocka_unit_test(
			test_older_deletion_in_full_state_does_not_keep_document),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
