// Versions join in any order to the same; a delta turns one content into the
// other, and a wrong one does no harm.
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

struct content_free_it {
	void operator()(content *c) const
	{
		content_free(c);
	}
};
using owned = std::unique_ptr<content, content_free_it>;

std::vector<item> items_of(const strings &texts)
{
	std::vector<item> items;

	for (const std::string &t : texts)
		items.push_back({ reinterpret_cast<const uint8_t *>(t.data()),
				  static_cast<uint32_t>(t.size()) });
	return items;
}

owned make(const strings &texts)
{
	auto items = items_of(texts);

	return owned(
		content_new(items.data(), static_cast<uint32_t>(items.size())));
}

version joined(version a, const version &b)
{
	version_join(&a, &b);
	return a;
}

bool same(const version &a, const version &b)
{
	return a.generation == b.generation && a.revision == b.revision &&
	       a.hash == b.hash && a.withdrawn_revision == b.withdrawn_revision;
}

// Few values, so that ties are common.
rc::Gen<version> versions()
{
	auto few = rc::gen::inRange<uint64_t>(0, 4);

	return rc::gen::build<version>(
		rc::gen::set(&version::generation, few),
		rc::gen::set(&version::revision, few),
		rc::gen::set(&version::hash, few),
		rc::gen::set(&version::withdrawn_revision, few));
}

// Few texts, so that contents overlap.
strings texts()
{
	return *rc::gen::container<strings>(rc::gen::container<std::string>(
		rc::gen::inRange<char>('a', 'd')));
}

bool check_versions()
{
	bool ok = rc::check("joining does not depend on the order", [] {
		version a = *versions(), b = *versions(), c = *versions();

		RC_ASSERT(same(joined(a, b), joined(b, a)));
		RC_ASSERT(
			same(joined(joined(a, b), c), joined(a, joined(b, c))));
		RC_ASSERT(same(joined(a, a), a));
	});

	ok &= rc::check("a joined version is never below either", [] {
		version a = *versions(), b = *versions();
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
		owned from = make(texts()), to = make(texts());
		struct delta d;

		RC_ASSERT(content_diff(from.get(), to.get(), &d) == 0);
		owned patched(content_patch(from.get(), &d));
		delta_clear(&d);
		RC_ASSERT(patched && patched->hash == to->hash);
		RC_ASSERT(patched->n == to->n);
	});

	ok &= rc::check("order and repetition do not change a content", [] {
		strings some = texts(), more = some;

		more.insert(more.end(), some.rbegin(), some.rend());
		RC_ASSERT(make(some)->hash == make(more)->hash);
	});
	ok &= rc::check("only a delta that fits the base is taken", [] {
		owned from = make(texts());
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
		owned patched(content_patch(from.get(), &d));
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
