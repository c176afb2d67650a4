/* The users' platform: packets, the store's answers, what is published. */
#include "users_platform.h"

#include <errno.h>
#include <glib.h>
#include <jansson.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <cmocka.h>

/* The example of the platform's page. */
static const uint8_t example[32] = {
	0x08, 0x00, 0x44, 0x33, 0x22, 0x11, 0x00, 0x00, 0x00, 0x00, 0x00,
	0x00, 0xd5, 0xc3, 0xb2, 0xa1, 0xbb, 0x01, 0x01, 0x00, 0x12, 0xc6,
	0x41, 0x9c, 0x07, 0x00, 0x40, 0x64, 0x00, 0x00, 0x00, 0x00,
};
static const uint8_t example_reset[32] = {
	0x20, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00,
	0x00, 0x00, 0x00, 0x00, 0x00, 0x41, 0x9c, 0x07, 0x00, 0x40, 0x64,
	0xbb, 0x01, 0x01, 0x00, 0x12, 0xc6, 0x00, 0x00, 0x00, 0x00,
};

#define CLIENT ADDR(0x64400007, 40001)
#define VIP ADDR(0xc6120001, 443)

static void test_reads_a_packet(void **state)
{
	struct packet k;

	(void)state;
	assert_int_equal(users_read_packet(example, sizeof(example), &k), 0);
	assert_int_equal(k.flow.caller, CLIENT);
	assert_int_equal(k.flow.vip, VIP);
	assert_int_equal(k.flags, PACKET_SYN);
	assert_int_equal(k.seq, 0x11223344);
	assert_int_equal(k.cookie, 0);
}

static void test_refuses_what_is_no_packet(void **state)
{
	uint8_t data[1300] = { 0 };
	struct packet k;

	(void)state;
	for (uint32_t i = 0; i < sizeof(example); i++)
		assert_int_equal(users_read_packet(example, i, &k), -EPROTO);
	assert_int_equal(users_read_packet(data, sizeof(data), &k), -EPROTO);
	memcpy(data, example, sizeof(example));
	data[10] = 5; /* says more than there is */
	assert_int_equal(users_read_packet(data, 32, &k), -EPROTO);
	assert_int_equal(users_read_packet(data, 37, &k), 0);
}

static void test_only_the_echo_is_written(void **state)
{
	uint8_t data[32];
	struct packet k;

	(void)state;
	memcpy(data, example, sizeof(data));
	users_pin(data, 0xdeadbeef);
	assert_memory_equal(data, example, 28);
	assert_int_equal(users_read_packet(data, sizeof(data), &k), 0);
	assert_int_equal(k.cookie, 0xdeadbeef);
}

static void test_envelope_names_the_target(void **state)
{
	static const uint8_t expected[8] = {
		0, 0, 0, 0, 0x7f, 0x3a, 0x91, 0xc2
	};
	struct target t = { .advertised.id = 0x7f3a91c2 };
	uint8_t out[ENCAPSULATION_MAX_BYTES];

	(void)state;
	assert_int_equal(users_envelope(&t, out), 8);
	assert_memory_equal(out, expected, 8);
}

static void test_reset(void **state)
{
	struct flow_key flow = { CLIENT, VIP };
	uint8_t out[RESET_MAX_BYTES];

	(void)state;
	assert_int_equal(users_write_reset(&flow, 0, out), 32);
	assert_memory_equal(out, example_reset, 32);
	users_write_reset(&flow, 0x01020304, out);
	assert_int_equal(out[2], 4);
	assert_int_equal(out[5], 1);
}

struct seen {
	uint32_t n;
	struct document last;
	char value[64];
};

static void see(void *ctx, const struct document *d)
{
	struct seen *s = ctx;

	s->n++;
	s->last = *d;
	if (d->value)
		memcpy(s->value, d->value, d->size_bytes);
}

static int list(const char *body, struct seen *s, struct answer_head *head)
{
	memset(s, 0, sizeof(*s));
	return users_read_list(body, strlen(body),
			       (struct document_sink){ s, see }, head);
}

static void test_reads_the_epoch(void **state)
{
	uint64_t epoch = 7;

	(void)state;
	assert_int_equal(users_read_epoch("3", &epoch), 0);
	assert_int_equal(epoch, 3);
	/* A store that tells none. */
	assert_int_equal(users_read_epoch("", &epoch), 0);
	assert_int_equal(epoch, 0);
	assert_int_equal(users_read_epoch("three", &epoch), -EPROTO);
	assert_int_equal(users_read_epoch("-1", &epoch), -EPROTO);
	assert_int_equal(users_read_epoch("18446744073709551616", &epoch),
			 -EPROTO);
}

static void test_reads_a_listing(void **state)
{
	struct answer_head head = { 0 };
	struct seen s;

	(void)state;
	assert_int_equal(list("{\"items\":[{\"key\":\"servers/i-12\",\"value\":"
			      "\"bm9kZS0x\",\"revision\":412,"
			      "\"create-revision\":400,\"lease\":77120},"
			      "{\"key\":\"servers/i-13\",\"value\":\"\","
			      "\"revision\":411}],"
			      "\"more-pages\":true,\"store-revision\":530}",
			      &s, &head),
			 0);
	assert_int_equal(s.n, 2);
	assert_int_equal(s.last.revision, 411);
	assert_string_equal(head.last_key, "servers/i-13");
	assert_int_equal(list("{\"items\":[{\"key\":\"servers/i-12\",\"value\":"
			      "\"bm9kZS0x\",\"revision\":412,"
			      "\"create-revision\":400,\"lease\":77120}],"
			      "\"more-pages\":true,\"store-revision\":530}",
			      &s, &head),
			 0);
	assert_int_equal(s.n, 1);
	assert_int_equal(s.last.revision, 412);
	assert_int_equal(s.last.created, 400);
	assert_string_equal(s.value, "node-1");
	assert_int_equal(head.revision, 530);
	assert_true(head.more);
	assert_string_equal(head.last_key, "servers/i-12");
}

/*
 * Symptom: an entry comes up and knows no target, or only some. Sequence:
 * somebody else writes among the targets' entries. Cause: one item that could
 * not be read ended the page, and the same page was asked for again.
 */
static void test_other_items_of_a_page_hold(void **state)
{
	static const char *const junk[] = {
		"7",
		"{}",
		"{\"key\":7,\"value\":\"bm9k\",\"revision\":3}",
		"{\"key\":\"servers/i-1\",\"value\":\"bm9k\"}",
		"{\"key\":\"servers/"
		"i-1\",\"value\":\"bm9k\",\"revision\":\"3\"}",
		"{\"key\":\"servers/i-1\",\"value\":\"bm9k\",\"revision\":-3}",
		"{\"key\":\"a\\u0000b\",\"value\":\"bm9k\",\"revision\":3}",
	};
	struct answer_head head = { 0 };
	struct seen s;
	char body[512];

	(void)state;
	for (size_t i = 0; i < sizeof(junk) / sizeof(junk[0]); i++) {
		snprintf(body, sizeof(body),
			 "{\"items\":[%s,{\"key\":\"servers/i-2\",\"value\":"
			 "\"bm9k\",\"revision\":4},%s],\"store-revision\":5}",
			 junk[i], junk[i]);
		assert_int_equal(list(body, &s, &head), 0);
		assert_int_equal(s.n, 1);
		assert_string_equal(s.last.key, "servers/i-2");
	}
}

/* A value that can't be read: what stood under its key is no more. */
static void test_value_that_cannot_be_read(void **state)
{
	static const char *const values[] = { "7", "null", "\"\"", "\"!\"" };
	struct answer_head head = { 0 };
	struct seen s;
	char body[512];

	(void)state;
	for (size_t i = 0; i < sizeof(values) / sizeof(values[0]); i++) {
		snprintf(body, sizeof(body),
			 "{\"items\":[{\"key\":\"servers/i-2\",\"value\":%s,"
			 "\"revision\":4}],\"store-revision\":5}",
			 values[i]);
		assert_int_equal(list(body, &s, &head), 0);
		assert_int_equal(s.n, 1);
		assert_int_equal(s.last.size_bytes, 0);
		assert_false(s.last.deleted);
	}
}

/* What others keep in the store takes no memory here. */
static void test_other_keys_are_left_out(void **state)
{
	char *big = g_strnfill(2 << 20, 'A');
	char *body = g_strdup_printf(
		"{\"items\":[{\"key\":\"my/leader\",\"value\":\"bm9k\","
		"\"revision\":4},{\"key\":\"servers/i-2\",\"value\":\"%s\","
		"\"revision\":5}],\"store-revision\":5}",
		big);
	struct answer_head head = { 0 };
	struct seen s;

	(void)state;
	assert_int_equal(list(body, &s, &head), 0);
	assert_int_equal(s.n, 1);
	assert_string_equal(s.last.key, "servers/i-2");
	assert_int_equal(s.last.size_bytes, 0);
	g_free(body);
	g_free(big);
}

static void test_reads_changes(void **state)
{
	static const char body[] =
		"{\"events\":[{\"key\":\"servers/i-7\",\"revision\":413,"
		"\"deleted\":true}],\"store-revision\":413}";
	struct answer_head head = { 0 };
	struct seen s = { 0 };

	(void)state;
	assert_int_equal(users_read_changes(body, strlen(body),
					    (struct document_sink){ &s, see },
					    &head),
			 0);
	assert_true(s.last.deleted);
	assert_int_equal(s.last.revision, 413);
}

static void test_refuses_what_is_no_answer(void **state)
{
	static const char *const bodies[] = {
		"",
		"{",
		"[]",
		"{\"items\":7,\"store-revision\":5}",
		"{\"items\":[]}",
		"{\"items\":[{}],\"more-pages\":true,\"store-revision\":5}",
		"{\"items\":[],\"more-pages\":true,\"store-revision\":5}",
	};
	struct answer_head head = { 0 };
	struct seen s;

	(void)state;
	for (size_t i = 0; i < sizeof(bodies) / sizeof(bodies[0]); i++)
		assert_int_equal(list(bodies[i], &s, &head), -EPROTO);
}

static int read(const char *key, const char *value, struct directory *names,
		struct decoded_document *out)
{
	struct document d = { .revision = 9, .created = 4 };
	const char *problem = NULL;
	int err;

	strcpy(d.key, key);
	d.deleted = !value;
	d.value = (uint8_t *)value;
	d.size_bytes = value ? (uint32_t)strlen(value) : 0;
	err = users_read_document(&d, names, out, &problem);
	if (err)
		assert_non_null(problem);
	return err;
}

static struct directory *names_open(void)
{
	struct directory_conf conf = { NS_PER_S, NS_PER_S };

	return directory_new(&conf);
}

#define ENTRY                                                          \
	"{\"service\":\"s\",\"address\":\"10.128.0.9:8080\",\"zone\":" \
	"\"z\",\"version\":\"v1\",\"slots\":3,\"state\":\"draining\"," \
	"\"cold-remaining-ms\":1500,\"sequence\":4"

static void test_reads_a_target(void **state)
{
	struct directory *names = names_open();
	struct decoded_document n;

	(void)state;
	directory_add_service(names, "s");
	assert_int_equal(read("servers/i-7f3a91c2", ENTRY "}", names, &n), 0);
	assert_int_equal(n.kind, DOCUMENT_TARGET);
	assert_int_equal(n.target.id, 0x7f3a91c2);
	assert_int_equal(n.target.addr, ADDR(0x0a800009, 8080));
	assert_int_equal(n.target.slots, 3);
	assert_true(n.target.leaving);
	assert_int_equal(n.target.created.revision, 4);
	assert_int_equal(n.target.sequence, 4);
	assert_int_equal(n.target.cold_ms, 1500);
	assert_int_equal(n.target.started_ms, 0);
	assert_int_equal(read("servers/i-7f3a91c2",
			      ENTRY ",\"born\":1785000000123,\"more\":{}}",
			      names, &n),
			 0);
	assert_int_equal(n.target.started_ms, 1785000000123);
	assert_int_equal(read("servers/i-7f3a91c2", NULL, names, &n), 0);
	assert_int_equal(n.target.id, 0x7f3a91c2);
	assert_int_equal(n.target.key_hash, hash_text("servers/i-7f3a91c2"));
	directory_free(names);
}

/* An entry with one field changed, absent when @value is NULL. */
static char *entry_with(const char *field, const char *value)
{
	json_t *root = json_loads(ENTRY ",\"born\":1785000000123}", 0, NULL);
	char *text;

	json_object_del(root, field);
	if (value)
		json_object_set_new(root, field,
				    json_loads(value, JSON_DECODE_ANY, NULL));
	text = json_dumps(root, 0);
	json_decref(root);
	return text;
}

/*
 * Symptom: flows go where nothing serves them, or a target that serves is taken
 * for dead. Sequence: somebody else writes among the targets' entries. Cause:
 * what was missing or of another type counted as 0, empty or serving.
 */
static void test_entries_that_name_no_target(void **state)
{
	static const char *const bad[][2] = {
		{ "service", NULL },
		{ "service", "7" },
		{ "service", "\"\"" },
		{ "address", NULL },
		{ "address", "7" },
		{ "address", "\"10.128.0.9\"" },
		{ "address", "\"10.128.0.9:0\"" },
		{ "address", "\"0.0.0.0:80\"" },
		{ "address", "\"host:80\"" },
		{ "address", "\"10.128.0.9:99999\"" },
		{ "zone", NULL },
		{ "zone", "[]" },
		{ "version", NULL },
		{ "version", "1" },
		{ "slots", NULL },
		{ "slots", "\"3\"" },
		{ "slots", "0" },
		{ "slots", "-3" },
		{ "slots", "3.5" },
		{ "slots", "65536" },
		{ "slots", "true" },
		{ "state", NULL },
		{ "state", "\"paused\"" },
		{ "state", "1" },
		{ "state", "\"Ready\"" },
		{ "cold-remaining-ms", NULL },
		{ "cold-remaining-ms", "\"0\"" },
		{ "cold-remaining-ms", "-1" },
		{ "cold-remaining-ms", "9000000000000000000" },
		{ "sequence", NULL },
		{ "sequence", "\"4\"" },
		{ "sequence", "-4" },
		{ "sequence", "4.5" },
		{ "born", "\"soon\"" },
		{ "born", "null" },
		{ "born", "1785000000123.5" },
		{ "born", "0" },
		{ "born", "-5" },
	};
	struct directory *names = names_open();
	struct decoded_document n;

	(void)state;
	directory_add_service(names, "s");
	for (size_t i = 0; i < G_N_ELEMENTS(bad); i++) {
		char *text = entry_with(bad[i][0], bad[i][1]);

		assert_int_equal(read("servers/i-7f3a91c2", text, names, &n),
				 -EPROTO);
		assert_int_equal(n.kind, DOCUMENT_TARGET);
		assert_int_equal(n.target.id, 0x7f3a91c2);
		free(text);
	}
	directory_free(names);
}

static void test_keys_that_are_no_id(void **state)
{
	static const char *const bad[] = {
		"servers/",	  "servers/i-",
		"servers/12",	  "servers/i-12 ",
		"servers/i- 12",  "servers/i-0x12",
		"servers/i--12",  "servers/i-1g",
		"servers/i-1A",	  "servers/i-0",
		"servers/I-12",	  "servers/i-12/x",
		"servers/ii-12",  "servers/i-12345678901234567",
		"servers/i-0000",
	};
	struct directory *names = names_open();
	struct decoded_document n;

	(void)state;
	directory_add_service(names, "s");
	for (size_t i = 0; i < G_N_ELEMENTS(bad); i++) {
		assert_int_equal(read(bad[i], ENTRY "}", names, &n), -EPROTO);
		assert_int_equal(n.kind, DOCUMENT_OTHER);
	}
	directory_free(names);
}

/* Its entry may come before the configuration that names its service. */
static void test_target_of_a_service_not_named_yet(void **state)
{
	struct directory *names = names_open();
	struct decoded_document n;

	(void)state;
	assert_int_equal(read("servers/i-7f3a91c2", ENTRY "}", names, &n),
			 -ENOENT);
	assert_int_equal(directory_service_count(names), 0);
	directory_add_service(names, "s");
	assert_int_equal(read("servers/i-7f3a91c2", ENTRY "}", names, &n), 0);
	directory_free(names);
}

/* A young process learns of a departed target whose flows may still come. */
static void test_reads_a_departed_target(void **state)
{
	struct directory *names = names_open();
	struct document d = { .key = "servers/i-7f3a91c2",
			      .revision = 9,
			      .deleted = true };
	struct decoded_document n;
	const char *problem;

	(void)state;
	directory_add_service(names, "s");
	d.value = (uint8_t *)ENTRY "}";
	d.size_bytes = (uint32_t)strlen((char *)d.value);
	assert_int_equal(users_read_document(&d, names, &n, &problem), 0);
	assert_int_equal(n.target.addr, ADDR(0x0a800009, 8080));
	d.value = (uint8_t *)"junk";
	d.size_bytes = 4;
	assert_int_equal(users_read_document(&d, names, &n, &problem), 0);
	assert_int_equal(n.target.id, 0x7f3a91c2);
	assert_int_equal(n.target.addr, 0);
	directory_free(names);
}

#define ROUTE                                                              \
	"{\"host\":\"198.18.0.1\",\"prefix\":\"/443/\",\"kind\":\"safe\"," \
	"\"timeout-ms\":2500,\"priority\":2,\"service\":\"s\"}"

static void test_reads_a_configuration(void **state)
{
	struct directory *names = names_open();
	struct decoded_document n;

	(void)state;
	assert_int_equal(read("op/config",
			      "{\"version\":7,\"routes\":[" ROUTE
			      "],\"services\":[{\"name\":\"s\"},"
			      "{\"name\":\"t\",\"cold-start-s\":2.5,"
			      "\"cold-per-s\":4.5}],"
			      "\"limits\":{\"idle-timeout-ms\":15000}}",
			      names, &n),
			 0);
	assert_int_not_equal(directory_find_service(names, "t"),
			     DIRECTORY_SERVICE_NONE);
	assert_int_equal(n.kind, DOCUMENT_ROUTES);
	assert_int_equal(n.routes->version, 7);
	assert_int_equal(n.routes->n_routes, 1);
	assert_int_equal(n.routes->routes[0].vip, VIP);
	assert_int_equal(n.routes->routes[0].kind, ROUTE_FEED);
	assert_int_equal(n.routes->idle_timeout_ns, 15 * NS_PER_S);
	assert_int_equal(n.routes->n_cold, 2);
	assert_true(n.routes->cold[0].flows_per_s == 0);
	assert_int_equal(n.routes->cold[1].service,
			 directory_find_service(names, "t"));
	assert_int_equal(n.routes->cold[1].cold_ms, 2500);
	assert_true(n.routes->cold[1].flows_per_s == 4.5f);
	route_table_free(n.routes);
	directory_free(names);
}

/* A bad one is refused whole: half a configuration would drop routes. */
static void test_refuses_bad_documents_whole(void **state)
{
	static const char *const bad[][2] = {
		{ "op/config", "" },
		{ "op/config", "{}" },
		{ "op/config", "{\"version\":7}" },
		{ "op/config", "{\"version\":7,\"routes\":[" ROUTE ",{}]}" },
		{ "op/config", "{\"version\":0,\"routes\":[" ROUTE "]}" },
		{ "servers/i-xyz", "{}" },
		{ "servers/i-12", "{}" },
		{ "servers/i-12", "{\"service\":\"s\",\"address\":\"1.2.3\"}" },
		{ "servers/i-12",
		  "{\"service\":\"s\",\"address\":\"1.2.3.456:1\"}" },
		{ "servers/i-12",
		  "{\"service\":\"s\",\"address\":\"1.2.3.4:99999\"}" },
		{ "servers/i-12", "{\"address\":\"1.2.3.4:80\"}" },
	};
	struct directory *names = names_open();
	struct decoded_document n;

	(void)state;
	for (size_t i = 0; i < sizeof(bad) / sizeof(bad[0]); i++)
		assert_int_equal(read(bad[i][0], bad[i][1], names, &n),
				 -EPROTO);
	assert_int_equal(read("other/key", "x", names, &n), 0);
	assert_int_equal(n.kind, DOCUMENT_OTHER);
	directory_free(names);
}

/* The key says it, whatever stands under it. */
static void test_reads_an_evacuation(void **state)
{
	static const char *const bodies[] = { "{}", "", "[1]", "not JSON" };
	struct directory *names = names_open();
	struct decoded_document n;

	(void)state;
	for (size_t i = 0; i < sizeof(bodies) / sizeof(bodies[0]); i++) {
		assert_int_equal(read("op/evacuate/garda-hall", bodies[i],
				      names, &n),
				 0);
		assert_int_equal(n.kind, DOCUMENT_EVACUATION);
		assert_string_equal(n.data_centre, "garda-hall");
	}
	assert_int_equal(read("op/evacuate/garda-hall", NULL, names, &n), 0);
	assert_int_equal(n.kind, DOCUMENT_EVACUATION);
	directory_free(names);
}

static void test_refuses_an_evacuation_of_no_name(void **state)
{
	struct directory *names = names_open();
	struct decoded_document n;
	char key[128] = "op/evacuate/";

	(void)state;
	assert_int_equal(read(key, "{}", names, &n), -EPROTO);
	memset(key + strlen(key), 'z', NAME_MAX_BYTES);
	assert_int_equal(read(key, "{}", names, &n), -EPROTO);
	directory_free(names);
}

/* Its listing and its watch bring it like any other key. */
static void test_evacuations_are_taken_from_the_store(void **state)
{
	static const char body[] =
		"{\"items\":[{\"key\":\"op/evacuate/como-hall\",\"value\":"
		"\"e30=\",\"revision\":8}],\"store-revision\":9}";
	struct answer_head head = { 0 };
	struct seen s;

	(void)state;
	assert_int_equal(list(body, &s, &head), 0);
	assert_int_equal(s.n, 1);
	assert_string_equal(s.last.key, "op/evacuate/como-hall");
}

static void test_paths(void **state)
{
	char path[URL_PATH_MAX_BYTES];

	(void)state;
	users_list_path(NULL, true, path);
	assert_string_equal(path, "/kv-range?prefix=");
	users_list_path("a b", true, path);
	assert_string_equal(path, "/kv-range?prefix=&after=a%20b");
	users_list_path("a", false, path);
	assert_string_equal(path, "/kv-range?prefix=&allow-stale=1&after=a");
	users_watch_path(5, 2000, path);
	assert_string_equal(path, "/kv-watch?prefix=&after=5&wait-ms=2000");
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_reads_a_packet),
		cmocka_unit_test(test_refuses_what_is_no_packet),
		cmocka_unit_test(test_only_the_echo_is_written),
		cmocka_unit_test(test_envelope_names_the_target),
		cmocka_unit_test(test_reset),
		cmocka_unit_test(test_reads_the_epoch),
		cmocka_unit_test(test_reads_a_listing),
		cmocka_unit_test(test_other_items_of_a_page_hold),
		cmocka_unit_test(test_value_that_cannot_be_read),
		cmocka_unit_test(test_other_keys_are_left_out),
		cmocka_unit_test(test_reads_changes),
		cmocka_unit_test(test_refuses_what_is_no_answer),
		cmocka_unit_test(test_reads_a_target),
		cmocka_unit_test(test_entries_that_name_no_target),
		cmocka_unit_test(test_keys_that_are_no_id),
		cmocka_unit_test(test_target_of_a_service_not_named_yet),
		cmocka_unit_test(test_reads_a_departed_target),
		cmocka_unit_test(test_reads_a_configuration),
		cmocka_unit_test(test_refuses_bad_documents_whole),
		cmocka_unit_test(test_reads_an_evacuation),
		cmocka_unit_test(test_refuses_an_evacuation_of_no_name),
		cmocka_unit_test(test_evacuations_are_taken_from_the_store),
		cmocka_unit_test(test_paths),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
