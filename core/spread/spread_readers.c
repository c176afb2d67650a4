/* Election of the few VMs of a data centre that read the platform. */
#include "spread_internal.h"

#define RANK_HASH_SEED 0x72616e6bULL

static uint64_t rank_hash(uint64_t vm)
{
	return hash_u64(vm, RANK_HASH_SEED);
}

static uint32_t rank_of(const struct spread *s, uint64_t vm)
{
	uint64_t hash = rank_hash(vm);
	uint32_t n_better =
		vm != s->conf.self && rank_hash(s->conf.self) > hash;

	for (uint32_t i = 0; i < s->n_peers; i++)
		n_better +=
			s->peers[i].listed && rank_hash(s->peers[i].vm) > hash;
	return n_better;
}

/* Rank all VMs of a new roster as candidates for reading. */
void readers_rank(struct spread *s)
{
	s->candidate_rank = rank_of(s, s->conf.self);
	for (uint32_t i = 0; i < s->n_peers; i++)
		s->peers[i].candidate_rank = rank_of(s, s->peers[i].vm);
}

static bool best_reader_is_live(const struct spread *s, uint64_t now_ns)
{
	return s->best_reader &&
	       now_ns - s->best_reader_heard_ns < READER_TIMEOUT_NS;
}

/* Keep the highest ranked live candidate and its latest sign of life. */
static void record_live_candidate(struct spread *s, uint64_t vm,
				  uint64_t heard_ns, uint64_t now_ns)
{
	bool same = vm == s->best_reader;

	if (!vm || now_ns - heard_ns >= READER_TIMEOUT_NS)
		return;
	if (same && heard_ns <= s->best_reader_heard_ns)
		return;
	if (!same && best_reader_is_live(s, now_ns) &&
	    rank_hash(vm) < rank_hash(s->best_reader))
		return;
	s->best_reader = vm;
	s->best_reader_heard_ns = heard_ns;
}

static void record_digest_reader(struct spread *s, const struct spread_msg *msg,
				 uint64_t now_ns)
{
	uint64_t age_ns = msg->live_reader_age_ms * NS_PER_MS;

	if (msg->live_reader == s->conf.self ||
	    msg->live_reader_age_ms >= now_ns || age_ns >= now_ns)
		return;
	record_live_candidate(s, msg->live_reader, now_ns - age_ns, now_ns);
}

/* Record the sign of life of a candidate that a message carries. */
void readers_record_message(struct spread *s, struct spread_peer *p,
			    const struct spread_msg *msg, uint64_t now_ns)
{
	if (msg->kind == SPREAD_DIGEST)
		record_digest_reader(s, msg, now_ns);
	if (msg->kind != SPREAD_HEARTBEAT)
		return;
	p->heartbeat_deadline_ns = now_ns + HEARTBEAT_TIMEOUT_NS;
	p->platform_ok = msg->platform_ok;
	record_live_candidate(s, msg->from, now_ns, now_ns);
}

static bool is_candidate(const struct spread *s, uint32_t rank)
{
	return rank < s->conf.readers + STANDBY_READERS;
}

/*
 * Ranks below the candidates read only when no sign of life of a candidate has
 * reached this VM for READER_TIMEOUT_NS: all candidates died at once, or are on
 * the other side of a partition. The number of ranks that read doubles with
 * each further timeout. Once a sign of life of one of them arrives, the others
 * stop.
 */
static bool should_read_as_fallback(const struct spread *s, uint64_t now_ns)
{
	uint64_t timeouts =
		(now_ns - s->best_reader_heard_ns) / READER_TIMEOUT_NS;
	uint32_t n_ranks = s->conf.readers + STANDBY_READERS;

	if (best_reader_is_live(s, now_ns))
		return s->best_reader == s->conf.self;
	while (timeouts-- && n_ranks < SPREAD_PEERS_MAX)
		n_ranks *= 2;
	return s->candidate_rank < n_ranks;
}

/*
 * A VM reads when fewer than the configured number of candidates of higher rank
 * send heartbeats that say they reach the platform. While the platform is down
 * for all, every candidate tries to read and no other VM does, so that its
 * recovery is noticed without a load spike.
 */
static bool should_read(const struct spread *s, uint64_t now_ns)
{
	uint32_t n_better = 0;

	if (!s->roster_known)
		return false;
	if (!s->n_listed ||
	    (!s->any_peer_answered && now_ns >= s->join_deadline_ns))
		return true;
	if (!is_candidate(s, s->candidate_rank))
		return should_read_as_fallback(s, now_ns);
	for (uint32_t i = 0; i < s->n_peers; i++) {
		const struct spread_peer *p = &s->peers[i];

		n_better += p->listed && p->platform_ok &&
			    p->candidate_rank < s->candidate_rank &&
			    now_ns < p->heartbeat_deadline_ns;
	}
	return n_better < s->conf.readers;
}

static void send_heartbeats(struct spread *s)
{
	struct spread_msg m = {
		.kind = SPREAD_HEARTBEAT,
		.from = s->conf.self,
		.bucket = -1,
		.platform_ok = s->platform_ok || !s->is_reader,
	};

	for (uint32_t i = 0; i < s->n_peers; i++)
		if (s->peers[i].listed &&
		    is_candidate(s, s->peers[i].candidate_rank))
			s->port.send(s->port.ctx, s->peers[i].vm, &m);
}

/* Decide whether this VM reads, and send heartbeats to the candidates. */
void readers_tick(struct spread *s, uint64_t now_ns)
{
	bool candidate = s->roster_known && is_candidate(s, s->candidate_rank);
	bool reader = should_read(s, now_ns);

	s->counters.reader_changes += reader != s->is_reader;
	s->is_reader = reader;
	if (candidate || reader)
		record_live_candidate(s, s->conf.self, now_ns, now_ns);
	if (candidate)
		send_heartbeats(s);
}

/**
 * spread_is_reader() - whether this VM has to read the platform
 * @s: spread
 *
 * Return: the decision of the last spread_tick().
 */
bool spread_is_reader(const struct spread *s)
{
	return s->is_reader;
}
