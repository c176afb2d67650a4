// Properties of the balancer over random runs.
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

uint32_t any(uint32_t low, uint32_t high)
{
	return *rc::gen::inRange<uint32_t>(low, high + 1);
}

// Accounts of one service each, all on the same targets.
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

// Entries that share targets and a clock, and what they have been told.
struct Fleet {
	std::vector<balancer *> entries;
	std::vector<Running> running;
	std::map<std::pair<uint32_t, uint32_t>, work> waiting;
	std::vector<uint32_t> inflight, feeds;
	uint32_t next_handle = 0;
	uint64_t now_ns = NS_PER_S;

	Fleet(uint32_t n, const Config &c)
	    : inflight(c.targets.size()), feeds(c.targets.size())
	{
		for (uint32_t i = 0; i < n; i++) {
			entries.push_back(balance_new(WORK_MAX, { i + 1 }));
			balance_set_config(entries[i], &c.c, now_ns);
			balance_set_entries(entries[i], n, i);
		}
	}

	~Fleet()
	{
		for (balancer *b : entries)
			balance_free(b);
	}

	// Every handle in use is in exactly one of running and waiting.
	bool free_handle(uint32_t entry, uint32_t *handle)
	{
		for (uint32_t i = 0; i < WORK_MAX; i++) {
			uint32_t h = next_handle++ % WORK_MAX;
			bool used = waiting.count({ entry, h });

			for (const Running &r : running)
				used |= r.entry == entry && r.handle == h;
			*handle = h;
			if (!used)
				return true;
		}
		return false;
	}

	void go(uint32_t entry, const work &w, uint64_t target)
	{
		running.push_back({ entry, w.vip, target, w.handle, w.feed });
		inflight[target_index(target)]++;
	}

	void drain(uint32_t entry)
	{
		decision r;
		uint32_t handle;

		while (balance_next(entries[entry], now_ns, &handle, &r)) {
			auto it = waiting.find({ entry, handle });

			RC_ASSERT(it != waiting.end());
			RC_ASSERT(r.verdict != VERDICT_QUEUED);
			if (r.verdict == VERDICT_ADMITTED)
				go(entry, it->second, r.target);
			else
				RC_ASSERT(r.retry_after_s >= 1u);
			waiting.erase(it);
		}
		for (const auto &[key, w] : waiting)
			if (key.first == entry)
				RC_ASSERT(w.deadline_ns > now_ns);
	}

	decision submit(uint32_t entry, uint64_t to, bool feed,
			uint64_t timeout_ms, uint64_t pinned = ADDR_NONE)
	{
		work w{};
		decision r{};

		r.verdict = VERDICT_REFUSED;
		if (!free_handle(entry, &w.handle))
			return r;
		w.vip = to;
		w.class_ = CLASS_REPORT;
		w.feed = feed;
		w.pinned = pinned;
		w.deadline_ns = now_ns + timeout_ms * NS_PER_MS;
		r = balance_submit(entries[entry], &w, now_ns);
		if (r.verdict == VERDICT_ADMITTED)
			go(entry, w, r.target);
		if (r.verdict == VERDICT_QUEUED)
			waiting[{ entry, w.handle }] = w;
		drain(entry);
		return r;
	}

	void end(uint32_t i, outcome how, uint64_t took_ns)
	{
		Running r = running[i];

		running.erase(running.begin() + i);
		inflight[target_index(r.target)]--;
		balance_record_end(entries[r.entry], r.vip, r.target, how,
				   took_ns, now_ns);
		if (r.feed && how == OUTCOME_OK) {
			balance_change_feeds(entries[r.entry], r.vip, r.target,
					     1);
			feeds[target_index(r.target)]++;
		}
		drain(r.entry);
	}

	void report(uint32_t entry, uint32_t target, load_report said)
	{
		balance_record_load(entries[entry], target_addr(target), &said,
				    now_ns);
		drain(entry);
	}

	void cancel()
	{
		if (waiting.empty())
			return;
		auto it = waiting.begin();

		std::advance(it, any(0, uint32_t(waiting.size()) - 1));
		balance_cancel(entries[it->first.first], it->first.second);
		waiting.erase(it);
	}

	// One target drains or comes back, at every entry at once.
	void change(Config &c)
	{
		target_conf &t = c.targets[any(0, uint32_t(feeds.size()) - 1)];

		t.state = t.state == TARGET_UP ? TARGET_DRAINING : TARGET_UP;
		for (uint32_t i = 0; i < entries.size(); i++) {
			balance_set_config(entries[i], &c.c, now_ns);
			drain(i);
		}
	}

	void step()
	{
		uint32_t entry = any(0, uint32_t(entries.size()) - 1);
		uint32_t what = any(0, 9);

		now_ns += any(0, 30) * NS_PER_MS;
		if (what < 5)
			submit(entry, VIP, what < 2, any(0, 400));
		else if (what < 8 && !running.empty())
			end(any(0, uint32_t(running.size()) - 1),
			    outcome(any(0, OUTCOME_COUNT - 1)),
			    any(1, 200) * NS_PER_MS);
		else if (what == 8)
			report(entry, any(0, uint32_t(feeds.size()) - 1),
			       { any(0, 4), any(0, 2), any(0, 20) });
		else
			drain(entry);
	}
};

// Requests that targets may be sent, by the promise in docs/design/balance.md.
uint32_t promise(uint32_t n_entries, uint32_t n_targets, uint32_t slots)
{
	share_params o = { n_entries, 0, n_targets, n_targets * slots };
	uint32_t own = slots;

	if (o.n_slots < n_entries)
		own = (n_entries + n_targets - 1) / n_targets;
	return own + target_share_extra_total(&o, slots);
}

void shares_add_up()
{
	uint32_t slots = any(1, 40);
	share_params o = { any(1, 500), 0, any(1, 50), 0 };
	uint32_t nth = any(0, o.n_targets - 1);
	uint32_t connections = any(0, 3000);
	uint64_t offset = any(0, 100000);
	target_share sum{};
	uint32_t least = UINT32_MAX;
	uint32_t most = 0;
	uint32_t own = slots;

	o.n_slots = o.n_targets * slots;
	if (o.n_slots < o.n_entries)
		own = o.n_entries / o.n_targets +
		      (nth < o.n_entries % o.n_targets);
	for (o.rank = 0; o.rank < o.n_entries; o.rank++) {
		target_share d = target_share_compute(&o, slots, connections,
						      offset, nth);

		sum.own += d.own;
		sum.extra += d.extra;
		sum.connections += d.connections;
		least = std::min(least, d.own);
		most = std::max(most, d.own);
	}
	RC_ASSERT(sum.own == own);
	RC_ASSERT(sum.extra == target_share_extra_total(&o, slots));
	RC_ASSERT(sum.connections == connections);
	RC_ASSERT(most - least <= 1u);
}

void caps_hold()
{
	uint32_t n_entries = any(1, 9);
	uint32_t n_targets = any(1, 6);
	uint32_t slots = any(1, 4);
	uint32_t connections = any(2, 8);
	Config c(n_targets, uint16_t(slots), connections, { 1 }, 20);
	Fleet f(n_entries, c);
	uint32_t most = promise(n_entries, n_targets, slots);

	for (uint32_t i = 0; i < 150; i++) {
		f.step();
		for (uint32_t t = 0; t < n_targets; t++) {
			RC_ASSERT(f.inflight[t] <= most);
			RC_ASSERT(f.feeds[t] <= connections);
		}
	}
}

// Asserted in drain(): no ruling without a wait, none after its last.
void each_request_has_one_ruling()
{
	Config c(any(1, 4), uint16_t(any(1, 3)), 100, { 1 }, any(1, 50));
	Fleet f(1, c);

	for (uint32_t i = 0; i < 300; i++) {
		uint32_t what = any(0, 9);

		if (what == 0)
			f.cancel();
		else if (what == 1)
			f.change(c);
		else if (what == 2)
			f.submit(0, VIP, false, any(0, 400), target_addr(0));
		else
			f.step();
		for (uint32_t n : f.inflight)
			RC_ASSERT(n <= c.targets[0].slots);
	}
	f.now_ns += 10 * NS_PER_S;
	f.drain(0);
	RC_ASSERT(f.waiting.empty());
	RC_ASSERT(balance_next_ns(f.entries[0]) == UINT64_MAX);
}

void retries_stay_in_budget()
{
	Config c(2, 2, 100, { 1 }, 20);
	Fleet f(1, c);
	uint32_t good = 0;
	uint32_t retries = 0;

	for (uint32_t i = 0; i < 400; i++) {
		if (any(0, 1)) {
			retries +=
				balance_take_retry(f.entries[0], VIP, f.now_ns);
		} else {
			f.submit(0, VIP, false, 400);
			good++;
			f.end(0, OUTCOME_OK, NS_PER_MS);
		}
		RC_ASSERT(retries <=
			  BUDGET_START_RETRIES + good / BUDGET_SUCCESSES);
	}
}

// A light account with work all the time gets its part by weight, or more.
void light_account_is_served()
{
	uint16_t heavy = uint16_t(any(1, 20));
	uint16_t light = uint16_t(any(1, 20));
	uint32_t rounds = 200;
	uint32_t served = 0;
	Config c(any(1, 3), 1, 100, { heavy, light }, 100);
	Fleet f(1, c);

	for (uint32_t i = 0; i < rounds; i++) {
		uint64_t before = f.now_ns;

		for (uint32_t j = 0; j < 5; j++)
			f.submit(0, vip(0), false, 60000);
		f.submit(0, vip(1), false, 60000);
		f.now_ns += 10 * NS_PER_MS;
		served += f.running[0].vip == vip(1);
		f.end(0, OUTCOME_OK, f.now_ns - before);
	}
	RC_ASSERT(served + 10 >= rounds * light / (heavy + light) * 9 / 10);
}

} // namespace

int main()
{
	bool ok = true;

	ok &= rc::check("shares add up to the caps", shares_add_up);
	ok &= rc::check("caps hold over entries", caps_hold);
	ok &= rc::check("each request has one ruling",
			each_request_has_one_ruling);
	ok &= rc::check("retries stay in budget", retries_stay_in_budget);
	ok &= rc::check("a light account is served", light_account_is_served);
	return ok ? 0 : 1;
}
