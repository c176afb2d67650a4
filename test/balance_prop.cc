// Properties of the balancer in random runs.
#define class class_ // C's member name is C++'s keyword
extern "C" {
#include "balance.h"
#include "budget.h"
#include "target_share.h"
}
#undef class

#include <rapidcheck.h>

#include <algorithm>
#include <map>
#include <vector>

namespace
{

constexpr uint64_t VIP = ADDR(0x7f010001, 5683);
constexpr uint32_t WORK_MAX = 128;

uint64_t target_addr(uint32_t i)
{
	return ADDR(0x7f020001 + i, 5683);
}

uint32_t target_index(uint64_t addr)
{
	return ADDR_IP(addr) - 0x7f020001;
}

uint64_t vip(uint32_t account)
{
	return VIP + (uint64_t(account) << 16);
}

uint32_t draw(uint32_t low, uint32_t high)
{
	return *rc::gen::inRange<uint32_t>(low, high + 1);
}

// Configuration of accounts with one service each, all with the same targets.
struct Config {
	std::vector<target_conf> targets;
	std::vector<service_conf> services;
	std::vector<account_conf> accounts;
	config c{};

	Config(uint32_t n_targets, uint16_t slots, uint32_t connections,
	       const std::vector<uint16_t> &weights, uint32_t queue_max)
	    : services(weights.size()), accounts(weights.size())
	{
		for (uint32_t i = 0; i < n_targets; i++)
			targets.push_back({ target_addr(i), TARGET_UP, 100,
					    slots, connections });
		for (uint32_t i = 0; i < weights.size(); i++) {
			services[i].vip = vip(i);
			services[i].class_ = CLASS_REPORT;
			services[i].queue_max = queue_max;
			services[i].targets = targets.data();
			services[i].n_targets = n_targets;
			accounts[i].name[0] = char('a' + i);
			accounts[i].weight = weights[i];
			accounts[i].services = &services[i];
			accounts[i].n_services = 1;
		}
		c.accounts = accounts.data();
		c.n_accounts = uint32_t(accounts.size());
	}
};

struct Running {
	uint32_t entry;
	uint64_t vip;
	uint64_t target;
	uint32_t handle;
	bool feed;
};

// Entries of a data centre with common targets and clock, and their requests.
struct DataCentre {
	std::vector<balancer *> entries;
	std::vector<Running> running;
	std::map<std::pair<uint32_t, uint32_t>, work> queued;
	std::vector<uint32_t> inflight, feeds;
	uint32_t next_handle = 0;
	uint64_t now_ns = NS_PER_S;

	DataCentre(uint32_t n, const Config &c)
	    : inflight(c.targets.size()), feeds(c.targets.size())
	{
		for (uint32_t i = 0; i < n; i++) {
			entries.push_back(balance_new(WORK_MAX, { i + 1 }));
			balance_set_config(entries[i], &c.c, now_ns);
			balance_set_entries(entries[i], n, i);
		}
	}

	~DataCentre()
	{
		for (balancer *b : entries)
			balance_free(b);
	}

	// Each handle in use is in exactly one of running and queued.
	bool find_free_handle(uint32_t entry, uint32_t *handle)
	{
		for (uint32_t i = 0; i < WORK_MAX; i++) {
			uint32_t h = next_handle++ % WORK_MAX;
			bool used = queued.count({ entry, h });

			for (const Running &r : running)
				used |= r.entry == entry && r.handle == h;
			*handle = h;
			if (!used)
				return true;
		}
		return false;
	}

	void start(uint32_t entry, const work &w, uint64_t target)
	{
		running.push_back({ entry, w.vip, target, w.handle, w.feed });
		inflight[target_index(target)]++;
	}

	void drain(uint32_t entry)
	{
		decision r;
		uint32_t handle;

		while (balance_next(entries[entry], now_ns, &handle, &r)) {
			auto it = queued.find({ entry, handle });

			RC_ASSERT(it != queued.end());
			RC_ASSERT(r.verdict != VERDICT_QUEUED);
			if (r.verdict == VERDICT_ADMITTED)
				start(entry, it->second, r.target);
			else
				RC_ASSERT(r.retry_after_s >= 1u);
			queued.erase(it);
		}
		for (const auto &[key, w] : queued)
			if (key.first == entry)
				RC_ASSERT(w.deadline_ns > now_ns);
	}

	decision submit(uint32_t entry, uint64_t to, bool feed,
			uint64_t timeout_ms, uint64_t pinned = ADDR_NONE)
	{
		work w{};
		decision r{};

		r.verdict = VERDICT_REFUSED;
		if (!find_free_handle(entry, &w.handle))
			return r;
		w.vip = to;
		w.class_ = CLASS_REPORT;
		w.feed = feed;
		w.pinned = pinned;
		w.deadline_ns = now_ns + timeout_ms * NS_PER_MS;
		r = balance_submit(entries[entry], &w, now_ns);
		if (r.verdict == VERDICT_ADMITTED)
			start(entry, w, r.target);
		if (r.verdict == VERDICT_QUEUED)
			queued[{ entry, w.handle }] = w;
		drain(entry);
		return r;
	}

	void end(uint32_t i, outcome result, uint64_t took_ns)
	{
		Running r = running[i];

		running.erase(running.begin() + i);
		inflight[target_index(r.target)]--;
		balance_record_end(entries[r.entry], r.vip, r.target, result,
				   took_ns, now_ns);
		if (r.feed && result == OUTCOME_OK) {
			balance_change_feeds(entries[r.entry], r.vip, r.target,
					     1);
			feeds[target_index(r.target)]++;
		}
		drain(r.entry);
	}

	void report(uint32_t entry, uint32_t target, load_report load)
	{
		balance_record_load(entries[entry], target_addr(target), &load,
				    now_ns);
		drain(entry);
	}

	void cancel()
	{
		if (queued.empty())
			return;
		auto it = queued.begin();

		std::advance(it, draw(0, uint32_t(queued.size()) - 1));
		balance_cancel(entries[it->first.first], it->first.second);
		queued.erase(it);
	}

	// Toggle the draining state of one target, at all entries at once.
	void toggle_draining(Config &c)
	{
		target_conf &t = c.targets[draw(0, uint32_t(feeds.size()) - 1)];

		t.state = t.state == TARGET_UP ? TARGET_DRAINING : TARGET_UP;
		for (uint32_t i = 0; i < entries.size(); i++) {
			balance_set_config(entries[i], &c.c, now_ns);
			drain(i);
		}
	}

	void step()
	{
		uint32_t entry = draw(0, uint32_t(entries.size()) - 1);
		uint32_t action = draw(0, 9);

		now_ns += draw(0, 30) * NS_PER_MS;
		if (action < 5)
			submit(entry, VIP, action < 2, draw(0, 400));
		else if (action < 8 && !running.empty())
			end(draw(0, uint32_t(running.size()) - 1),
			    outcome(draw(0, OUTCOME_COUNT - 1)),
			    draw(1, 200) * NS_PER_MS);
		else if (action == 8)
			report(entry, draw(0, uint32_t(feeds.size()) - 1),
			       { draw(0, 4), draw(0, 2), draw(0, 20) });
		else
			drain(entry);
	}
};

// Maximum of requests at a target, as documented in docs/design/balance.md.
uint32_t inflight_max(uint32_t n_entries, uint32_t n_targets, uint32_t slots)
{
	share_params params = { n_entries, 0, n_targets, n_targets * slots };
	uint32_t own = slots;

	if (params.n_slots < n_entries)
		own = (n_entries + n_targets - 1) / n_targets;
	return own + target_share_extra_total(&params, slots);
}

void shares_add_up_to_limits()
{
	uint32_t slots = draw(1, 40);
	share_params params = { draw(1, 500), 0, draw(1, 50), 0 };
	uint32_t nth = draw(0, params.n_targets - 1);
	uint32_t connections = draw(0, 3000);
	uint64_t offset = draw(0, 100000);
	target_share sum{};
	uint32_t least = UINT32_MAX;
	uint32_t most = 0;
	uint32_t own = slots;

	params.n_slots = params.n_targets * slots;
	if (params.n_slots < params.n_entries)
		own = params.n_entries / params.n_targets +
		      (nth < params.n_entries % params.n_targets);
	for (params.rank = 0; params.rank < params.n_entries; params.rank++) {
		target_share share = target_share_compute(
			&params, slots, connections, offset, nth);

		sum.own += share.own;
		sum.extra += share.extra;
		sum.connections += share.connections;
		least = std::min(least, share.own);
		most = std::max(most, share.own);
	}
	RC_ASSERT(sum.own == own);
	RC_ASSERT(sum.extra == target_share_extra_total(&params, slots));
	RC_ASSERT(sum.connections == connections);
	RC_ASSERT(most - least <= 1u);
}

void entries_keep_target_limits()
{
	uint32_t n_entries = draw(1, 9);
	uint32_t n_targets = draw(1, 6);
	uint32_t slots = draw(1, 4);
	uint32_t connections = draw(2, 8);
	Config c(n_targets, uint16_t(slots), connections, { 1 }, 20);
	DataCentre dc(n_entries, c);
	uint32_t most = inflight_max(n_entries, n_targets, slots);

	for (uint32_t i = 0; i < 150; i++) {
		dc.step();
		for (uint32_t t = 0; t < n_targets; t++) {
			RC_ASSERT(dc.inflight[t] <= most);
			RC_ASSERT(dc.feeds[t] <= connections);
		}
	}
}

// drain() asserts that only queued requests get a decision, and only one each.
void each_request_gets_one_decision()
{
	Config c(draw(1, 4), uint16_t(draw(1, 3)), 100, { 1 }, draw(1, 50));
	DataCentre dc(1, c);

	for (uint32_t i = 0; i < 300; i++) {
		uint32_t action = draw(0, 9);

		if (action == 0)
			dc.cancel();
		else if (action == 1)
			dc.toggle_draining(c);
		else if (action == 2)
			dc.submit(0, VIP, false, draw(0, 400), target_addr(0));
		else
			dc.step();
		for (uint32_t n : dc.inflight)
			RC_ASSERT(n <= c.targets[0].slots);
	}
	dc.now_ns += 10 * NS_PER_S;
	dc.drain(0);
	RC_ASSERT(dc.queued.empty());
	RC_ASSERT(balance_next_ns(dc.entries[0]) == UINT64_MAX);
}

void retries_stay_within_budget()
{
	Config c(2, 2, 100, { 1 }, 20);
	DataCentre dc(1, c);
	uint32_t good = 0;
	uint32_t retries = 0;

	for (uint32_t i = 0; i < 400; i++) {
		if (draw(0, 1)) {
			retries += balance_take_retry(dc.entries[0], VIP,
						      dc.now_ns);
		} else {
			dc.submit(0, VIP, false, 400);
			good++;
			dc.end(0, OUTCOME_OK, NS_PER_MS);
		}
		RC_ASSERT(retries <=
			  BUDGET_START_RETRIES + good / BUDGET_SUCCESSES);
	}
}

// A light account that always has work gets at least its weighted share.
void light_account_gets_its_share()
{
	uint16_t heavy = uint16_t(draw(1, 20));
	uint16_t light = uint16_t(draw(1, 20));
	uint32_t rounds = 200;
	uint32_t served = 0;
	Config c(draw(1, 3), 1, 100, { heavy, light }, 100);
	DataCentre dc(1, c);

	for (uint32_t i = 0; i < rounds; i++) {
		uint64_t before = dc.now_ns;

		for (uint32_t j = 0; j < 5; j++)
			dc.submit(0, vip(0), false, 60000);
		dc.submit(0, vip(1), false, 60000);
		dc.now_ns += 10 * NS_PER_MS;
		served += dc.running[0].vip == vip(1);
		dc.end(0, OUTCOME_OK, dc.now_ns - before);
	}
	RC_ASSERT(served + 10 >= rounds * light / (heavy + light) * 9 / 10);
}

} // namespace

int main()
{
	bool ok = true;

	ok &= rc::check("shares add up to the target's limits",
			shares_add_up_to_limits);
	ok &= rc::check("all entries together keep a target's limits",
			entries_keep_target_limits);
	ok &= rc::check("each request gets one decision",
			each_request_gets_one_decision);
	ok &= rc::check("retries stay within the budget",
			retries_stay_within_budget);
	ok &= rc::check("a light account gets its share",
			light_account_gets_its_share);
	return ok ? 0 : 1;
}
