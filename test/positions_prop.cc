/*
 * Published documents at entries that list in pages, watch and fetch from each
 * other: once the platform rests, all entries hold what it holds, without a
 * further change. An entry that advertises a position before it has everything
 * up to it leaves its peers without the rest.
 */
#include <rapidcheck.h>

#include <cstdio>
#include <cstring>
#include <deque>
#include <map>
#include <memory>
#include <ostream>
#include <string>
#include <vector>

extern "C" {
#include "node.h"
}

namespace
{

constexpr unsigned ENTRIES_MAX = 4;
constexpr unsigned KEYS = 7;
constexpr unsigned PAGE_ITEMS = 2;
constexpr uint64_t TICK_NS = 20 * NS_PER_MS;
constexpr uint64_t START_NS = 100 * NS_PER_S;
/* Longer than a watch waits, and than the pauses after failures. */
constexpr uint64_t REST_NS = 6 * NS_PER_S;

struct Item {
	std::string value;
	bool deleted = true;
	uint64_t revision = 0;
	uint64_t created = 0;
};

using Keys = std::map<std::string, Item>;

struct Store {
	Keys keys;
	uint64_t revision = 0;
	/* Changes up to here can no longer be watched. */
	uint64_t compacted = 0;
	/* State at each revision, for pages that are stale. */
	std::vector<Keys> states = std::vector<Keys>(1);

	void write(unsigned key, bool deleted)
	{
		Item &item = keys["key-" + std::to_string(key)];

		if (deleted && item.deleted)
			return;
		item.revision = ++revision;
		if (item.deleted)
			item.created = revision;
		item.deleted = deleted;
		item.value = std::to_string(revision);
		states.push_back(keys);
	}
};

enum Call { NO_CALL, LIST, WATCH };

struct World;

struct Entry {
	World *world = nullptr;
	unsigned index = 0;
	struct node *node = nullptr;
	/* Pending call to the platform. */
	Call call = NO_CALL;
	std::string after_key;
	bool exact = true;
	uint64_t after = 0;
	uint64_t due_ns = 0;
	/* Pending call to a peer. */
	bool fetching = false;
	unsigned peer = 0;
	struct position fetch_after = {};

	~Entry()
	{
		node_free(node);
	}
};

uint64_t entry_addr(unsigned i)
{
	return ADDR(0x0a000001 + i, 7720);
}

struct Message {
	unsigned to;
	struct hello hello;
};

struct World {
	Store store;
	uint64_t now_ns = START_NS;
	uint64_t boot = 0;
	unsigned n_entries;
	std::unique_ptr<Entry> entries[ENTRIES_MAX];
	std::deque<Message> messages;

	explicit World(unsigned n) : n_entries(n)
	{
		for (unsigned i = 0; i < n; i++)
			start(i);
	}

	void start(unsigned i);
	void tick();
	void deliver_messages();
	bool is_due(const Entry &e) const;
	void answer(Entry &e, bool stale, unsigned items_max);
	void fail(Entry &e, enum source_outcome outcome);
	void fetch(Entry &e, unsigned documents_max);
	void rest();
	bool all_agree() const;
};

void on_list(void *ctx, const char *after_key, bool exact)
{
	auto *e = static_cast<Entry *>(ctx);

	e->call = LIST;
	e->after_key = after_key ? after_key : "";
	e->exact = exact;
}

void on_watch(void *ctx, uint64_t after, uint64_t wait_ns)
{
	auto *e = static_cast<Entry *>(ctx);

	e->call = WATCH;
	e->after = after;
	e->due_ns = e->world->now_ns + wait_ns;
}

void on_cancel(void *ctx)
{
	static_cast<Entry *>(ctx)->call = NO_CALL;
}

void on_fetch(void *ctx, uint64_t peer, struct position after)
{
	auto *e = static_cast<Entry *>(ctx);

	e->fetching = true;
	e->peer = ADDR_IP(peer) - 0x0a000001;
	e->fetch_after = after;
}

void on_hello(void *ctx, const uint64_t *to, uint32_t n_to,
	      const struct hello *hello)
{
	auto *e = static_cast<Entry *>(ctx);

	for (uint32_t i = 0; i < n_to; i++)
		e->world->messages.push_back(
			{ ADDR_IP(to[i]) - 0x0a000001, *hello });
}

int on_probe(void *, const struct target *)
{
	return 0;
}

void on_resend(void *, const struct flow_state *, uint8_t)
{
}

void on_send_queued(void *, const struct flow_state *, const uint8_t *,
		    uint32_t)
{
}

void on_reset(void *, const struct flow_state *)
{
}

void on_health(void *, const struct target *, uint8_t)
{
}

void on_log(void *, enum node_log_level, const char *, const char *,
	    const char *, ...)
{
}

/* Documents without a meaning: only their spread is tested. */
int decode(const struct document *, struct directory *,
	   struct decoded_document *out, const char **)
{
	*out = {};
	return 0;
}

void World::start(unsigned i)
{
	struct node_conf conf = {};
	struct node_port port = {};

	entries[i] = std::make_unique<Entry>();
	entries[i]->world = this;
	entries[i]->index = i;
	conf.self = entry_addr(i);
	strcpy(conf.data_centre, "garda");
	conf.boot = ++boot;
	conf.flows_max = 16;
	conf.flow_lifetime_ns = 60 * NS_PER_S;
	conf.stop_ns = NS_PER_S;
	conf.n_seeds = 2;
	conf.seeds[0] = entry_addr(0);
	conf.seeds[1] = entry_addr(1);
	port.ctx = entries[i].get();
	port.list = on_list;
	port.watch = on_watch;
	port.cancel = on_cancel;
	port.fetch = on_fetch;
	port.hello = on_hello;
	port.probe = on_probe;
	port.resend = on_resend;
	port.send_queued = on_send_queued;
	port.reset = on_reset;
	port.health = on_health;
	port.decode = decode;
	port.log = on_log;
	entries[i]->node = node_new(&conf, port, now_ns);
}

void World::tick()
{
	now_ns += TICK_NS;
	for (unsigned i = 0; i < n_entries; i++)
		node_tick(entries[i]->node, now_ns);
}

void World::deliver_messages()
{
	while (!messages.empty()) {
		Message m = messages.front();

		messages.pop_front();
		if (m.to < n_entries)
			node_receive_hello(entries[m.to]->node, &m.hello,
					   now_ns);
	}
}

struct document as_document(const std::string &key, const Item &item)
{
	struct document d = {};

	snprintf(d.key, sizeof(d.key), "%s", key.c_str());
	d.revision = item.revision;
	d.created = item.created;
	d.deleted = item.deleted;
	if (!item.deleted) {
		d.value = (uint8_t *)item.value.data();
		d.size_bytes = (uint32_t)item.value.size();
	}
	return d;
}

bool World::is_due(const Entry &e) const
{
	return e.call == LIST ||
	       (e.call == WATCH &&
		(e.after < store.revision || now_ns >= e.due_ns));
}

/*
 * Answers the pending call. @stale: with the state of an earlier revision, if
 * the call allows it. The answer is cut off after @items_max items.
 */
void World::answer(Entry &e, bool stale, unsigned items_max)
{
	Call call = e.call;
	uint64_t at = store.revision;
	struct answer_head head = {};
	unsigned n = 0;

	if (!is_due(e) || !store.revision)
		return;
	e.call = NO_CALL;
	if (call == WATCH && e.after < store.compacted) {
		node_answer_end(e.node, SOURCE_GONE, &head, now_ns);
		return;
	}
	if (call == LIST && stale && !e.exact)
		at -= at > 2 ? 2 : 0;
	if (!node_answer_begin(e.node, 0, now_ns)) {
		node_answer_end(e.node, SOURCE_GONE, &head, now_ns);
		return;
	}
	head.revision = at;
	for (const auto &k : store.states[at]) {
		struct document d = as_document(k.first, k.second);

		if (call == LIST ? k.second.deleted || k.first <= e.after_key
				 : k.second.revision <= e.after)
			continue;
		if (call == LIST && n == PAGE_ITEMS) {
			head.more = true;
			break;
		}
		if (n++ == items_max) {
			node_answer_end(e.node,
					call == LIST ? SOURCE_FAILED
						     : SOURCE_UNREADABLE,
					&head, now_ns);
			return;
		}
		if (call == LIST)
			node_take_listed(e.node, &d);
		else
			node_take_changed(e.node, &d);
		snprintf(head.last_key, sizeof(head.last_key), "%s",
			 k.first.c_str());
	}
	node_answer_end(e.node, SOURCE_OK, &head, now_ns);
}

void World::fail(Entry &e, enum source_outcome outcome)
{
	struct answer_head head = {};

	if (e.call == NO_CALL)
		return;
	e.call = NO_CALL;
	node_answer_end(e.node, outcome, &head, now_ns);
}

/* Answers the pending call to a peer, as relay_encode() does. The answer turns
 * out to be invalid after @documents_max documents. */
void World::fetch(Entry &e, unsigned documents_max)
{
	const struct documents *from = entries[e.peer]->node->documents;
	struct relay_head head = {};
	unsigned n = 0;

	if (!e.fetching)
		return;
	e.fetching = false;
	head.through = documents_synced(from);
	head.newest = documents_newest(from);
	head.floor = documents_floor(from);
	head.is_full_state = documents_peer_needs_full(from, e.fetch_after);
	if (!node_fetch_begin(e.node, &head, now_ns)) {
		node_fetch_end(e.node, nullptr, now_ns);
		return;
	}
	for (uint32_t i = 0; i < documents_count(from); i++) {
		const struct document *d = documents_at(from, i);

		if (!head.is_full_state &&
		    !documents_peer_lacks(from, e.fetch_after, d))
			continue;
		if (n++ == documents_max) {
			node_fetch_end(e.node, nullptr, now_ns);
			return;
		}
		if (head.is_full_state)
			node_take_relay_listed(e.node, d);
		else
			node_take_relayed(e.node, d);
	}
	node_fetch_end(e.node, &head, now_ns);
}

/* The platform rests; everything is delivered. */
void World::rest()
{
	for (uint64_t end_ns = now_ns + REST_NS; now_ns < end_ns;) {
		tick();
		deliver_messages();
		for (unsigned i = 0; i < n_entries; i++) {
			answer(*entries[i], false, UINT32_MAX);
			fetch(*entries[i], UINT32_MAX);
		}
		deliver_messages();
	}
}

using State = std::map<std::string, std::string>;

State state_of(const struct node *node)
{
	State out;

	for (uint32_t i = 0; i < documents_count(node->documents); i++) {
		const struct document *d = documents_at(node->documents, i);

		if (!d->deleted)
			out[d->key] = std::string((const char *)d->value,
						  d->size_bytes);
	}
	return out;
}

bool World::all_agree() const
{
	State expected;

	for (const auto &k : store.keys)
		if (!k.second.deleted)
			expected[k.first] = k.second.value;
	for (unsigned i = 0; i < n_entries; i++)
		if (state_of(entries[i]->node) != expected)
			return false;
	return true;
}

enum Op {
	WRITE,
	DELETE,
	ANSWER,
	ANSWER_STALE,
	CUT,
	FAIL,
	COMPACT,
	FETCH,
	FETCH_CUT,
	TICK,
	DELIVER,
	LOSE_MESSAGES,
	RESTART,
	OPS
};

struct Step {
	unsigned op;
	unsigned a;
	unsigned b;
};

std::ostream &operator<<(std::ostream &out, const Step &s)
{
	static const char *const names[OPS] = {
		"write",   "delete",  "answer", "answer stale", "cut",
		"fail",	   "compact", "fetch",	"fetch cut",	"tick",
		"deliver", "lose",    "restart"
	};

	return out << names[s.op] << ' ' << s.a << ' ' << s.b;
}

void apply_step(World &w, const Step &s)
{
	Entry &e = *w.entries[s.a % w.n_entries];

	switch (s.op) {
	case WRITE:
	case DELETE:
		w.store.write(s.a % KEYS, s.op == DELETE);
		break;
	case ANSWER:
	case ANSWER_STALE:
		w.answer(e, s.op == ANSWER_STALE, UINT32_MAX);
		break;
	case CUT:
		w.answer(e, false, s.b % PAGE_ITEMS);
		break;
	case FAIL:
		w.fail(e, s.b % 2 ? SOURCE_FAILED : SOURCE_UNREADABLE);
		break;
	case COMPACT:
		w.store.compacted = w.store.revision;
		break;
	case FETCH:
		w.fetch(e, UINT32_MAX);
		break;
	case FETCH_CUT:
		w.fetch(e, s.b % KEYS);
		break;
	case TICK:
		for (unsigned i = 0; i <= s.a; i++)
			w.tick();
		break;
	case DELIVER:
		w.deliver_messages();
		break;
	case LOSE_MESSAGES:
		w.messages.clear();
		break;
	case RESTART:
		w.start(s.a % w.n_entries);
		break;
	}
}

rc::Gen<Step> step()
{
	return rc::gen::map(
		rc::gen::tuple(rc::gen::weightedElement<unsigned>(
				       { { 6, WRITE },
					 { 3, DELETE },
					 { 10, ANSWER },
					 { 3, ANSWER_STALE },
					 { 2, CUT },
					 { 1, FAIL },
					 { 1, COMPACT },
					 { 6, FETCH },
					 { 2, FETCH_CUT },
					 { 8, TICK },
					 { 8, DELIVER },
					 { 1, LOSE_MESSAGES },
					 { 1, RESTART } }),
			       rc::gen::inRange<unsigned>(0, 12),
			       rc::gen::inRange<unsigned>(0, 12)),
		[](const std::tuple<unsigned, unsigned, unsigned> &t) {
			return Step{ std::get<0>(t), std::get<1>(t),
				     std::get<2>(t) };
		});
}

bool agree_after(const std::vector<Step> &plan, unsigned n_entries)
{
	World w(n_entries);

	w.store.write(0, false);
	for (const Step &s : plan)
		apply_step(w, s);
	w.rest();
	return w.all_agree();
}

bool all_agree_once_the_platform_rests()
{
	return rc::check("all entries hold what the platform holds", [] {
		const auto n_entries =
			*rc::gen::inRange<unsigned>(2, ENTRIES_MAX + 1);
		const auto plan = *rc::gen::scale(
			2.0, rc::gen::container<std::vector<Step>>(step()));

		RC_ASSERT(agree_after(plan, n_entries));
	});
}

} // namespace

int main()
{
	return all_agree_once_the_platform_rests() ? 0 : 1;
}
