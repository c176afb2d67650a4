// Decoders of accounts and of frames between cb-watch processes, with valid,
// damaged and random bytes.
#include "codec_case.h"

#include <rapidcheck.h>

#include <vector>

namespace
{

constexpr uint32_t cap = 1 << 16;
constexpr uint8_t kinds = 9;

struct items {
	std::vector<uint8_t> bytes;
	std::vector<uint32_t> ends;
};

items sample_account(uint32_t services, uint32_t targets)
{
	items i;

	i.bytes.resize(cap);
	i.ends.resize(512);
	i.ends.resize(codec_account_sample(services, targets, i.bytes.data(),
					   i.ends.data(), cap));
	i.bytes.resize(i.ends.back());
	return i;
}

std::vector<uint8_t> sample_frame(uint8_t kind, uint64_t seed)
{
	std::vector<uint8_t> body(cap);

	body.resize(codec_frame_sample(kind, seed, body.data(), cap));
	return body;
}

codec_result read(const items &i)
{
	return codec_account(i.bytes.data(), i.ends.data(),
			     static_cast<uint32_t>(i.ends.size()));
}

codec_result read(const std::vector<uint8_t> &body)
{
	return codec_frame(body.data(), static_cast<uint32_t>(body.size()));
}

// Overwrites one to four random bytes.
void damage(std::vector<uint8_t> &bytes)
{
	auto count = *rc::gen::inRange<uint32_t>(1, 5);

	for (uint32_t i = 0; i < count; i++) {
		auto at = *rc::gen::inRange<size_t>(0, bytes.size());

		bytes[at] = *rc::gen::arbitrary<uint8_t>();
	}
}

bool accounts()
{
	bool ok = rc::check("encoding and decoding keeps an account", [] {
		auto i = sample_account(*rc::gen::inRange<uint32_t>(0, 9),
					*rc::gen::inRange<uint32_t>(0, 9));

		RC_ASSERT(read(i) == CODEC_SAME);
	});

	ok &= rc::check("a damaged account is rejected or decoded completely",
			[] {
				auto i = sample_account(4, 4);

				damage(i.bytes);
				RC_ASSERT(read(i) != CODEC_CHANGED);
			});
	ok &= rc::check(
		"a truncated account is rejected or decoded completely", [] {
			auto i = sample_account(4, 4);

			i.ends.resize(
				*rc::gen::inRange<size_t>(0, i.ends.size()));
			RC_ASSERT(read(i) != CODEC_CHANGED);
			RC_ASSERT(!i.ends.empty() || read(i) == CODEC_REJECTED);
		});
	return ok;
}

bool frames()
{
	bool ok = rc::check("encoding and decoding keeps a frame", [] {
		auto body =
			sample_frame(*rc::gen::inRange<uint8_t>(1, kinds + 1),
				     *rc::gen::arbitrary<uint64_t>());

		RC_ASSERT(!body.empty());
		RC_ASSERT(read(body) == CODEC_SAME);
	});

	ok &= rc::check("a truncated frame is rejected", [] {
		auto body =
			sample_frame(*rc::gen::inRange<uint8_t>(1, kinds + 1),
				     *rc::gen::arbitrary<uint64_t>());

		body.resize(*rc::gen::inRange<size_t>(0, body.size()));
		RC_ASSERT(read(body) == CODEC_REJECTED);
	});
	ok &= rc::check("a frame with an extra byte is rejected", [] {
		auto body = sample_frame(
			*rc::gen::inRange<uint8_t>(1, kinds + 1), 1);

		body.push_back(*rc::gen::arbitrary<uint8_t>());
		RC_ASSERT(read(body) == CODEC_REJECTED);
	});
	ok &= rc::check("a damaged frame causes no invalid access", [] {
		auto body =
			sample_frame(*rc::gen::inRange<uint8_t>(1, kinds + 1),
				     *rc::gen::arbitrary<uint64_t>());

		damage(body);
		read(body);
	});
	ok &= rc::check("random bytes cause no invalid access",
			[](const std::vector<uint8_t> &body) { read(body); });
	return ok;
}

} // namespace

int main()
{
	bool ok = accounts();

	ok &= frames();
	return ok ? 0 : 1;
}
