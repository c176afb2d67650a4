#include <cstring>
#include <vector>

#include <rapidcheck.h>

/* The core's headers are C and name a field "class". */
#define class class_
extern "C" {
#include "coap_wire.h"
}
#undef class
#include <coap3/coap.h>

using bytes = std::vector<uint8_t>;

/* Ascending numbers of options whose length libcoap doesn't check. */
static const uint16_t option_numbers[] = {
	2048, 2050, 9000, 64000, 65002, 65010
};

static bytes random_bytes(uint32_t n)
{
	auto size = *rc::gen::inRange<uint32_t>(0, n + 1);

	return *rc::gen::container<bytes>(size, rc::gen::arbitrary<uint8_t>());
}

/* A valid request; @options is the offset of its options. */
struct request {
	bytes data;
	size_t options;
};

static void put_option(bytes &to, uint16_t delta, const bytes &value)
{
	bytes opt(value.size() + 8);

	opt.resize(coap_opt_encode(opt.data(), opt.size(), delta, value.data(),
				   value.size()));
	to.insert(to.end(), opt.begin(), opt.end());
}

static request random_request(bool with_timeout)
{
	auto token = random_bytes(TOKEN_MAX_BYTES);
	auto payload = random_bytes(60);
	uint16_t last = 0;
	request r = { { uint8_t(0x40 | token.size()), 2, 0, 9 }, 0 };

	r.data.insert(r.data.end(), token.begin(), token.end());
	r.options = r.data.size();
	for (uint16_t number : option_numbers) {
		if (with_timeout && number > OPTION_TIMEOUT &&
		    last < OPTION_TIMEOUT) {
			put_option(r.data, OPTION_TIMEOUT - last, { 9, 9 });
			last = OPTION_TIMEOUT;
		}
		if (!*rc::gen::arbitrary<bool>())
			continue;
		put_option(r.data, number - last, random_bytes(300));
		last = number;
	}
	if (!payload.empty()) {
		r.data.push_back(0xff);
		r.data.insert(r.data.end(), payload.begin(), payload.end());
	}
	return r;
}

static action random_action(const bytes &data)
{
	action a = {};
	auto token = random_bytes(TOKEN_MAX_BYTES);

	a.type = WIRE_CONFIRM;
	a.id = *rc::gen::arbitrary<uint16_t>();
	a.token_len = token.size();
	std::copy(token.begin(), token.end(), a.token);
	a.data = data.data();
	a.size_bytes = data.size();
	return a;
}

static bytes rewrite(const action &a)
{
	bytes out(4096);
	int32_t n = coap_wire_rewrite(&a, out.data(), out.size());

	RC_ASSERT(n > 0);
	out.resize(n);
	return out;
}

/* Numbers and values of all options but Timeout, then the payload. */
static bytes other_options_and_payload(const bytes &data)
{
	coap_pdu_t *pdu =
		coap_pdu_init(COAP_MESSAGE_CON, COAP_EMPTY_CODE, 0, 4096);
	coap_opt_iterator_t it;
	const uint8_t *payload;
	size_t n;
	bytes rest;

	RC_ASSERT(
		coap_pdu_parse(COAP_PROTO_UDP, data.data(), data.size(), pdu));
	coap_option_iterator_init(pdu, &it, COAP_OPT_ALL);
	while (coap_opt_t *opt = coap_option_next(&it)) {
		if (it.number == OPTION_TIMEOUT)
			continue;
		rest.push_back(it.number >> 8);
		rest.push_back(it.number & 0xff);
		rest.insert(rest.end(), coap_opt_value(opt),
			    coap_opt_value(opt) + coap_opt_length(opt));
	}
	if (coap_get_data(pdu, &n, &payload))
		rest.insert(rest.end(), payload, payload + n);
	coap_delete_pdu(pdu);
	return rest;
}

static void call_all_writers(const bytes &data)
{
	/* Without spare capacity, so that ASan finds reads past the end. */
	bytes exact_copy(data.begin(), data.end());
	action a = random_action(exact_copy);
	load_report report;
	bytes out(*rc::gen::inRange<size_t>(0, 300));

	a.timeout_ns = *rc::gen::element<uint64_t>(0, NS_PER_S);
	RC_ASSERT(coap_wire_rewrite(&a, out.data(), out.size()) <=
		  int32_t(out.size()));
	RC_ASSERT(coap_wire_cancel(&a, out.data(), out.size()) <=
		  int32_t(out.size()));
	coap_wire_parse_load(exact_copy.data(), exact_copy.size(), &report);
}

int main()
{
	bool ok = true;
	message m;

	ok &= rc::check(
		"a rewrite changes message ID and token, nothing else", [&] {
			request r = random_request(*rc::gen::arbitrary<bool>());
			action a = random_action(r.data);
			bytes out = rewrite(a);

			RC_ASSERT(bytes(r.data.begin() + r.options,
					r.data.end()) ==
				  bytes(out.begin() + 4 + a.token_len,
					out.end()));
			RC_PRE(out.size() <= DATAGRAM_MAX_BYTES);
			RC_ASSERT(coap_wire_parse(out.data(), out.size(), &m) ==
				  0);
			RC_ASSERT(m.id == a.id);
			RC_ASSERT(m.token_len == a.token_len);
			RC_ASSERT(memcmp(m.token, a.token, a.token_len) == 0);
		});
	ok &= rc::check(
		"a rewrite writes one Timeout option and keeps the rest", [&] {
			request r = random_request(*rc::gen::arbitrary<bool>());
			action a = random_action(r.data);

			a.timeout_ns = NS_PER_MS *
				       *rc::gen::inRange<uint64_t>(1, 1u << 31);
			bytes out = rewrite(a);
			RC_ASSERT(other_options_and_payload(out) ==
				  other_options_and_payload(r.data));
			RC_PRE(out.size() <= DATAGRAM_MAX_BYTES);
			RC_ASSERT(coap_wire_parse(out.data(), out.size(), &m) ==
				  0);
			RC_ASSERT(m.timeout_ns == a.timeout_ns);
		});
	ok &= rc::check("random bytes cause no invalid access", [&] {
		bytes data = random_bytes(120);
		bytes exact_copy(data.begin(), data.end());

		RC_ASSERT(coap_wire_parse(exact_copy.data(), exact_copy.size(),
					  &m) <= 0);
		call_all_writers(data);
	});
	ok &= rc::check("a mutated request causes no invalid access", [&] {
		bytes data = random_request(true).data;

		data.resize(*rc::gen::inRange<size_t>(0, data.size() + 1));
		if (!data.empty()) {
			auto at = *rc::gen::inRange<size_t>(0, data.size());

			data[at] = *rc::gen::arbitrary<uint8_t>();
		}
		bytes exact_copy(data.begin(), data.end());
		RC_ASSERT(coap_wire_parse(exact_copy.data(), exact_copy.size(),
					  &m) <= 0);
		call_all_writers(data);
	});
	return ok ? 0 : 1;
}
