/*
 * Fuzzes the decoders of cb-packet: packets, the store's answers, documents,
 * heartbeats and documents of peers. The first byte selects the decoder.
 */
#include "hello_codec.h"
#include "relay_codec.h"
#include "users_platform.h"

#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

static void apply_document(void *ctx, const struct document *document)
{
	struct directory *directory = ctx;
	struct decoded_document decoded;
	enum target_change change;
	const char *problem;
	int err = users_read_document(document, directory, &decoded, &problem);

	if (decoded.kind == DOCUMENT_TARGET && (err || document->deleted))
		directory_mark_absent(directory, &decoded.target, 1, 0);
	else if (decoded.kind == DOCUMENT_TARGET)
		directory_update_target(directory, &decoded.target, 1, &change);
	if (!err)
		route_table_free(decoded.routes);
}

static bool begin_answer(void *ctx, const struct relay_head *head,
			 struct document_sink *to)
{
	(void)head;
	*to = (struct document_sink){ ctx, apply_document };
	return true;
}

static void fuzz_packet(const uint8_t *data, uint32_t size)
{
	struct packet packet;

	if (!users_read_packet(data, size, &packet) &&
	    packet.size_bytes + 32U != packet.n_bytes)
		abort();
}

static void fuzz_document(const uint8_t *data, uint32_t size, const char *key,
			  struct directory *directory)
{
	struct document document = { .revision = 1 };
	uint8_t *copy = malloc(size + 1);

	memcpy(copy, data, size);
	copy[size] = '\0';
	strcpy(document.key, key);
	document.value = copy;
	document.size_bytes = size;
	apply_document(directory, &document);
	free(copy);
}

/* A valid record of a target at any address: accepted if a target can be there.
 */
static void fuzz_address(const uint8_t *data, uint32_t size,
			 struct directory *directory)
{
	struct document document = { .revision = 1, .key = "servers/i-12" };
	struct decoded_document decoded;
	const char *problem;
	char json[256];
	bool is_valid;
	uint16_t port;
	int err;

	if (size < 6)
		return;
	port = (uint16_t)(data[4] << 8 | data[5]);
	document.size_bytes = (uint32_t)snprintf(
		json, sizeof(json),
		"{\"service\":\"s\",\"address\":\"%u.%u.%u.%u:%u\","
		"\"zone\":\"z\",\"version\":\"1\",\"slots\":1,"
		"\"state\":\"ready\",\"cold-remaining-ms\":0,"
		"\"sequence\":1}",
		data[0], data[1], data[2], data[3], port);
	document.value = (uint8_t *)json;
	is_valid = data[0] > 0 && data[0] < 224 && port;
	err = users_read_document(&document, directory, &decoded, &problem);
	if (err != (is_valid ? 0 : -EPROTO))
		abort();
}

static void fuzz_epoch(const uint8_t *data, uint32_t size)
{
	char text[64] = "";
	uint64_t read;

	memcpy(text, data, size < sizeof(text) ? size : sizeof(text) - 1);
	users_read_epoch(text, &read);
}

static struct document_value no_known_value(void *ctx, uint64_t key_hash,
					    struct position since)
{
	(void)ctx;
	(void)key_hash;
	(void)since;
	return (struct document_value){ 0 };
}

static void fuzz_decoder(uint8_t decoder, const uint8_t *data, uint32_t size,
			 struct directory *directory)
{
	struct document_sink to = { directory, apply_document };
	struct answer_head head = { 0 };
	struct relay_receiver port = { directory, begin_answer,
				       no_known_value };
	struct relay_head relay;
	struct hello hello;

	switch (decoder % 8) {
	case 0:
		fuzz_packet(data, size);
		break;
	case 1:
		users_read_list((const char *)data, size, to, &head);
		break;
	case 2:
		fuzz_document(data, size, "op/config", directory);
		break;
	case 3:
		fuzz_document(data, size, "servers/i-12", directory);
		break;
	case 4:
		fuzz_epoch(data, size);
		break;
	case 5:
		hello_decode(data, size, &hello);
		break;
	case 6:
		fuzz_address(data, size, directory);
		break;
	default:
		relay_decode(data, size, port, &relay);
		break;
	}
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	struct directory_conf conf = { NS_PER_S, NS_PER_S };
	static struct directory *directory;

	if (!directory) {
		directory = directory_new(&conf);
		directory_add_service(directory, "s");
	}
	if (size)
		fuzz_decoder(data[0], data + 1, (uint32_t)size - 1, directory);
	return 0;
}
