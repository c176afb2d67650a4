/*
 * Valid and invalid entries of targets arrive in any order, some of them twice,
 * before and after the configuration. A target must serve exactly when its last
 * entry is valid, with the state in that entry.
 */
#include <rapidcheck.h>

#include <cstdarg>
#include <cstring>
#include <map>
#include <string>
#include <vector>

extern "C" {
#include "node.h"
#include "assign.h"
#include "users_platform.h"
}

namespace
{

constexpr uint64_t NOW_NS = 100 * NS_PER_S;
constexpr uint64_t STARTED_MS = 1785000000000ULL;
constexpr unsigned KEYS = 5;
/* Sorts of writes: from INVALID_FIRST on the value is invalid. */
constexpr unsigned INVALID_FIRST = 12;
constexpr unsigned SORT_COUNT = 20;

struct Write {
	unsigned key;
	unsigned sort;
	uint64_t revision;
	uint64_t started_ms;
	uint64_t sequence;
};

/*
 * Each process of a target numbers its entries from 1; a later process of the
 * same key has a later start time.
 */
rc::Gen<std::vector<Write>> history()
{
	using Draws = std::vector<std::pair<unsigned, unsigned>>;

	return rc::gen::map(
		rc::gen::container<Draws>(rc::gen::pair(
			rc::gen::inRange<unsigned>(0, KEYS),
			rc::gen::inRange<unsigned>(0, SORT_COUNT))),
		[](const Draws &draws) {
			std::map<unsigned, std::pair<uint64_t, uint64_t>> last;
			std::vector<Write> out;

			for (const auto &d : draws) {
				auto &l = last[d.first];
				bool next = !l.first || d.second % 4 == 3;

				if (next)
					l = { STARTED_MS + out.size(), 0 };
				l.second++;
				out.push_back({ d.first, d.second,
						out.size() + 2, l.first,
						l.second });
			}
			return out;
		});
}

std::string number(uint64_t v)
{
	return std::to_string(v);
}

std::string entry(const Write &w, const std::string &slots,
		  const std::string &state, const std::string &service)
{
	return "{\"service\":\"" + service + "\",\"address\":\"10.0.0." +
	       number(w.key + 1) + ":80\",\"zone\":\"z\",\"version\":\"v\"," +
	       "\"slots\":" + slots + ",\"state\":\"" + state + "\"," +
	       "\"cold-remaining-ms\":0,\"sequence\":" + number(w.sequence) +
	       ",\"born\":" + number(w.started_ms) + "}";
}

bool is_leaving(const Write &w)
{
	return w.sort == 1;
}

bool is_removed(const Write &w)
{
	return w.sort == 2;
}

bool is_valid(const Write &w)
{
	return w.sort < INVALID_FIRST && !is_removed(w);
}

std::string value_of(const Write &w)
{
	switch (w.sort) {
	case INVALID_FIRST:
		return "\xff\xfe junk";
	case INVALID_FIRST + 1:
		return entry(w, "\"3\"", "ready", "s");
	case INVALID_FIRST + 2:
		return entry(w, "3", "paused", "s");
	case INVALID_FIRST + 3:
		return entry(w, "3", "ready", "unknown");
	case INVALID_FIRST + 4:
		return "{\"service\":\"s\",\"address\":\"10.0.0.1:80\"}";
	case INVALID_FIRST + 5:
		return "[]";
	case INVALID_FIRST + 6:
		return "";
	case INVALID_FIRST + 7:
		return entry(w, "-1", "ready", "s");
	default:
		return entry(w, "3", is_leaving(w) ? "draining" : "ready", "s");
	}
}

void no_log(void *, enum node_log_level, const char *, const char *,
	    const char *, ...)
{
}

/* A node without connections. */
struct Node {
	struct node *node;

	Node()
	{
		node_conf conf = {};
		node_port port = {};

		conf.self = ADDR(1, 1);
		strcpy(conf.data_centre, "z");
		conf.flows_max = 16;
		conf.flow_lifetime_ns = 60 * NS_PER_S;
		conf.stop_ns = NS_PER_S;
		port.decode = users_read_document;
		port.log = no_log;
		node = node_new(&conf, port, NOW_NS);
	}

	~Node()
	{
		node_free(node);
	}

	void put(const std::string &key, uint64_t revision,
		 const std::string *value)
	{
		document d = {};
		std::string copy = value ? *value : "";

		strcpy(d.key, key.c_str());
		d.revision = d.created = revision;
		d.deleted = !value;
		d.value =
			value ? reinterpret_cast<uint8_t *>(&copy[0]) : nullptr;
		d.size_bytes = (uint32_t)copy.size();
		node_take_changed(node, &d);
	}

	void configure()
	{
		const std::string routes =
			"{\"version\":1,\"routes\":[{\"host\":\"10.9.0.1\","
			"\"prefix\":\"/80/\",\"kind\":\"safe\",\"service\":"
			"\"s\"}],\"services\":[{\"name\":\"s\"}]}";

		put("op/config", 1, &routes);
	}

	void put(const Write &w)
	{
		std::string value = value_of(w);

		put("servers/i-" + number(w.key + 1), w.revision,
		    is_removed(w) ? nullptr : &value);
	}

	/*
	 * Start time and whether it is leaving, of each serving target by id.
	 */
	std::map<uint64_t, std::pair<uint64_t, bool>> serving() const
	{
		std::map<uint64_t, std::pair<uint64_t, bool>> out;

		for (uint32_t i = 0;
		     i < directory_target_count(node->directory); i++) {
			const target *t =
				directory_target_at(node->directory, i);

			if (t->stage != TARGET_ABSENT)
				out[t->advertised.id] = {
					t->advertised.started_ms,
					t->stage == TARGET_LEAVING
				};
		}
		return out;
	}
};

std::map<uint64_t, std::pair<uint64_t, bool>>
model(const std::vector<Write> &writes)
{
	std::map<uint64_t, std::pair<uint64_t, bool>> out;

	for (const Write &w : writes) {
		out.erase(w.key + 1);
		if (is_valid(w))
			out[w.key + 1] = { w.started_ms, is_leaving(w) };
	}
	return out;
}

bool targets_serve_in_any_order()
{
	return rc::check(
		"targets with a valid last entry serve, in any order of "
		"arrival",
		[] {
			const auto writes = *history();
			const auto configured_at =
				*rc::gen::inRange<size_t>(0, writes.size() + 1);
			auto order = writes;
			Node ordered, shuffled;

			for (size_t i = order.size(); i > 1; i--)
				std::swap(
					order[i - 1],
					order[*rc::gen::inRange<size_t>(0, i)]);
			ordered.configure();
			for (const Write &w : writes)
				ordered.put(w);
			for (size_t i = 0; i < order.size(); i++) {
				if (i == configured_at)
					shuffled.configure();
				shuffled.put(order[i]);
				if (*rc::gen::arbitrary<bool>())
					shuffled.put(order[i]);
			}
			if (configured_at == order.size())
				shuffled.configure();
			RC_ASSERT(ordered.serving() == model(writes));
			RC_ASSERT(shuffled.serving() == model(writes));
		});
}

} // namespace

int main()
{
	return targets_serve_in_any_order() ? 0 : 1;
}
