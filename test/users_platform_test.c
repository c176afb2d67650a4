/* Adapter for the platform: packets, the store's answers, documents. */
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

/* The example in the platform's documentation. */
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

static void test_packet_is_decoded(void **state)
{
	struct packet packet;

	(void)state;
	assert_int_equal(users_read_packet(example, sizeof(example), &packet),
			 0);
	assert_int_equal(packet.flow.caller, CLIENT);
	assert_int_equal(packet.flow.vip, VIP);
	assert_int_equal(packet.flags, PACKET_SYN);
	assert_int_equal(packet.seq, 0x11223344);
	assert_int_equal(packet.cookie, 0);
}

static void test_packet_of_wrong_length_is_rejected(void **state)
{
	uint8_t data[1300] = { 0 };
	struct packet packet;

	(void)state;
	for (uint32_t i = 0; i < sizeof(example); i++)
		assert_int_equal(users_read_packet(example, i, &packet),
				 -EPROTO);
	assert_int_equal(users_read_packet(data, sizeof(data), &packet),
			 -EPROTO);
	memcpy(data, example, sizeof(example));
	data[10] = 5; /* length of the data, which is missing */
	assert_int_equal(users_read_packet(data, 32, &packet), -EPROTO);
	assert_int_equal(users_read_packet(data, 37, &packet), 0);
}

static void test_cookie_changes_only_the_echo_field(void **state)
{
	uint8_t data[32];
	struct packet packet;

	(void)state;
	memcpy(data, example, sizeof(data));
	users_write_cookie(data, 0xdeadbeef);
	assert_memory_equal(data, example, 28);
	assert_int_equal(users_read_packet(data, sizeof(data), &packet), 0);
	assert_int_equal(packet.cookie, 0xdeadbeef);
}

static void test_encapsulation_holds_the_target_id(void **state)
{
	static const uint8_t expected[8] = {
		0, 0, 0, 0, 0x7f, 0x3a, 0x91, 0xc2
	};
	struct target t = { .advertised.id = 0x7f3a91c2 };
	uint8_t out[ENCAPSULATION_MAX_BYTES];

	(void)state;
	assert_int_equal(users_write_encapsulation(&t, out), 8);
	assert_memory_equal(out, expected, 8);
}

static void test_reset_matches_the_documented_example(void **state)
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

struct received {
	uint32_t n;
	struct document last;
	char value[64];
};

static void receive(void *ctx, const struct document *d)
{
	struct received *received = ctx;

	received->n++;
	received->last = *d;
	if (d->value)
		memcpy(received->value, d->value, d->size_bytes);
}

static int list(const char *body, struct received *received,
		struct answer_head *head)
{
	memset(received, 0, sizeof(*received));
	return users_read_list(body, strlen(body),
			       (struct document_sink){ received, receive },
			       head);
}

static void test_epoch_is_parsed_and_garbage_rejected(void **state)
{
	uint64_t epoch = 7;

	(void)state;
	assert_int_equal(users_read_epoch("3", &epoch), 0);
	assert_int_equal(epoch, 3);
	/* A store that sends no epoch. */
	assert_int_equal(users_read_epoch("", &epoch), 0);
	assert_int_equal(epoch, 0);
	assert_int_equal(users_read_epoch("three", &epoch), -EPROTO);
	assert_int_equal(users_read_epoch("-1", &epoch), -EPROTO);
	assert_int_equal(users_read_epoch("18446744073709551616", &epoch),
			 -EPROTO);
}

static void test_listing_is_decoded(void **state)
{
	struct answer_head head = { 0 };
	struct received received;

	(void)state;
	assert_int_equal(list("{\"items\":[{\"key\":\"servers/i-12\",\"value\":"
			      "\"bm9kZS0x\",\"revision\":412,"
			      "\"create-revision\":400,\"lease\":77120},"
			      "{\"key\":\"servers/i-13\",\"value\":\"\","
			      "\"revision\":411}],"
			      "\"more-pages\":true,\"store-revision\":530}",
			      &received, &head),
			 0);
	assert_int_equal(received.n, 2);
	assert_int_equal(received.last.revision, 411);
	assert_string_equal(head.last_key, "servers/i-13");
	assert_int_equal(list("{\"items\":[{\"key\":\"servers/i-12\",\"value\":"
			      "\"bm9kZS0x\",\"revision\":412,"
			      "\"create-revision\":400,\"lease\":77120}],"
			      "\"more-pages\":true,\"store-revision\":530}",
			      &received, &head),
			 0);
	assert_int_equal(received.n, 1);
	assert_int_equal(received.last.revision, 412);
	assert_int_equal(received.last.created, 400);
	assert_string_equal(received.value, "node-1");
	assert_int_equal(head.revision, 530);
	assert_true(head.more);
	assert_string_equal(head.last_key, "servers/i-12");
}

/*
 * Another program writes malformed items below the targets' prefix. If one of
 * them failed the whole page, the page would be requested again without end,
 * and a starting entry would find no target or only some.
 */
static void test_malformed_item_does_not_hide_the_others(void **state)
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
	struct received received;
	char body[512];

	(void)state;
	for (size_t i = 0; i < sizeof(junk) / sizeof(junk[0]); i++) {
		snprintf(body, sizeof(body),
			 "{\"items\":[%s,{\"key\":\"servers/i-2\",\"value\":"
			 "\"bm9k\",\"revision\":4},%s],\"store-revision\":5}",
			 junk[i], junk[i]);
		assert_int_equal(list(body, &received, &head), 0);
		assert_int_equal(received.n, 1);
		assert_string_equal(received.last.key, "servers/i-2");
	}
}

/* A malformed value has replaced the earlier one, so it can't be ignored. */
static void test_malformed_value_arrives_empty(void **state)
{
	static const char *const values[] = { "7", "null", "\"\"", "\"!\"" };
	struct answer_head head = { 0 };
	struct received received;
	char body[512];

	(void)state;
	for (size_t i = 0; i < sizeof(values) / sizeof(values[0]); i++) {
		snprintf(body, sizeof(body),
			 "{\"items\":[{\"key\":\"servers/i-2\",\"value\":%s,"
			 "\"revision\":4}],\"store-revision\":5}",
			 values[i]);
		assert_int_equal(list(body, &received, &head), 0);
		assert_int_equal(received.n, 1);
		assert_int_equal(received.last.size_bytes, 0);
		assert_false(received.last.deleted);
	}
}

static void receive_size(void *ctx, const struct document *d)
{
	*(uint32_t *)ctx = d->size_bytes;
}

/* Pass a value of @n bytes through a page of a listing. Return: size of the
 * value that arrives, in bytes. */
static uint32_t received_size_bytes(const char *key, uint32_t n)
{
	char *value = g_malloc0(n);
	char *base64 = g_base64_encode((guchar *)value, n);
	char *body =
		g_strdup_printf("{\"items\":[{\"key\":\"%s\",\"value\":\"%s\","
				"\"revision\":4}],\"store-revision\":5}",
				key, base64);
	uint32_t size_bytes = UINT32_MAX;
	struct document_sink sink = { &size_bytes, receive_size };
	struct answer_head head;

	assert_int_equal(users_read_list(body, strlen(body), sink, &head), 0);
	g_free(body);
	g_free(base64);
	g_free(value);
	return size_bytes;
}

/* Values of other programs in the store must not take memory. */
static void test_unused_keys_and_oversized_values_take_no_memory(void **state)
{
	char *big = g_strnfill(2 << 20, 'A');
	char *body = g_strdup_printf(
		"{\"items\":[{\"key\":\"my/leader\",\"value\":\"bm9k\","
		"\"revision\":4},{\"key\":\"servers/i-2\",\"value\":\"%s\","
		"\"revision\":5}],\"store-revision\":5}",
		big);
	struct answer_head head = { 0 };
	struct received received;

	(void)state;
	assert_int_equal(list(body, &received, &head), 0);
	assert_int_equal(received.n, 1);
	assert_string_equal(received.last.key, "servers/i-2");
	assert_int_equal(received.last.size_bytes, 0);
	g_free(body);
	g_free(big);
}

/* The padding of base64 must not count: the largest value would be refused, and
 * the configuration before it would stay in force. */
static void test_value_limit_is_exact(void **state)
{
	static const char *const keys[] = { "op/config", "servers/i-2",
					    "op/evacuate/z" };

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(keys); i++) {
		uint32_t max_bytes = users_value_max_bytes(keys[i]);

		for (uint32_t n = max_bytes - 3; n <= max_bytes + 3; n++)
			assert_int_equal(received_size_bytes(keys[i], n),
					 n <= max_bytes ? n : 0);
	}
}

static void test_deletion_in_a_watch_is_decoded(void **state)
{
	static const char body[] =
		"{\"events\":[{\"key\":\"servers/i-7\",\"revision\":413,"
		"\"deleted\":true}],\"store-revision\":413}";
	struct answer_head head = { 0 };
	struct received received = { 0 };

	(void)state;
	assert_int_equal(
		users_read_changes(body, strlen(body),
				   (struct document_sink){ &received, receive },
				   &head),
		0);
	assert_true(received.last.deleted);
	assert_int_equal(received.last.revision, 413);
}

static void test_malformed_answer_is_rejected(void **state)
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
	struct received received;

	(void)state;
	for (size_t i = 0; i < sizeof(bodies) / sizeof(bodies[0]); i++)
		assert_int_equal(list(bodies[i], &received, &head), -EPROTO);
}

static int decode(const char *key, const char *value, struct directory *names,
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

static struct directory *new_names(void)
{
	struct directory_conf conf = { NS_PER_S, NS_PER_S };

	return directory_new(&conf);
}

#define ENTRY                                                          \
	"{\"service\":\"s\",\"address\":\"10.128.0.9:8080\",\"zone\":" \
	"\"z\",\"version\":\"v1\",\"slots\":3,\"state\":\"draining\"," \
	"\"cold-remaining-ms\":1500,\"sequence\":4"

static void test_target_is_decoded(void **state)
{
	struct directory *names = new_names();
	struct decoded_document doc;

	(void)state;
	directory_add_service(names, "s");
	assert_int_equal(decode("servers/i-7f3a91c2", ENTRY "}", names, &doc),
			 0);
	assert_int_equal(doc.kind, DOCUMENT_TARGET);
	assert_int_equal(doc.target.id, 0x7f3a91c2);
	assert_int_equal(doc.target.addr, ADDR(0x0a800009, 8080));
	assert_int_equal(doc.target.slots, 3);
	assert_true(doc.target.leaving);
	assert_int_equal(doc.target.created.revision, 4);
	assert_int_equal(doc.target.sequence, 4);
	assert_int_equal(doc.target.cold_ms, 1500);
	assert_int_equal(doc.target.started_ms, 0);
	assert_int_equal(decode("servers/i-7f3a91c2",
				ENTRY ",\"born\":1785000000123,\"more\":{}}",
				names, &doc),
			 0);
	assert_int_equal(doc.target.started_ms, 1785000000123);
	assert_int_equal(decode("servers/i-7f3a91c2", NULL, names, &doc), 0);
	assert_int_equal(doc.target.id, 0x7f3a91c2);
	assert_int_equal(doc.target.key_hash, hash_text("servers/i-7f3a91c2"));
	directory_free(names);
}

/* A target's entry with one field changed, or removed when @value is NULL. */
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
 * Another program writes below the targets' prefix. If a field that is missing
 * or of another type counted as 0, empty or ready, flows would be sent to an
 * address where nothing serves them, or a working target be taken for dead.
 */
static void test_target_with_an_invalid_field_is_rejected(void **state)
{
	static const char *const invalid[][2] = {
		{ "service", NULL },
		{ "service", "7" },
		{ "service", "\"\"" },
		{ "address", NULL },
		{ "address", "7" },
		{ "address", "\"10.128.0.9\"" },
		{ "address", "\"10.128.0.9:0\"" },
		{ "address", "\"0.0.0.0:80\"" },
		{ "address", "\"host:80\"" },
		{ "address", "\"0.1.2.3:80\"" },
		{ "address", "\"224.0.0.1:80\"" },
		{ "address", "\"240.0.0.1:80\"" },
		{ "address", "\"255.255.255.255:80\"" },
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
	struct directory *names = new_names();
	struct decoded_document doc;

	(void)state;
	directory_add_service(names, "s");
	for (size_t i = 0; i < G_N_ELEMENTS(invalid); i++) {
		char *text = entry_with(invalid[i][0], invalid[i][1]);

		assert_int_equal(decode("servers/i-7f3a91c2", text, names,
					&doc),
				 -EPROTO);
		assert_int_equal(doc.kind, DOCUMENT_TARGET);
		assert_int_equal(doc.target.id, 0x7f3a91c2);
		free(text);
	}
	directory_free(names);
}

static void test_key_without_a_valid_id_is_rejected(void **state)
{
	static const char *const invalid[] = {
		"servers/",	  "servers/i-",
		"servers/12",	  "servers/i-12 ",
		"servers/i- 12",  "servers/i-0x12",
		"servers/i--12",  "servers/i-1g",
		"servers/i-1A",	  "servers/i-0",
		"servers/I-12",	  "servers/i-12/x",
		"servers/ii-12",  "servers/i-12345678901234567",
		"servers/i-0000",
	};
	struct directory *names = new_names();
	struct decoded_document doc;

	(void)state;
	directory_add_service(names, "s");
	for (size_t i = 0; i < G_N_ELEMENTS(invalid); i++) {
		assert_int_equal(decode(invalid[i], ENTRY "}", names, &doc),
				 -EPROTO);
		assert_int_equal(doc.kind, DOCUMENT_OTHER);
	}
	directory_free(names);
}

/* A target's entry may arrive before the configuration with its service. */
static void test_target_before_its_service_is_known(void **state)
{
	struct directory *names = new_names();
	struct decoded_document doc;

	(void)state;
	assert_int_equal(decode("servers/i-7f3a91c2", ENTRY "}", names, &doc),
			 -ENOENT);
	assert_int_equal(directory_service_count(names), 0);
	directory_add_service(names, "s");
	assert_int_equal(decode("servers/i-7f3a91c2", ENTRY "}", names, &doc),
			 0);
	directory_free(names);
}

/* A new process must recognise flows of a target that is already deleted. */
static void test_last_value_of_a_deleted_target_is_decoded(void **state)
{
	struct directory *names = new_names();
	struct document d = { .key = "servers/i-7f3a91c2",
			      .revision = 9,
			      .deleted = true };
	struct decoded_document doc;
	const char *problem;

	(void)state;
	directory_add_service(names, "s");
	d.value = (uint8_t *)ENTRY "}";
	d.size_bytes = (uint32_t)strlen((char *)d.value);
	assert_int_equal(users_read_document(&d, names, &doc, &problem), 0);
	assert_int_equal(doc.target.addr, ADDR(0x0a800009, 8080));
	d.value = (uint8_t *)"junk";
	d.size_bytes = 4;
	assert_int_equal(users_read_document(&d, names, &doc, &problem), 0);
	assert_int_equal(doc.target.id, 0x7f3a91c2);
	assert_int_equal(doc.target.addr, 0);
	directory_free(names);
}

#define ROUTE                                                              \
	"{\"host\":\"198.18.0.1\",\"prefix\":\"/443/\",\"kind\":\"safe\"," \
	"\"timeout-ms\":2500,\"priority\":2,\"service\":\"s\"}"

static void test_configuration_is_decoded(void **state)
{
	struct directory *names = new_names();
	struct decoded_document doc;

	(void)state;
	assert_int_equal(decode("op/config",
				"{\"version\":7,\"routes\":[" ROUTE
				"],\"services\":[{\"name\":\"s\"},"
				"{\"name\":\"t\",\"cold-start-s\":2.5,"
				"\"cold-per-s\":4.5}],"
				"\"limits\":{\"idle-timeout-ms\":15000}}",
				names, &doc),
			 0);
	assert_int_not_equal(directory_find_service(names, "t"),
			     DIRECTORY_SERVICE_NONE);
	assert_int_equal(doc.kind, DOCUMENT_ROUTES);
	assert_int_equal(doc.routes->version, 7);
	assert_int_equal(doc.routes->n_routes, 1);
	assert_int_equal(doc.routes->routes[0].vip, VIP);
	assert_int_equal(doc.routes->routes[0].kind, ROUTE_FEED);
	assert_int_equal(doc.routes->idle_timeout_ns, 15 * NS_PER_S);
	assert_int_equal(doc.routes->n_cold, 2);
	assert_true(doc.routes->cold[0].flows_per_s == 0);
	assert_int_equal(doc.routes->cold[1].service,
			 directory_find_service(names, "t"));
	assert_int_equal(doc.routes->cold[1].cold_ms, 2500);
	assert_true(doc.routes->cold[1].flows_per_s == 4.5f);
	route_table_free(doc.routes);
	directory_free(names);
}

#define DOWNLOAD_ROUTE                                                         \
	"{\"host\":\"198.18.0.2\",\"prefix\":\"/443/\",\"kind\":\"download\"," \
	"\"timeout-ms\":4000,\"priority\":2,\"service\":\"s\"}"

/* Guards against downloads taken for requests that must not be repeated, and
 * against load control for deployments that don't call for it. */
static void test_downloads_call_for_load_control(void **state)
{
	struct directory *names = new_names();
	struct decoded_document doc;

	(void)state;
	assert_int_equal(decode("op/config",
				"{\"version\":7,\"routes\":[" ROUTE
				"," DOWNLOAD_ROUTE "]}",
				names, &doc),
			 0);
	assert_int_equal(doc.routes->routes[1].kind, ROUTE_DOWNLOAD);
	assert_true(route_kind_is_idempotent(doc.routes->routes[1].kind));
	assert_true(doc.routes->load_control);
	route_table_free(doc.routes);
	assert_int_equal(decode("op/config",
				"{\"version\":8,\"routes\":[" ROUTE "]}", names,
				&doc),
			 0);
	assert_false(doc.routes->load_control);
	route_table_free(doc.routes);
	directory_free(names);
}

/* Taking the valid part of a bad configuration would drop routes. */
static void test_bad_document_is_rejected_as_a_whole(void **state)
{
	static const char *const invalid[][2] = {
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
	struct directory *names = new_names();
	struct decoded_document doc;

	(void)state;
	for (size_t i = 0; i < sizeof(invalid) / sizeof(invalid[0]); i++)
		assert_int_equal(decode(invalid[i][0], invalid[i][1], names,
					&doc),
				 -EPROTO);
	assert_int_equal(decode("other/key", "x", names, &doc), 0);
	assert_int_equal(doc.kind, DOCUMENT_OTHER);
	directory_free(names);
}

/* A malformed value must not prevent an evacuation. */
static void test_evacuation_is_taken_with_any_value(void **state)
{
	static const char *const bodies[] = { "{}", "", "[1]", "not JSON" };
	struct directory *names = new_names();
	struct decoded_document doc;

	(void)state;
	for (size_t i = 0; i < sizeof(bodies) / sizeof(bodies[0]); i++) {
		assert_int_equal(decode("op/evacuate/garda-hall", bodies[i],
					names, &doc),
				 0);
		assert_int_equal(doc.kind, DOCUMENT_EVACUATION);
		assert_string_equal(doc.data_centre, "garda-hall");
	}
	assert_int_equal(decode("op/evacuate/garda-hall", NULL, names, &doc),
			 0);
	assert_int_equal(doc.kind, DOCUMENT_EVACUATION);
	directory_free(names);
}

static void test_evacuation_without_a_valid_name_is_rejected(void **state)
{
	struct directory *names = new_names();
	struct decoded_document doc;
	char key[128] = "op/evacuate/";

	(void)state;
	assert_int_equal(decode(key, "{}", names, &doc), -EPROTO);
	memset(key + strlen(key), 'z', NAME_MAX_BYTES);
	assert_int_equal(decode(key, "{}", names, &doc), -EPROTO);
	directory_free(names);
}

/* Evacuations must not be dropped like unused keys. */
static void test_listing_contains_evacuations(void **state)
{
	static const char body[] =
		"{\"items\":[{\"key\":\"op/evacuate/como-hall\",\"value\":"
		"\"e30=\",\"revision\":8}],\"store-revision\":9}";
	struct answer_head head = { 0 };
	struct received received;

	(void)state;
	assert_int_equal(list(body, &received, &head), 0);
	assert_int_equal(received.n, 1);
	assert_string_equal(received.last.key, "op/evacuate/como-hall");
}

static void test_request_paths(void **state)
{
	char path[URL_PATH_MAX_BYTES];
	char key[DOCUMENT_KEY_MAX_BYTES + 1] = "";

	(void)state;
	/* Cut off, the next page would begin too early, and never end. */
	memset(key, '%', DOCUMENT_KEY_MAX_BYTES);
	users_list_path(key, false, path);
	assert_true(g_str_has_prefix(path, "/kv-range?prefix=&allow-stale=1"
					   "&after=%25%25"));
	assert_int_equal(strlen(strstr(path, "after=")),
			 strlen("after=") + 3 * DOCUMENT_KEY_MAX_BYTES);
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
		cmocka_unit_test(test_packet_is_decoded),
		cmocka_unit_test(test_packet_of_wrong_length_is_rejected),
		cmocka_unit_test(test_cookie_changes_only_the_echo_field),
		cmocka_unit_test(test_encapsulation_holds_the_target_id),
		cmocka_unit_test(test_reset_matches_the_documented_example),
		cmocka_unit_test(test_epoch_is_parsed_and_garbage_rejected),
		cmocka_unit_test(test_listing_is_decoded),
		cmocka_unit_test(test_malformed_item_does_not_hide_the_others),
		cmocka_unit_test(test_malformed_value_arrives_empty),
		cmocka_unit_test(
			test_unused_keys_and_oversized_values_take_no_memory),
		cmocka_unit_test(test_value_limit_is_exact),
		cmocka_unit_test(test_deletion_in_a_watch_is_decoded),
		cmocka_unit_test(test_malformed_answer_is_rejected),
		cmocka_unit_test(test_target_is_decoded),
		cmocka_unit_test(test_target_with_an_invalid_field_is_rejected),
		cmocka_unit_test(test_key_without_a_valid_id_is_rejected),
		cmocka_unit_test(test_target_before_its_service_is_known),
		cmocka_unit_test(
			test_last_value_of_a_deleted_target_is_decoded),
		cmocka_unit_test(test_configuration_is_decoded),
		cmocka_unit_test(test_downloads_call_for_load_control),
		cmocka_unit_test(test_bad_document_is_rejected_as_a_whole),
		cmocka_unit_test(test_evacuation_is_taken_with_any_value),
		cmocka_unit_test(
			test_evacuation_without_a_valid_name_is_rejected),
		cmocka_unit_test(test_listing_contains_evacuations),
		cmocka_unit_test(test_request_paths),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
