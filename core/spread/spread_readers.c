/* Which few of a data centre read the platform. */
#include "spread_internal.h"

#define RANK_SEED 0x72616e6bULL

static uint64_t rank_hash(uint64_t vm)
{
	return hash_u64(vm, RANK_SEED);
}

static uint32_t rank_of(const struct spread *s, uint64_t vm)
{
	uint64_t hash = rank_hash(vm);
	uint32_t better = vm != s->conf.self && rank_hash(s->conf.self) > hash;

	for (uint32_t i = 0; i < s->n_peers; i++)
		better +=
			s->peers[i].listed && rank_hash(s->peers[i].vm) > hash;
	return better;
}

/* Places of all among candidates, by a new list of VMs. */
void readers_rank(struct spread *s)
{
	s->rank = rank_of(s, s->conf.self);
	for (uint32_t i = 0; i < s->n_peers; i++)
		s->peers[i].rank = rank_of(s, s->peers[i].vm);
}

static bool best_reader_lives(const struct spread *s, uint64_t now_ns)
{
	return s->best_reader && now_ns - s->best_heard_ns < READER_TIMEOUT_NS;
}

/* Keep the best candidate that is known to live, and how lately. */
static void candidate_heard(struct spread *s, uint64_t vm, uint64_t heard_ns,
			    uint64_t now_ns)
{
	bool same = vm == s->best_reader;

	if (!vm || now_ns - heard_ns >= READER_TIMEOUT_NS)
		return;
	if (same && heard_ns <= s->best_heard_ns)
		return;
	if (!same && best_reader_lives(s, now_ns) &&
	    rank_hash(vm) < rank_hash(s->best_reader))
		return;
	s->best_reader = vm;
	s->best_heard_ns = heard_ns;
}

static void digest_heard(struct spread *s, const struct spread_msg *msg,
			 uint64_t now_ns)
{
	uint64_t age_ns = msg->reader_age_ms * NS_PER_MS;

	if (msg->reader == s->conf.self || msg->reader_age_ms >= now_ns ||
	    age_ns >= now_ns)
		return;
	candidate_heard(s, msg->reader, now_ns - age_ns, now_ns);
}

/* Note what a peer says of itself as a candidate, or of others. */
void readers_heard(struct spread *s, struct spread_peer *p,
		   const struct spread_msg *msg, uint64_t now_ns)
{
	if (msg->kind == SPREAD_DIGEST)
		digest_heard(s, msg, now_ns);
	if (msg->kind != SPREAD_BEAT)
		return;
	p->beat_deadline_ns = now_ns + BEAT_TIMEOUT_NS;
	p->platform_ok = msg->platform_ok;
	candidate_heard(s, msg->from, now_ns, now_ns);
}

static bool is_candidate(const struct spread *s, uint32_t rank)
{
	return rank < s->conf.readers + STANDBYS;
}

/*
 * Ranks below the candidates read only when nobody has heard of a live
 * candidate for long: all died at once, or are on the other side of a
 * partition. The number of ranks doubles with each timeout, and once one of
 * them is heard of, the others stop.
 */
static bool should_stand_in(const struct spread *s, uint64_t now_ns)
{
	uint64_t silences = (now_ns - s->best_heard_ns) / READER_TIMEOUT_NS;
	uint32_t ranks = s->conf.readers + STANDBYS;

	if (best_reader_lives(s, now_ns))
		return s->best_reader == s->conf.self;
	while (silences-- && ranks < SPREAD_PEERS_MAX)
		ranks *= 2;
	return s->rank < ranks;
}

/*
 * A VM reads when fewer than the wanted number before it are heard to reach
 * the platform. With the platform down for all, each of the candidates tries,
 * and no other VM, so that its return is seen without a rush.
 */
static bool should_read(const struct spread *s, uint64_t now_ns)
{
	uint32_t better = 0;

	if (!s->roster_known)
		return false;
	if (!s->n_listed || (!s->answered && now_ns >= s->join_deadline_ns))
		return true;
	if (!is_candidate(s, s->rank))
		return should_stand_in(s, now_ns);
	for (uint32_t i = 0; i < s->n_peers; i++) {
		const struct spread_peer *p = &s->peers[i];

		better += p->listed && p->platform_ok && p->rank < s->rank &&
			  now_ns < p->beat_deadline_ns;
	}
	return better < s->conf.readers;
}

static void beat_send(struct spread *s)
{
	struct spread_msg m = {
		.kind = SPREAD_BEAT,
		.from = s->conf.self,
		.bucket = -1,
		.platform_ok = s->platform_ok || !s->reader,
	};

	for (uint32_t i = 0; i < s->n_peers; i++)
		if (s->peers[i].listed && is_candidate(s, s->peers[i].rank))
			s->port.send(s->port.ctx, s->peers[i].vm, &m);
}

/* Choose whether to read, and tell the other candidates of us. */
void readers_tick(struct spread *s, uint64_t now_ns)
{
	bool candidate = s->roster_known && is_candidate(s, s->rank);
	bool reader = should_read(s, now_ns);

	s->counters.reader_changes += reader != s->reader;
	s->reader = reader;
	if (candidate || reader)
		candidate_heard(s, s->conf.self, now_ns, now_ns);
	if (candidate)
		beat_send(s);
}

bool spread_is_reader(const struct spread *s)
{
	return s->reader;
}
