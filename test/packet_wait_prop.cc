/*
 * Requests, answers, repeats, ends of flows, targets that leave or die, and
 * time, in any order: a request goes to its target at most once, never after
 * its client's timeout, and the counts that limits go by stay true.
 */
#include <rapidcheck.h>

#include <vector>

extern "C" {
#include "packet_bed.h"
}

namespace
{

constexpr uint64_t CALLER = ADDR(0x64400001, 1000);
constexpr unsigned FLOWS = 24;
constexpr unsigned TARGETS = 2;
constexpr uint32_t AIM_MS = 300;
constexpr uint32_t TIMEOUT_MS = 2000;

enum Act {
	ASK,
	ASK_AGAIN,
	ASK_A_THIRD_TIME,
	REPEAT,
	ANSWER,
	ANSWER_ANOTHER,
	END,
	PASS,
	LONG_PASS,
	LEAVE,
	DIE,
	ACTS,
};

struct Flow {
	bool open = false;
	const struct target *target = nullptr;
	uint32_t seq = 1;
	uint32_t ack = 1;
	bool asked = false;
	uint64_t asked_ns = 0;
	unsigned gone = 0; /* times that the request went to the target */
};

class Entry
{
      public:
	Entry()
	{
		policy = policy_usual;
		policy.limit_percent = 1; /* as many as slots */
		policy.waiting_max = 5;
		bed_open_with(&bed, &policy);
		bed_times(&bed, AIM_MS, TIMEOUT_MS);
		for (unsigned i = 0; i < TARGETS; i++)
			targets[i] = bed_target(&bed, i + 1, SERVICE, ZONE);
	}
	~Entry()
	{
		bed_close(&bed);
	}
	Entry(const Entry &) = delete;
	Entry &operator=(const Entry &) = delete;

	void act(Act what, unsigned flow)
	{
		Flow &f = flows[flow];

		if (what <= ASK_A_THIRD_TIME)
			ask(f, flow);
		else if (what == REPEAT && f.asked)
			repeat(f, flow);
		else if ((what == ANSWER || what == ANSWER_ANOTHER) && f.gone)
			answer(f, flow);
		else if (what == END && f.open)
			end(f, flow);
		else if (what == PASS || what == LONG_PASS)
			bed_pass(&bed, what == PASS ? 40 * MS : 700 * MS);
		else if (what == LEAVE && flow == 0)
			leave(targets[0]);
		else if (what == DIE && flow == 0)
			die(targets[1]);
		note_sent();
		check();
	}

	/* All clients end their flows. */
	void finish()
	{
		for (unsigned i = 0; i < FLOWS; i++)
			if (flows[i].open)
				end(flows[i], i);
		check();
		RC_ASSERT(path_queued_count(bed.path) == 0);
		for (const struct target *t : targets)
			RC_ASSERT(t->running == 0 && t->busy == 0);
	}

	uint64_t waits() const
	{
		return path_verdict_counts(bed.path)[PATH_waits];
	}

      private:
	struct policy policy;
	struct bed bed;
	struct target *targets[TARGETS];
	Flow flows[FLOWS];
	uint32_t noted = 0;

	/* Feeds and reports. */
	static uint64_t vip(unsigned flow)
	{
		return flow % 2 ? REPORT_VIP : VIP;
	}

	struct path_verdict packet(const Flow &f, unsigned flow, uint16_t bytes)
	{
		return bed_data(&bed, CALLER + flow, vip(flow),
				f.target->cookie, f.seq, f.ack, bytes);
	}

	void ask(Flow &f, unsigned flow)
	{
		if (!f.open) {
			struct path_verdict v =
				bed_open_flow(&bed, CALLER + flow, vip(flow));

			if (v.action != PATH_FORWARD)
				return;
			f = Flow();
			f.open = true;
			f.target = v.target;
		}
		if (f.asked)
			return;
		f.seq++;
		f.asked = true;
		f.asked_ns = bed.now_ns;
		take(f, packet(f, flow, 100));
	}

	void take(Flow &f, const struct path_verdict &v)
	{
		if (v.action == PATH_FORWARD)
			f.gone++;
		else if (v.action == PATH_RESET)
			f = Flow();
	}

	/* Of a request that has gone, a copy may go as well: it may be lost. */
	void repeat(Flow &f, unsigned flow)
	{
		struct path_verdict v = packet(f, flow, 100);
		bool old = f.asked_ns + TIMEOUT_MS * MS <= bed.now_ns;

		if (v.action == PATH_RESET)
			f = Flow();
		else
			RC_ASSERT(v.action ==
				  (f.gone || old ? PATH_FORWARD : PATH_WAIT));
	}

	void answer(Flow &f, unsigned flow)
	{
		f.ack += 1000;
		f.asked = false;
		f.gone = 0;
		if (packet(f, flow, 0).action == PATH_RESET)
			f = Flow();
	}

	void end(Flow &f, unsigned flow)
	{
		struct packet k = {};
		struct path_verdict v;

		k.flow = { CALLER + flow, vip(flow) };
		k.cookie = f.target->cookie;
		k.seq = f.seq + 1;
		k.ack = f.ack;
		k.flags = PACKET_RST;
		path_packet(bed.path, &k, true, bed.now_ns, &v);
		f = Flow();
	}

	void leave(struct target *t)
	{
		struct target_news news = t->news;

		news.leaving = true;
		news.sequence++;
		bed_publish(&bed, &news);
	}

	void die(struct target *t)
	{
		struct incarnation who = target_incarnation(t);

		path_peer_reported_dead(bed.path, &who);
		for (Flow &f : flows)
			if (f.target == t)
				f = Flow();
	}

	void note_sent()
	{
		for (; noted < bed.n_sent; noted++) {
			const bed_sent &s = bed.sent[noted % BED_EVENTS_MAX];
			Flow &f = flows[s.caller - CALLER];

			RC_ASSERT(f.asked && !f.gone);
			RC_ASSERT(bed.now_ns <
				  f.asked_ns + TIMEOUT_MS * MS + 20 * MS);
			f.gone++;
		}
	}

	void check()
	{
		uint32_t running[TARGETS] = {}, waiting = 0;

		for (unsigned i = 0; i < FLOWS; i++) {
			struct flow_key key = { CALLER + i, vip(i) };
			const struct flow_state *f =
				path_find_flow(bed.path, &key);

			if (!f)
				continue;
			RC_ASSERT(!f->running || !f->waiting);
			RC_ASSERT(f->busy || (!f->running && !f->waiting));
			for (unsigned t = 0; t < TARGETS; t++)
				running[t] +=
					f->running && f->target == targets[t];
			waiting += f->waiting != 0;
		}
		RC_ASSERT(waiting == path_queued_count(bed.path));
		for (unsigned t = 0; t < TARGETS; t++)
			RC_ASSERT(running[t] == targets[t]->running);
	}
};

void a_request_goes_at_most_once()
{
	auto acts = *rc::gen::scale(
		10,
		rc::gen::container<std::vector<std::pair<int, unsigned>>>(
			rc::gen::pair(rc::gen::inRange<int>(0, ACTS),
				      rc::gen::inRange<unsigned>(0, FLOWS))));
	Entry e;

	for (const auto &a : acts)
		e.act((Act)a.first, a.second);
	RC_TAG(e.waits() != 0 ? "some wait" : "none waits");
	e.finish();
}

} // namespace

int main()
{
	return rc::check("a request goes at most once",
			 a_request_goes_at_most_once)
		       ? 0
		       : 1;
}
