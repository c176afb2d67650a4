/*
 * What is published, spread in any order through any number of entries: never
 * back, all agree, a departed target is given no flows.
 */
#include <rapidcheck.h>

#include <cstring>
#include <map>
#include <string>
#include <vector>

extern "C" {
#include "directory.h"
#include "documents.h"
#include "assign.h"
}

namespace
{

constexpr uint64_t KEEP_NS = 60 * NS_PER_S;

struct Fact {
	uint8_t key;
	uint64_t revision;
	bool deleted;
	uint8_t value;
};

/* A history: each revision changes one key once. */
rc::Gen<std::vector<Fact>> history()
{
	return rc::gen::map(
		rc::gen::container<std::vector<std::pair<uint8_t, uint8_t>>>(
			rc::gen::pair(rc::gen::inRange<uint8_t>(0, 6),
				      rc::gen::arbitrary<uint8_t>())),
		[](const std::vector<std::pair<uint8_t, uint8_t>> &changes) {
			std::vector<Fact> facts;
			uint64_t revision = 0;

			for (const auto &c : changes)
				facts.push_back({ c.first, ++revision,
						  c.second % 4 == 0,
						  c.second });
			return facts;
		});
}

document make(const Fact &f, std::string *value)
{
	document d = {};

	snprintf(d.key, sizeof(d.key), "key-%u", f.key);
	*value = std::to_string(f.value);
	d.revision = f.revision;
	d.created = f.revision;
	d.deleted = f.deleted;
	d.value =
		f.deleted ? nullptr : reinterpret_cast<uint8_t *>(&(*value)[0]);
	d.size_bytes = f.deleted ? 0 : (uint32_t)value->size();
	return d;
}

/* Highest revision seen by the listener, by key: it never falls. */
struct Listener {
	std::map<std::string, uint64_t> seen;
	bool fell = false;
};

bool on_change(void *ctx, const document *d)
{
	auto *l = static_cast<Listener *>(ctx);

	l->fell = l->fell || d->revision < l->seen[d->key];
	l->seen[d->key] = d->revision;
	return true;
}

int no_order(void *, const document *)
{
	return 0;
}

std::map<std::string, std::string> state(const documents *s)
{
	std::map<std::string, std::string> out;

	for (uint32_t i = 0; i < documents_count(s); i++) {
		const document *d = documents_at(s, i);

		if (!d->deleted)
			out[d->key] = std::string((const char *)d->value,
						  d->size_bytes);
	}
	return out;
}

std::map<std::string, std::string> model(const std::vector<Fact> &facts)
{
	std::map<std::string, std::string> out;

	for (const Fact &f : facts) {
		std::string key = "key-" + std::to_string(f.key);

		if (f.deleted)
			out.erase(key);
		else
			out[key] = std::to_string(f.value);
	}
	return out;
}

void put(documents *s, const Fact &f)
{
	std::string value;
	document d = make(f, &value);

	documents_put(s, &d, DOCUMENT_CHANGED, 1);
}

/* A listing of the history up to a revision, in pages with others' facts. */
void list(documents *s, const std::vector<Fact> &facts, size_t upto,
	  const std::vector<Fact> &between)
{
	std::map<uint8_t, Fact> last;

	for (size_t i = 0; i < upto; i++)
		last[facts[i].key] = facts[i];
	documents_list_begin(s);
	size_t n = 0;
	for (const auto &k : last) {
		std::string value;
		document d = make(k.second, &value);

		if (n < between.size())
			put(s, between[n++]);
		if (!k.second.deleted)
			documents_put(s, &d, DOCUMENT_LISTED, 1);
	}
	documents_list_end(s, { 0, upto }, { 0, upto }, 1);
}

bool any_order()
{
	return rc::check(
		"facts in any order, repeated, lead to the same state", [] {
			const auto facts = *history();
			auto order = facts;

			for (size_t i = order.size(); i > 1; i--)
				std::swap(
					order[i - 1],
					order[*rc::gen::inRange<size_t>(0, i)]);
			Listener l;
			documents *s =
				documents_new({ &l, on_change, no_order },
					      { KEEP_NS, KEEP_NS });

			for (const Fact &f : order) {
				put(s, f);
				if (*rc::gen::arbitrary<bool>())
					put(s, f);
			}
			RC_ASSERT(!l.fell);
			RC_ASSERT(state(s) == model(facts));
			documents_free(s);
		});
}

bool listing_and_peers()
{
	return rc::check(
		"listings and peers that are behind never bring anything back",
		[] {
			const auto facts = *history();
			const size_t n = facts.size();
			const size_t upto = *rc::gen::inRange<size_t>(0, n + 1);
			const size_t known =
				*rc::gen::inRange<size_t>(0, n + 1);
			std::vector<Fact> between;
			Listener l;
			documents *s =
				documents_new({ &l, on_change, no_order },
					      { KEEP_NS, KEEP_NS });

			for (size_t i = 0; i < known; i++)
				put(s, facts[i]);
			for (size_t i = 0; n && i < 4; i++)
				between.push_back(
					facts[*rc::gen::inRange<size_t>(0, n)]);
			list(s, facts, upto, between);
			for (const Fact &f : facts)
				put(s, f);
			RC_ASSERT(!l.fell);
			RC_ASSERT(state(s) == model(facts));
			documents_free(s);
		});
}

/* At most one living target an address, whatever order they became known in. */
bool one_target_an_address()
{
	return rc::check("an address has one target that takes flows", [] {
		const auto n = *rc::gen::inRange<uint64_t>(1, 8);
		directory_conf conf = { KEEP_NS, NS_PER_S };
		directory *d = directory_new(&conf);
		std::vector<uint64_t> ids;
		uint32_t serving = 0;

		for (uint64_t i = 1; i <= n; i++)
			ids.push_back(i);
		for (size_t i = ids.size(); i > 1; i--)
			std::swap(ids[i - 1],
				  ids[*rc::gen::inRange<size_t>(0, i)]);
		for (uint64_t id : ids) {
			target_advertisement news = {};

			news.id = id;
			news.key_hash = id;
			news.addr = ADDR(7, 7);
			news.service = directory_add_service(d, "s");
			news.slots = 1;
			news.created.revision = id;
			target_change change;

			directory_update_target(d, &news, 1, &change);
		}
		for (uint32_t i = 0; i < directory_target_count(d); i++)
			serving += directory_is_serving(
				d, directory_target_at(d, i));
		RC_ASSERT(serving == 1u);
		RC_ASSERT(directory_is_serving(d, directory_by_id(d, n)));
		directory_free(d);
	});
}

} // namespace

int main()
{
	bool ok = any_order();

	ok = listing_and_peers() && ok;
	ok = one_target_an_address() && ok;
	return ok ? 0 : 1;
}
