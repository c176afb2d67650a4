/*
 * Entries of targets and entries that no target wrote, in any mixture and any
 * order: the valid ones serve, as they were published last, and nothing else
 * does.
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
/* Ways to be no target's entry; below that it is one. */
constexpr unsigned JUNK_FIRST = 12;
constexpr unsigned SORTS = 20;

struct Write {
	unsigned key;
	unsigned sort;
	uint64_t revision;
	uint64_t started_ms;
	uint64_t sequence;
};

/* Each process counts on from 1; the next one of a key starts later. */
rc::Gen<std::vector<Write>> history()
{
	using Draws = std::vector<std::pair<unsigned, unsigned>>;

	return rc::gen::map(
		rc::gen::container<Draws>(
			rc::gen::pair(rc::gen::inRange<unsigned>(0, KEYS),
				      rc::gen::inRange<unsigned>(0, SORTS))),
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

bool leaves(const Write &w)
{
	return w.sort == 1;
}

bool removed(const Write &w)
{
	return w.sort == 2;
}

bool valid(const Write &w)
{
	return w.sort < JUNK_FIRST && !removed(w);
}

std::string value_of(const Write &w)
{
	switch (w.sort) {
	case JUNK_FIRST:
		return "\xff\xfe junk";
	case JUNK_FIRST + 1:
		return entry(w, "\"3\"", "ready", "s");
	case JUNK_FIRST + 2:
		return entry(w, "3", "paused", "s");
	case JUNK_FIRST + 3:
		return entry(w, "3", "ready", "unknown");
	case JUNK_FIRST + 4:
		return "{\"service\":\"s\",\"address\":\"10.0.0.1:80\"}";
	case JUNK_FIRST + 5:
		return "[]";
	case JUNK_FIRST + 6:
		return "";
	case JUNK_FIRST + 7:
		return entry(w, "-1", "ready", "s");
	default:
		return entry(w, "3", leaves(w) ? "draining" : "ready", "s");
	}
}

void no_log(void *, enum node_log_level, const char *, const char *,
	    const char *, ...)
{
}

/* An entry with nothing around it. */
struct Fake {
	struct node *node;

	Fake()
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

	~Fake()
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
		    removed(w) ? nullptr : &value);
	}

	/* What is served, by id: start and stage. */
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
		if (valid(w))
			out[w.key + 1] = { w.started_ms, leaves(w) };
	}
	return out;
}

bool any_mixture()
{
	return rc::check("valid entries serve, in any order among others", [] {
		const auto writes = *history();
		const auto named_at =
			*rc::gen::inRange<size_t>(0, writes.size() + 1);
		auto order = writes;
		Fake in_turn, any;

		for (size_t i = order.size(); i > 1; i--)
			std::swap(order[i - 1],
				  order[*rc::gen::inRange<size_t>(0, i)]);
		in_turn.configure();
		for (const Write &w : writes)
			in_turn.put(w);
		for (size_t i = 0; i < order.size(); i++) {
			if (i == named_at)
				any.configure();
			any.put(order[i]);
			if (*rc::gen::arbitrary<bool>())
				any.put(order[i]);
		}
		if (named_at == order.size())
			any.configure();
		RC_ASSERT(in_turn.serving() == model(writes));
		RC_ASSERT(any.serving() == model(writes));
	});
}

} // namespace

int main()
{
	return any_mixture() ? 0 : 1;
}
