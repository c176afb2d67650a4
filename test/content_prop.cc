// The join of versions does not depend on their order. A delta turns one
// content into the other, and one that does not fit is rejected.
extern "C" {
#include "content.h"
#include "version.h"
}

#include <rapidcheck.h>

#include <memory>
#include <string>
#include <vector>

namespace
{

using strings = std::vector<std::string>;

struct content_deleter {
	void operator()(content *c) const
	{
		content_free(c);
	}
};
using content_ptr = std::unique_ptr<content, content_deleter>;

std::vector<item> items_of(const strings &texts)
{
	std::vector<item> items;

	for (const std::string &t : texts)
		items.push_back({ reinterpret_cast<const uint8_t *>(t.data()),
				  static_cast<uint32_t>(t.size()) });
	return items;
}

content_ptr content_of(const strings &texts)
{
	auto items = items_of(texts);

	return content_ptr(
		content_new(items.data(), static_cast<uint32_t>(items.size())));
}

version joined(version a, const version &b)
{
	version_merge(&a, &b);
	return a;
}

bool same(const version &a, const version &b)
{
	return a.generation == b.generation && a.revision == b.revision &&
	       a.hash == b.hash && a.withdrawn_revision == b.withdrawn_revision;
}

// Small numbers, so that ties are common.
rc::Gen<version> any_version()
{
	auto small_number = rc::gen::inRange<uint64_t>(0, 4);

	return rc::gen::build<version>(
		rc::gen::set(&version::generation, small_number),
		rc::gen::set(&version::revision, small_number),
		rc::gen::set(&version::hash, small_number),
		rc::gen::set(&version::withdrawn_revision, small_number));
}

// Short texts of few letters, so that contents overlap.
strings some_texts()
{
	return *rc::gen::container<strings>(rc::gen::container<std::string>(
		rc::gen::inRange<char>('a', 'd')));
}

bool check_versions()
{
	bool ok = rc::check("joining does not depend on the order", [] {
		version a = *any_version(), b = *any_version(),
			c = *any_version();

		RC_ASSERT(same(joined(a, b), joined(b, a)));
		RC_ASSERT(
			same(joined(joined(a, b), c), joined(a, joined(b, c))));
		RC_ASSERT(same(joined(a, a), a));
	});

	ok &= rc::check("a joined version is never below either", [] {
		version a = *any_version(), b = *any_version();
		version j = joined(a, b);

		RC_ASSERT(j.generation >= a.generation);
		RC_ASSERT(j.generation >= b.generation);
		RC_ASSERT(!version_adds_to(&a, &j) && !version_adds_to(&b, &j));
		RC_ASSERT(version_adds_to(&b, &a) == !same(j, a));
	});
	return ok;
}

bool check_contents()
{
	bool ok = rc::check("a delta turns one content into the other", [] {
		content_ptr from = content_of(some_texts()),
			    to = content_of(some_texts());
		struct delta d;

		RC_ASSERT(content_diff(from.get(), to.get(), &d) == 0);
		content_ptr patched(content_patch(from.get(), &d));
		delta_clear(&d);
		RC_ASSERT(patched && patched->hash == to->hash);
		RC_ASSERT(patched->n == to->n);
	});

	ok &= rc::check("order and repetition do not change a content", [] {
		strings once = some_texts(), twice = once;

		twice.insert(twice.end(), once.rbegin(), once.rend());
		RC_ASSERT(content_of(once)->hash == content_of(twice)->hash);
	});
	ok &= rc::check("a delta that does not fit the base is rejected", [] {
		content_ptr from = content_of(some_texts());
		auto removed = *rc::gen::container<std::vector<uint32_t>>(
			rc::gen::inRange<uint32_t>(0, 4));
		struct delta d = {
			removed.data(),
			static_cast<uint32_t>(removed.size()),
			nullptr,
			0,
		};
		bool fits = true;

		for (size_t i = 0; i < removed.size(); i++)
			fits &= removed[i] < from->n &&
				(!i || removed[i - 1] < removed[i]);
		content_ptr patched(content_patch(from.get(), &d));
		RC_ASSERT(fits == !!patched);
		if (patched)
			RC_ASSERT(patched->n == from->n - d.n_removed);
	});
	return ok;
}

} // namespace

int main()
{
	bool ok = check_versions();

	ok &= check_contents();
	return ok ? 0 : 1;
}
