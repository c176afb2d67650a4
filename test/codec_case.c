#include "codec_case.h"

#include "account_codec.h"
#include "spread_codec.h"

#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define ITEMS_MAX 512
#define MAC_BYTES 16
#define HEADER_BYTES (1 + MAC_BYTES)
#define SERVICES_MAX 8
#define TARGETS_MAX 8

static const struct spread_auth auth = { { 1, 2, 3 } };

enum codec_result codec_account(const uint8_t *bytes, const uint32_t *ends,
				uint32_t n)
{
	struct item items[ITEMS_MAX];
	struct content *content, *encoded = NULL;
	struct account_conf *account = NULL;
	enum codec_result result = CODEC_REJECTED;
	uint32_t start = 0;

	for (uint32_t i = 0; i < n; i++) {
		items[i].data = bytes + start;
		items[i].size_bytes = ends[i] - start;
		start = ends[i];
	}
	content = content_new(items, n);
	if (!account_decode("sailing", 7, content, &account) &&
	    !account_encode(account, &encoded))
		result = content->n == encoded->n ? CODEC_SAME : CODEC_CHANGED;
	account_free(account);
	content_free(encoded);
	content_free(content);
	return result;
}

uint32_t codec_account_sample(uint32_t n_services, uint32_t n_targets,
			      uint8_t *bytes, uint32_t *ends, uint32_t cap)
{
	struct target_conf targets[SERVICES_MAX][TARGETS_MAX] = { 0 };
	struct service_conf services[SERVICES_MAX] = { 0 };
	struct account_conf account = {
		.name = "sailing",
		.generation = 7,
		.weight = 10,
		.services = services,
		.n_services = n_services,
	};
	struct content *content;
	uint32_t used = 0, n;

	for (uint32_t i = 0; i < n_services; i++) {
		snprintf(services[i].name, NAME_MAX_BYTES, "s%u", i);
		services[i].vip = ADDR(0x7f010000 + i, 5683);
		services[i].request_timeout_ns = 5 * NS_PER_S;
		services[i].targets = targets[i];
		services[i].n_targets = n_targets;
		for (uint32_t j = 0; j < n_targets; j++) {
			targets[i][j].addr = ADDR(0x7f020000 + j, 5683);
			targets[i][j].weight = 100;
			targets[i][j].slots = 2;
		}
	}
	if (account_encode(&account, &content))
		return 0;
	for (uint32_t i = 0;
	     i < content->n && used + content->items[i].size_bytes <= cap;
	     i++) {
		memcpy(bytes + used, content->items[i].data,
		       content->items[i].size_bytes);
		used += content->items[i].size_bytes;
		ends[i] = used;
	}
	n = content->n;
	content_free(content);
	return n;
}

enum codec_result codec_frame(const uint8_t *body, uint32_t size_bytes)
{
	uint8_t *frame = malloc(HEADER_BYTES + size_bytes);
	enum codec_result result = CODEC_REJECTED;
	crypto_generichash_state state;
	uint32_t encoded_bytes;
	struct spread_msg msg;
	uint8_t *encoded;

	frame[0] = SPREAD_CODEC_VERSION;
	if (size_bytes)
		memcpy(frame + HEADER_BYTES, body, size_bytes);
	crypto_generichash_init(&state, auth.key, sizeof(auth.key), MAC_BYTES);
	crypto_generichash_update(&state, frame, 1);
	crypto_generichash_update(&state, body, size_bytes);
	crypto_generichash_final(&state, frame + 1, MAC_BYTES);
	if (!spread_decode(frame, HEADER_BYTES + size_bytes, &auth, &msg)) {
		if (spread_encode(&msg, &auth, &encoded, &encoded_bytes))
			abort();
		result = encoded_bytes == HEADER_BYTES + size_bytes &&
					 !memcmp(encoded, frame, encoded_bytes)
				 ? CODEC_SAME
				 : CODEC_CHANGED;
		free(encoded);
		spread_msg_clear(&msg);
	}
	free(frame);
	return result;
}

uint32_t codec_frame_sample(uint8_t kind, uint64_t seed, uint8_t *body,
			    uint32_t cap)
{
	struct rng rng = { seed | 1 };
	struct spread_offer offers[3] = { 0 };
	uint32_t removed[] = { 1, 70, 300 };
	struct item added[] = { { (const uint8_t *)"ab", 2 }, { NULL, 0 } };
	struct spread_msg msg = {
		.kind = kind,
		.from = rng_next(&rng) >> 16 | 1,
		.store_digest = rng_next(&rng),
		.wants_reply = seed % 2,
		.bucket = (int32_t)(seed % (SPREAD_BUCKETS + 1)) - 1,
		.offers = offers,
		.n_offers = kind == SPREAD_DATA ? 1 : 3,
		.base_hash = rng_next(&rng),
		.delta = { removed, 3, added, 2 },
	};
	uint32_t size_bytes;
	uint8_t *frame;

	for (uint32_t i = 0; i < 3; i++) {
		snprintf(offers[i].key, sizeof(offers[i].key), "account/%u", i);
		offers[i].version.generation = 1 + rng_next(&rng) % 1000;
		offers[i].version.hash = rng_next(&rng);
	}
	if (spread_encode(&msg, &auth, &frame, &size_bytes))
		return 0;
	size_bytes -= HEADER_BYTES;
	if (size_bytes > cap)
		size_bytes = 0;
	memcpy(body, frame + HEADER_BYTES, size_bytes);
	free(frame);
	return size_bytes;
}
