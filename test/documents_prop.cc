/*
 * Documents that spread in any order through any number of entries: no document
 * goes back to an earlier version, all entries agree, and a target that is gone
 * gets no flows.
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

constexpr uint64_t KEEP_DELETED_NS = 60 * NS_PER_S;

struct Version {
	uint8_t key;
	uint64_t revision;
	bool deleted;
	uint8_t value;
};

/* Generates a history in which each revision changes one key. */
rc::Gen<std::vector<Version>> history()
{
	return rc::gen::map(
		rc::gen::container<std::vector<std::pair<uint8_t, uint8_t>>>(
			rc::gen::pair(rc::gen::inRange<uint8_t>(0, 6),
				      rc::gen::arbitrary<uint8_t>())),
		[](const std::vector<std::pair<uint8_t, uint8_t>> &changes) {
			std::vector<Version> versions;
			uint64_t revision = 0;

			for (const auto &c : changes)
				versions.push_back({ c.first, ++revision,
						     c.second % 4 == 0,
						     c.second });
			return versions;
		});
}

document make_document(const Version &f, std::string *value)
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

/* Last reported revision of each key; it must never decrease. */
struct Listener {
	std::map<std::string, uint64_t> seen;
	bool went_back = false;
};

bool on_change(void *ctx, const document *d)
{
	auto *l = static_cast<Listener *>(ctx);

	l->went_back = l->went_back || d->revision < l->seen[d->key];
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

std::map<std::string, std::string>
expected_state(const std::vector<Version> &versions)
{
	std::map<std::string, std::string> out;

	for (const Version &f : versions) {
		std::string key = "key-" + std::to_string(f.key);

		if (f.deleted)
			out.erase(key);
		else
			out[key] = std::to_string(f.value);
	}
	return out;
}

void put(documents *s, const Version &f)
{
	std::string value;
	document d = make_document(f, &value);

	documents_put(s, &d, DOCUMENT_CHANGED, 1);
}

/* Lists the history up to revision @listed. Versions @between arrive from peers
 * meanwhile. */
void list(documents *s, const std::vector<Version> &versions, size_t listed,
	  const std::vector<Version> &between)
{
	std::map<uint8_t, Version> last;

	for (size_t i = 0; i < listed; i++)
		last[versions[i].key] = versions[i];
	documents_list_begin(s);
	size_t n = 0;
	for (const auto &k : last) {
		std::string value;
		document d = make_document(k.second, &value);

		if (n < between.size())
			put(s, between[n++]);
		if (!k.second.deleted)
			documents_put(s, &d, DOCUMENT_LISTED, 1);
	}
	documents_list_end(s, { 0, listed }, { 0, listed }, 1);
}

bool any_order()
{
	return rc::check(
		"versions in any order, repeated, lead to the same state", [] {
			const auto versions = *history();
			auto order = versions;

			for (size_t i = order.size(); i > 1; i--)
				std::swap(
					order[i - 1],
					order[*rc::gen::inRange<size_t>(0, i)]);
			Listener l;
			documents *s = documents_new(
				{ &l, on_change, no_order },
				{ KEEP_DELETED_NS, KEEP_DELETED_NS });

			for (const Version &f : order) {
				put(s, f);
				if (*rc::gen::arbitrary<bool>())
					put(s, f);
			}
			RC_ASSERT(!l.went_back);
			RC_ASSERT(state(s) == expected_state(versions));
			documents_free(s);
		});
}

bool listing_and_peers()
{
	return rc::check(
		"listings and stale peers never restore an earlier version",
		[] {
			const auto versions = *history();
			const size_t n = versions.size();
			const size_t listed =
				*rc::gen::inRange<size_t>(0, n + 1);
			const size_t known =
				*rc::gen::inRange<size_t>(0, n + 1);
			std::vector<Version> between;
			Listener l;
			documents *s = documents_new(
				{ &l, on_change, no_order },
				{ KEEP_DELETED_NS, KEEP_DELETED_NS });

			for (size_t i = 0; i < known; i++)
				put(s, versions[i]);
			for (size_t i = 0; n && i < 4; i++)
				between.push_back(
					versions[*rc::gen::inRange<size_t>(0,
									   n)]);
			list(s, versions, listed, between);
			for (const Version &f : versions)
				put(s, f);
			RC_ASSERT(!l.went_back);
			RC_ASSERT(state(s) == expected_state(versions));
			documents_free(s);
		});
}

/* Of several targets at one address exactly one takes flows, in whatever order
 * they become known. */
bool one_target_an_address()
{
	return rc::check("exactly one target of an address takes flows", [] {
		const auto n = *rc::gen::inRange<uint64_t>(1, 8);
		directory_conf conf = { KEEP_DELETED_NS, NS_PER_S };
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
