/*
 * Requests, answers, repeats, resets by clients, targets that leave or die, and
 * time, in any order: a queued request is forwarded at most once and never
 * after its client's timeout, and the counts of requests match the flows.
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
constexpr uint32_t OBJECTIVE_MS = 300;
constexpr uint32_t TIMEOUT_MS = 2000;

enum Act {
	REQUEST,
	REQUEST_AGAIN,
	REQUEST_A_THIRD_TIME,
	REPEAT,
	ANSWER,
	ANSWER_AGAIN,
	RESET,
	WAIT,
	LONG_WAIT,
	LEAVE,
	DIE,
	ACTS,
};

struct Flow {
	bool open = false;
	const struct target *target = nullptr;
	uint32_t seq = 1;
	uint32_t ack = 1;
	bool has_request = false;
	uint64_t requested_ns = 0;
	unsigned forwarded = 0; /* times that the request was forwarded */
};

class Entry
{
      public:
	Entry()
	{
		policy = policy_default;
		policy.limit_percent = 1; /* as many requests as slots */
		policy.waiting_max = 5;
		bed_open_with(&bed, &policy);
		bed_set_route_times(&bed, OBJECTIVE_MS, TIMEOUT_MS);
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

		if (what <= REQUEST_A_THIRD_TIME)
			request(f, flow);
		else if (what == REPEAT && f.has_request)
			repeat(f, flow);
		else if ((what == ANSWER || what == ANSWER_AGAIN) &&
			 f.forwarded)
			answer(f, flow);
		else if (what == RESET && f.open)
			reset(f, flow);
		else if (what == WAIT || what == LONG_WAIT)
			bed_advance(&bed, what == WAIT ? 40 * MS : 700 * MS);
		else if (what == LEAVE && flow == 0)
			leave(targets[0]);
		else if (what == DIE && flow == 0)
			die(targets[1]);
		check_sent();
		check();
	}

	/* Reset all flows, after which no request may be counted. */
	void finish()
	{
		for (unsigned i = 0; i < FLOWS; i++)
			if (flows[i].open)
				reset(flows[i], i);
		check();
		RC_ASSERT(path_queued_count(bed.path) == 0);
		for (const struct target *t : targets)
			RC_ASSERT(t->running == 0 && t->busy == 0);
	}

	uint64_t queued() const
	{
		return path_verdict_counts(bed.path)[PATH_waits];
	}

      private:
	struct policy policy;
	struct bed bed;
	struct target *targets[TARGETS];
	Flow flows[FLOWS];
	uint32_t n_checked = 0;

	/* Flows alternate between feeds and reports. */
	static uint64_t vip(unsigned flow)
	{
		return flow % 2 ? REPORT_VIP : VIP;
	}

	struct path_verdict send_packet(const Flow &f, unsigned flow,
					uint16_t bytes)
	{
		return bed_data(&bed, CALLER + flow, vip(flow),
				f.target->cookie, f.seq, f.ack, bytes);
	}

	void request(Flow &f, unsigned flow)
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
		if (f.has_request)
			return;
		f.seq++;
		f.has_request = true;
		f.requested_ns = bed.now_ns;
		handle_verdict(f, send_packet(f, flow, 100));
	}

	void handle_verdict(Flow &f, const struct path_verdict &v)
	{
		if (v.action == PATH_FORWARD)
			f.forwarded++;
		else if (v.action == PATH_RESET)
			f = Flow();
	}

	/* A repeat of a forwarded request is forwarded, since the first packet
	 * may be lost; so is one of a request that expired. */
	void repeat(Flow &f, unsigned flow)
	{
		struct path_verdict v = send_packet(f, flow, 100);
		bool old = f.requested_ns + TIMEOUT_MS * MS <= bed.now_ns;

		if (v.action == PATH_RESET)
			f = Flow();
		else
			RC_ASSERT(v.action == (f.forwarded || old ? PATH_FORWARD
								  : PATH_WAIT));
	}

	void answer(Flow &f, unsigned flow)
	{
		f.ack += 1000;
		f.has_request = false;
		f.forwarded = 0;
		if (send_packet(f, flow, 0).action == PATH_RESET)
			f = Flow();
	}

	void reset(Flow &f, unsigned flow)
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
		struct target_advertisement news = t->advertised;

		news.leaving = true;
		news.sequence++;
		bed_publish(&bed, &news);
	}

	void die(struct target *t)
	{
		struct incarnation who = target_incarnation(t);

		path_peer_reported_dead(bed.path, &who, bed.now_ns);
		for (Flow &f : flows)
			if (f.target == t)
				f = Flow();
	}

	void check_sent()
	{
		for (; n_checked < bed.n_sent; n_checked++) {
			const bed_sent &s =
				bed.sent[n_checked % BED_EVENTS_MAX];
			Flow &f = flows[s.caller - CALLER];

			RC_ASSERT(f.has_request && !f.forwarded);
			RC_ASSERT(bed.now_ns <
				  f.requested_ns + TIMEOUT_MS * MS + 20 * MS);
			f.forwarded++;
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

void request_is_forwarded_at_most_once()
{
	auto acts = *rc::gen::scale(
		10,
		rc::gen::container<std::vector<std::pair<int, unsigned>>>(
			rc::gen::pair(rc::gen::inRange<int>(0, ACTS),
				      rc::gen::inRange<unsigned>(0, FLOWS))));
	Entry e;

	for (const auto &a : acts)
		e.act((Act)a.first, a.second);
	RC_TAG(e.queued() != 0 ? "some queued" : "none queued");
	e.finish();
}

} // namespace

int main()
{
	return rc::check("a request is forwarded at most once",
			 request_is_forwarded_at_most_once)
		       ? 0
		       : 1;
}
