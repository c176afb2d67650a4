/*
 * Hostile bytes at cb-packet's edges: packets, the store's answers, documents,
 * heartbeats and peers' documents. The first byte chooses.
 */
#include "hello_codec.h"
#include "relay_codec.h"
#include "users_platform.h"

#include <stdlib.h>
#include <string.h>

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

static void read_value(void *ctx, const struct document *d)
{
	struct directory *names = ctx;
	struct decoded_document news;
	enum target_change change;
	const char *problem;
	int err = users_read_document(d, names, &news, &problem);

	if (news.kind == DOCUMENT_TARGET && (err || d->deleted))
		directory_mark_absent(names, &news.target, 1, 0);
	else if (news.kind == DOCUMENT_TARGET)
		directory_update_target(names, &news.target, 1, &change);
	if (!err)
		route_table_free(news.routes);
}

static bool begin(void *ctx, const struct relay_head *head,
		  struct document_sink *to)
{
	(void)head;
	*to = (struct document_sink){ ctx, read_value };
	return true;
}

static void packet(const uint8_t *data, uint32_t size)
{
	struct packet k;

	if (!users_read_packet(data, size, &k) &&
	    k.size_bytes + 32U != k.n_bytes)
		abort();
}

static void document(const uint8_t *data, uint32_t size, const char *key,
		     struct directory *names)
{
	struct document d = { .revision = 1 };
	uint8_t *copy = malloc(size + 1);

	memcpy(copy, data, size);
	copy[size] = '\0';
	strcpy(d.key, key);
	d.value = copy;
	d.size_bytes = size;
	read_value(names, &d);
	free(copy);
}

static void epoch(const uint8_t *data, uint32_t size)
{
	char text[64] = "";
	uint64_t read;

	memcpy(text, data, size < sizeof(text) ? size : sizeof(text) - 1);
	users_read_epoch(text, &read);
}

static struct document_value nothing_known(void *ctx, uint64_t key_hash,
					   struct position since)
{
	(void)ctx;
	(void)key_hash;
	(void)since;
	return (struct document_value){ 0 };
}

static void choose(uint8_t what, const uint8_t *data, uint32_t size,
		   struct directory *names)
{
	struct document_sink to = { names, read_value };
	struct answer_head head = { 0 };
	struct relay_receiver port = { names, begin, nothing_known };
	struct relay_head relay;
	struct hello hello;

	switch (what % 7) {
	case 0:
		packet(data, size);
		break;
	case 1:
		users_read_list((const char *)data, size, to, &head);
		break;
	case 2:
		document(data, size, "op/config", names);
		break;
	case 3:
		document(data, size, "servers/i-12", names);
		break;
	case 4:
		epoch(data, size);
		break;
	case 5:
		hello_decode(data, size, &hello);
		break;
	default:
		relay_decode(data, size, port, &relay);
		break;
	}
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	struct directory_conf conf = { NS_PER_S, NS_PER_S };
	static struct directory *names;

	if (!names) {
		names = directory_new(&conf);
		directory_add_service(names, "s");
	}
	if (size)
		choose(data[0], data + 1, (uint32_t)size - 1, names);
	return 0;
}
