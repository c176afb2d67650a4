/*
 * Measures the time that the codecs take for one datagram, in nanoseconds, and
 * the sizes of the messages between entries. Each line gives a name, a value
 * and a unit.
 */
#include "coap_wire.h"
#include "proxy2.h"
#include "wire.h"

#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#define ROUNDS 200000
#define REPEATS 5
#define MAC_BYTES 16

static const uint8_t key[WIRE_KEY_BYTES] = { 5 };
static const uint64_t vm = ADDR(0x7f460101, 7000);
static const uint64_t target = ADDR(0x7f460301, 5683);
static const struct flow_key flow = { ADDR(0x7f460801, 40001),
				      ADDR(0x7f46020a, 5683) };

/* POST /report?id=..., Timeout 5000, 40 bytes of payload. */
static const uint8_t request[] = "\x44\x02\x12\x34\x01\x02\x03\x04"
				 "\xb6report"
				 "\x4d\x06id=0123456789abcdef"
				 "\xe2\xfc\xcc\x13\x88"
				 "\xff"
				 "0123456789012345678901234567890123456789";
#define REQUEST_BYTES (sizeof(request) - 1)

/*
 * Results are added here, so that the compiler can't optimise the calls away.
 */
static volatile uint64_t sink;

static uint64_t now_ns(void)
{
	struct timespec t;

	clock_gettime(CLOCK_MONOTONIC, &t);
	return (uint64_t)t.tv_sec * NS_PER_S + (uint64_t)t.tv_nsec;
}

/* Takes the fastest of several runs, as other work on the machine adds time. */
static void measure(const char *name, void (*one)(void))
{
	uint64_t best_ns = UINT64_MAX;

	for (uint32_t r = 0; r < REPEATS; r++) {
		uint64_t start_ns = now_ns();
		uint64_t took_ns;

		for (uint32_t i = 0; i < ROUNDS; i++)
			one();
		took_ns = now_ns() - start_ns;
		if (took_ns < best_ns)
			best_ns = took_ns;
	}
	printf("%s %.1f ns\n", name, (double)best_ns / ROUNDS);
}

static struct action rewrite_action(uint64_t timeout_ns)
{
	return (struct action){ .kind = ACT_TO_TARGET,
				.type = WIRE_CONFIRM,
				.id = 7,
				.token_len = 8,
				.token = { 1, 2, 3, 4, 5, 6, 7, 8 },
				.timeout_ns = timeout_ns,
				.data = request,
				.size_bytes = REQUEST_BYTES };
}

static struct action plain_rewrite;
static struct action timed_rewrite;
static struct action refusal;
static struct peer_msg forward;
static struct peer_msg claim;
static struct peer_msg claims;
static uint8_t forward_wire[WIRE_MAX_BYTES];
static uint32_t forward_bytes;
static uint8_t claim_wire[WIRE_MAX_BYTES];
static uint32_t claim_bytes;
static uint8_t claims_wire[WIRE_MAX_BYTES];
static uint32_t claims_bytes;
static uint8_t proxied[PROXY2_BYTES];

static void one_read(void)
{
	struct message m;

	sink += (uint64_t)coap_wire_parse(request, REQUEST_BYTES, &m) + m.id;
}

static void one_rewrite(void)
{
	uint8_t out[2048];

	sink += (uint64_t)coap_wire_rewrite(&plain_rewrite, out, sizeof(out));
}

static void one_rewrite_timeout(void)
{
	uint8_t out[2048];

	sink += (uint64_t)coap_wire_rewrite(&timed_rewrite, out, sizeof(out));
}

static void one_answer(void)
{
	uint8_t out[2048];

	sink += (uint64_t)coap_wire_local_answer(&refusal, out, sizeof(out));
}

static void one_proxy2(void)
{
	uint64_t source;
	uint64_t destination;

	sink += (uint64_t)proxy2_read(proxied, sizeof(proxied), &source,
				      &destination);
}

static void encode(const struct peer_msg *m)
{
	uint8_t out[WIRE_MAX_BYTES];

	sink += (uint64_t)wire_encode(m, key, out, sizeof(out));
}

static void decode(const uint8_t *buf, uint32_t size_bytes)
{
	struct peer_msg m;

	sink += (uint64_t)wire_decode(buf, size_bytes, key, &m) + m.seq;
}

static void one_encode_forward(void)
{
	encode(&forward);
}

static void one_decode_forward(void)
{
	decode(forward_wire, forward_bytes);
}

static void one_encode_claim(void)
{
	encode(&claim);
}

static void one_decode_claim(void)
{
	decode(claim_wire, claim_bytes);
}

static void one_encode_claims(void)
{
	encode(&claims);
}

static void one_decode_claims(void)
{
	decode(claims_wire, claims_bytes);
}

static void one_mac_blake2b(void)
{
	uint8_t mac[MAC_BYTES];

	crypto_generichash(mac, sizeof(mac), forward_wire, forward_bytes, key,
			   sizeof(key));
	sink += mac[0];
}

static void one_mac_siphash(void)
{
	uint8_t mac[crypto_shorthash_siphashx24_BYTES];

	crypto_shorthash_siphashx24(mac, forward_wire, forward_bytes, key);
	sink += mac[0];
}

static struct peer_msg message(uint8_t kind)
{
	return (struct peer_msg){ .kind = kind,
				  .from = vm,
				  .incarnation = 1796234231031ULL,
				  .view = 0x9574a3b1c2d4e5f6ULL };
}

static struct peer_msg message_with_claims(uint8_t kind, uint8_t n)
{
	struct peer_msg m = message(kind);

	m.n_claims = n;
	for (uint8_t i = 0; i < n; i++)
		m.claims[i] =
			(struct claim){ .request = 0xfeedfacecafe0000 + i,
					.bucket = 9000,
					.claimer = vm,
					.start_incarnation = 1796234231031ULL,
					.target = target,
					.state = CLAIM_OPEN };
	return m;
}

static struct peer_msg message_with_gossip(uint8_t kind, uint8_t n)
{
	struct peer_msg m = message(kind);

	m.seq = 70000;
	m.n_gossip = n;
	for (uint8_t i = 0; i < n; i++)
		m.gossip[i] = (struct gossip){ .vm = vm + i,
					       .incarnation = 1796234231031ULL,
					       .state = MEMBER_SUSPECT };
	return m;
}

static struct peer_msg message_of_flow(uint8_t kind, uint8_t token_len)
{
	struct peer_msg m = message(kind);

	m.key = flow;
	m.target = kind == PEER_FORWARD ? ADDR_NONE : target;
	m.hops = kind == PEER_FORWARD;
	m.token_len = token_len;
	return m;
}

static struct peer_msg with_data(struct peer_msg m, uint32_t size_bytes)
{
	m.data = request;
	m.size_bytes = size_bytes;
	return m;
}

static void print_size(const char *name, const struct peer_msg *m)
{
	uint8_t out[WIRE_MAX_BYTES];

	printf("size_%s %d bytes\n", name,
	       wire_encode(m, key, out, sizeof(out)));
}

static void print_sizes(void)
{
	const struct {
		const char *name;
		struct peer_msg m;
	} rows[] = {
		{ "ping", message_with_gossip(PEER_PING, 0) },
		{ "ping_8_news",
		  message_with_gossip(PEER_PING, GOSSIP_UPDATES_MAX) },
		{ "ack", message_with_gossip(PEER_ACK, 0) },
		{ "forward_overhead",
		  with_data(message_of_flow(PEER_FORWARD, 0), 0) },
		{ "claim_1", message_with_claims(PEER_CLAIM, 1) },
		{ "claim_32", message_with_claims(PEER_CLAIM, CLAIMS_MAX) },
		{ "grant_1", message_with_claims(PEER_GRANT, 1) },
		{ "settle_1", message_with_claims(PEER_SETTLE, 1) },
		{ "record_32", message_with_claims(PEER_RECORD, CLAIMS_MAX) },
		{ "feed_40_opening",
		  with_data(message_of_flow(PEER_FEED, 4), 40) },
		{ "feed_close", message_of_flow(PEER_FEED_CLOSE, 4) },
		{ "unpin", message_of_flow(PEER_UNPIN, 0) },
		{ "handover", message(PEER_HANDOVER) },
	};

	for (size_t i = 0; i < sizeof(rows) / sizeof(rows[0]); i++)
		print_size(rows[i].name, &rows[i].m);
}

static void prepare(void)
{
	plain_rewrite = rewrite_action(0);
	timed_rewrite = rewrite_action(3 * NS_PER_S);
	refusal = rewrite_action(0);
	refusal.answer = ANSWER_NOT_RUN;
	refusal.reason = REFUSE_QUEUE;
	refusal.retry_after_s = 30;
	forward = with_data(message_of_flow(PEER_FORWARD, 0), REQUEST_BYTES);
	claim = message_with_claims(PEER_CLAIM, 1);
	claims = message_with_claims(PEER_CLAIM, CLAIMS_MAX);
	forward_bytes = (uint32_t)wire_encode(&forward, key, forward_wire,
					      sizeof(forward_wire));
	claim_bytes = (uint32_t)wire_encode(&claim, key, claim_wire,
					    sizeof(claim_wire));
	claims_bytes = (uint32_t)wire_encode(&claims, key, claims_wire,
					     sizeof(claims_wire));
	proxy2_write(proxied, flow.caller, flow.vip);
}

int main(void)
{
	static const struct {
		const char *name;
		void (*one)(void);
	} rows[] = {
		{ "proxy2_read", one_proxy2 },
		{ "coap_read", one_read },
		{ "coap_rewrite", one_rewrite },
		{ "coap_rewrite_timeout", one_rewrite_timeout },
		{ "coap_answer", one_answer },
		{ "wire_encode_forward", one_encode_forward },
		{ "wire_decode_forward", one_decode_forward },
		{ "wire_encode_claim_1", one_encode_claim },
		{ "wire_decode_claim_1", one_decode_claim },
		{ "wire_encode_claim_32", one_encode_claims },
		{ "wire_decode_claim_32", one_decode_claims },
		{ "mac_blake2b", one_mac_blake2b },
		{ "mac_siphash", one_mac_siphash },
	};
	struct message m;

	if (sodium_init() < 0)
		return EXIT_FAILURE;
	prepare();
	if (coap_wire_parse(request, REQUEST_BYTES, &m)) {
		fputs("bench-packet: the built-in request does not parse\n",
		      stderr);
		return EXIT_FAILURE;
	}
	printf("request %zu bytes\nforward %u bytes\n", REQUEST_BYTES,
	       forward_bytes);
	for (size_t i = 0; i < sizeof(rows) / sizeof(rows[0]); i++)
		measure(rows[i].name, rows[i].one);
	print_sizes();
	return EXIT_SUCCESS;
}
