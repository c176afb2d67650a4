#include <cstring>
#include <vector>

#include <rapidcheck.h>
#include <sodium.h>

extern "C" {
#include "wire.h"
}

static const uint8_t key[WIRE_KEY_BYTES] = { 7 };
static const uint32_t mac_bytes = 16;

static std::vector<uint8_t> bytes_up_to(uint32_t n)
{
	auto size = *rc::gen::inRange<uint32_t>(0, n + 1);

	return *rc::gen::container<std::vector<uint8_t>>(
		size, rc::gen::arbitrary<uint8_t>());
}

template <class T> static T any()
{
	return *rc::gen::arbitrary<T>();
}

static claim any_claim()
{
	claim c = {};

	c.request = any<uint64_t>();
	c.bucket = any<uint32_t>();
	c.claimer = any<uint64_t>();
	c.start_incarnation = any<uint64_t>();
	c.target = any<uint64_t>();
	c.state = *rc::gen::inRange<int>(CLAIM_NONE, CLAIM_UNKNOWN + 1);
	c.granted = any<bool>();
	c.history_known = any<bool>();
	return c;
}

static void any_lists(peer_msg &m)
{
	m.n_gossip = *rc::gen::inRange(0, GOSSIP_UPDATES_MAX + 1);
	for (int i = 0; i < m.n_gossip; i++) {
		m.gossip[i].vm = any<uint64_t>();
		m.gossip[i].incarnation = any<uint64_t>();
		m.gossip[i].state = *rc::gen::inRange<int>(0, MEMBER_DEAD + 1);
	}
	m.n_claims = *rc::gen::inRange(0, CLAIMS_MAX + 1);
	for (int i = 0; i < m.n_claims; i++)
		m.claims[i] = any_claim();
}

static peer_msg any_msg(const std::vector<uint8_t> &data)
{
	peer_msg m;
	auto token = bytes_up_to(TOKEN_MAX_BYTES);

	memset(&m, 0, sizeof(m));
	m.kind = *rc::gen::inRange<int>(PEER_PING, PEER_KIND_COUNT);
	m.from = any<uint64_t>();
	m.incarnation = any<uint64_t>();
	m.view = any<uint64_t>();
	m.seq = any<uint64_t>();
	m.subject = any<uint64_t>();
	m.hops = any<uint8_t>();
	m.key = { any<uint64_t>(), any<uint64_t>() };
	m.target = any<uint64_t>();
	m.token_len = token.size();
	std::copy(token.begin(), token.end(), m.token);
	any_lists(m);
	m.data = data.data();
	m.size_bytes = data.size();
	return m;
}

static bool same(const peer_msg &a, const peer_msg &b)
{
	peer_msg x = a;
	peer_msg y = b;

	if (x.size_bytes != y.size_bytes)
		return false;
	if (x.size_bytes && memcmp(x.data, y.data, x.size_bytes))
		return false;
	x.data = y.data = nullptr;
	/*
	 * Padding is equal, since both were zeroed and then set member by
	 * member.
	 */
	return memcmp(&x, &y, offsetof(peer_msg, claims)) == 0 &&
	       std::equal(x.claims, x.claims + x.n_claims, y.claims,
			  [](const claim &p, const claim &q) {
				  return p.request == q.request &&
					 p.bucket == q.bucket &&
					 p.claimer == q.claimer &&
					 p.start_incarnation ==
						 q.start_incarnation &&
					 p.target == q.target &&
					 p.state == q.state &&
					 p.granted == q.granted &&
					 p.history_known == q.history_known;
			  });
}

static std::vector<uint8_t> encode(const peer_msg &m)
{
	std::vector<uint8_t> buf(WIRE_MAX_BYTES);
	int32_t n = wire_encode(&m, key, buf.data(), buf.size());

	RC_ASSERT(n > 0);
	buf.resize(n);
	return buf;
}

static void sign(std::vector<uint8_t> &buf)
{
	size_t body = buf.size() - mac_bytes;

	crypto_shorthash_siphashx24(buf.data() + body, buf.data(), body, key);
}

static bool in_bounds(const peer_msg &m)
{
	if (m.kind == 0 || m.kind >= PEER_KIND_COUNT)
		return false;
	if (m.token_len > TOKEN_MAX_BYTES || m.n_gossip > GOSSIP_UPDATES_MAX)
		return false;
	return m.n_claims <= CLAIMS_MAX && m.size_bytes <= WIRE_MAX_BYTES;
}

/* A heap copy of exactly the size of the datagram lets ASan detect overruns. */
static int decode(const std::vector<uint8_t> &buf, peer_msg &m)
{
	std::vector<uint8_t> tight(buf.begin(), buf.end());

	return wire_decode(tight.data(), tight.size(), key, &m);
}

int main()
{
	bool ok = true;
	peer_msg got;

	ok &= rc::check("every message survives the round trip", [&] {
		auto data = bytes_up_to(1200);
		peer_msg m = any_msg(data);
		auto buf = encode(m);

		RC_ASSERT(wire_decode(buf.data(), buf.size(), key, &got) == 0);
		RC_ASSERT(same(m, got));
	});
	ok &= rc::check("a datagram cut short is refused", [&] {
		auto data = bytes_up_to(40);
		auto buf = encode(any_msg(data));

		buf.resize(*rc::gen::inRange<size_t>(0, buf.size()));
		RC_ASSERT(decode(buf, got) < 0);
	});
	ok &= rc::check("a changed byte is refused", [&] {
		auto data = bytes_up_to(40);
		auto buf = encode(any_msg(data));
		auto at = *rc::gen::inRange<size_t>(0, buf.size());

		buf[at] ^= *rc::gen::inRange(1, 256);
		RC_ASSERT(decode(buf, got) < 0);
	});
	ok &= rc::check("random bytes are refused", [&] {
		auto buf = bytes_up_to(200);

		if (!buf.empty() && any<bool>())
			buf[0] = WIRE_VERSION;
		RC_ASSERT(decode(buf, got) < 0);
	});
	ok &= rc::check("a hostile holder of the key can't break bounds", [&] {
		auto data = bytes_up_to(40);
		auto buf = encode(any_msg(data));
		auto changes = *rc::gen::inRange(1, 4);

		buf.resize(buf.size() - *rc::gen::inRange<size_t>(0, 3));
		for (int i = 0; i < changes; i++) {
			auto at = *rc::gen::inRange<size_t>(1, buf.size());

			buf[at] = any<uint8_t>();
		}
		sign(buf);
		if (decode(buf, got) == 0)
			RC_ASSERT(in_bounds(got));
	});
	ok &= rc::check("authentic random bodies can't break bounds", [&] {
		auto body = bytes_up_to(80);

		body.insert(body.begin(), WIRE_VERSION);
		body.resize(body.size() + mac_bytes);
		sign(body);
		if (decode(body, got) == 0)
			RC_ASSERT(in_bounds(got));
	});
	return ok ? 0 : 1;
}
