/* struct index and struct timers, compared with std::map models. */
#include <rapidcheck.h>

#include <map>
#include <set>
#include <vector>

extern "C" {
#include "index.h"
#include "timers.h"
}

using namespace rc;

/* Few distinct keys, so that probes collide and deletions shift cells. */
static void index_agrees_with_map()
{
	const uint32_t max = 32;
	struct index *ix = index_new(max);
	std::map<uint64_t, uint32_t> model;
	auto ops = *gen::container<std::vector<std::pair<int, int>>>(
		gen::pair(gen::inRange(0, 3), gen::inRange(0, 64)));

	for (const auto &op : ops) {
		uint64_t key = (uint64_t)(op.second % 48) * 64;

		if (op.first == 0) {
			bool fits = model.size() < max || model.count(key);

			RC_ASSERT((index_put(ix, key, op.second) == 0) == fits);
			if (fits)
				model[key] = op.second;
		} else if (op.first == 1 && model.count(key)) {
			index_del(ix, key, model[key]);
			model.erase(key);
		} else {
			/* A key that maps to another slot is kept. */
			index_del(ix, key, 9999);
		}
	}
	for (uint64_t key = 0; key < 48 * 64; key += 64) {
		uint32_t want = model.count(key) ? model[key] : INDEX_NONE;

		RC_ASSERT(index_get(ix, key) == want);
	}
	index_free(ix);
}

static void timers_pop_in_order_of_deadline()
{
	const uint32_t max = 24;
	struct timers *t = timers_new(max);
	std::map<uint32_t, uint64_t> model;
	auto ops = *gen::container<std::vector<std::pair<uint32_t, uint64_t>>>(
		gen::pair(gen::inRange<uint32_t>(0, max),
			  gen::inRange<uint64_t>(0, 50)));
	uint64_t last = 0;
	uint32_t id;

	for (const auto &op : ops) {
		if (op.second == 0) {
			timers_clear(t, op.first);
			model.erase(op.first);
			continue;
		}
		timers_set(t, op.first, op.second);
		model[op.first] = op.second;
	}
	while (timers_pop(t, 40, &id)) {
		RC_ASSERT(model.count(id));
		RC_ASSERT(model[id] >= last);
		RC_ASSERT(model[id] <= 40);
		last = model[id];
		model.erase(id);
	}
	for (const auto &left : model)
		RC_ASSERT(left.second > 40);
	timers_free(t);
}

int main()
{
	bool ok = check("index agrees with std::map", index_agrees_with_map);

	ok &= check("timers pop in order of deadline",
		    timers_pop_in_order_of_deadline);
	return ok ? 0 : 1;
}
