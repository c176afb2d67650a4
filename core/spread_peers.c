/* Neighbours, the choice of readers, and joining without memory. */
#include "spread_internal.h"

#include <stdlib.h>
#include <string.h>

#define RANK_SEED 0x72616e6bULL
#define NEAR_SEED 0x6e656172ULL

static uint64_t rank_hash(uint64_t vm)
{
	return hash_u64(vm, RANK_SEED);
}

static struct spread_peer *peer_find(struct spread *s, uint64_t vm)
{
	for (uint32_t i = 0; i < s->n_peers; i++)
		if (s->peers[i].vm == vm)
			return &s->peers[i];
	return NULL;
}

static struct spread_peer *peer_get(struct spread *s, uint64_t vm)
{
	struct spread_peer *p = peer_find(s, vm);

	if (p || s->n_peers == SPREAD_PEERS_MAX)
		return p;
	p = &s->peers[s->n_peers++];
	*p = (struct spread_peer){
		.vm = vm,
		.near_hash = hash_u64(vm, hash_u64(s->conf.self, NEAR_SEED)),
	};
	return p;
}

static bool peer_silent(const struct spread_peer *p, uint64_t now_ns)
{
	return p->answer_deadline_ns && now_ns >= p->answer_deadline_ns;
}

static bool peer_fresh(const struct spread_peer *p, uint64_t now_ns)
{
	return now_ns < p->fresh_deadline_ns;
}

/* Mark the nearest that are not silent. */
static void peers_choose(struct spread *s, uint64_t now_ns)
{
	for (uint32_t i = 0; i < s->n_peers; i++)
		s->peers[i].neighbour = false;
	for (uint32_t k = 0; k < NEIGHBOURS; k++) {
		struct spread_peer *best = NULL;

		for (uint32_t i = 0; i < s->n_peers; i++) {
			struct spread_peer *p = &s->peers[i];

			if (!p->listed || p->neighbour ||
			    peer_silent(p, now_ns))
				continue;
			if (!best || p->near_hash > best->near_hash)
				best = p;
		}
		if (best)
			best->neighbour = true;
	}
}

/* Forget who left the list and is not heard any more. */
static void peers_forget(struct spread *s, uint64_t now_ns)
{
	uint32_t n = 0;

	for (uint32_t i = 0; i < s->n_peers; i++)
		if (s->peers[i].listed || peer_fresh(&s->peers[i], now_ns))
			s->peers[n++] = s->peers[i];
	s->n_peers = n;
}

static int by_vm(const void *a, const void *b)
{
	const struct spread_peer *x = a, *y = b;

	return (x->vm > y->vm) - (x->vm < y->vm);
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

static void peers_rank(struct spread *s)
{
	s->rank = rank_of(s, s->conf.self);
	for (uint32_t i = 0; i < s->n_peers; i++)
		s->peers[i].rank = rank_of(s, s->peers[i].vm);
}

/**
 * spread_roster() - the data centre's VMs that are not leaving
 * @s: spread
 * @vms: their addresses, this VM among them or not
 * @n: how many
 * @now_ns: time
 */
void spread_roster(struct spread *s, const uint64_t *vms, uint32_t n,
		   uint64_t now_ns)
{
	for (uint32_t i = 0; i < s->n_peers; i++)
		s->peers[i].listed = false;
	s->n_listed = 0;
	for (uint32_t i = 0; i < n; i++) {
		struct spread_peer *p = NULL;

		if (vms[i] != s->conf.self)
			p = peer_get(s, vms[i]);
		if (!p)
			continue;
		s->n_listed += !p->listed;
		p->listed = true;
	}
	peers_forget(s, now_ns);
	qsort(s->peers, s->n_peers, sizeof(*s->peers), by_vm);
	peers_rank(s);
	peers_choose(s, now_ns);
	if (s->roster_known)
		return;
	s->roster_known = true;
	s->join_deadline_ns = now_ns + JOIN_TIMEOUT_NS;
	s->digest_deadline_ns = now_ns;
}

/**
 * spread_platform_state() - how reading the platform goes at this VM
 * @s: spread
 * @ok: it answered lately
 * @caught_up: everything it listed has been read
 * @now_ns: time
 */
void spread_platform_state(struct spread *s, bool ok, bool caught_up,
			   uint64_t now_ns)
{
	(void)now_ns;
	s->platform_ok = ok;
	s->platform_caught_up = caught_up;
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

/* Note that a peer lives, and what it says of readers. */
void peers_heard(struct spread *s, const struct spread_msg *msg,
		 uint64_t now_ns)
{
	struct spread_peer *p = peer_get(s, msg->from);

	if (!p)
		return;
	s->answered = true;
	p->fresh_deadline_ns = now_ns + FRESH_NS;
	p->answer_deadline_ns = 0;
	if (msg->kind == SPREAD_DIGEST)
		digest_heard(s, msg, now_ns);
	if (msg->kind != SPREAD_BEAT)
		return;
	p->beat_deadline_ns = now_ns + BEAT_TIMEOUT_NS;
	p->platform_ok = msg->platform_ok;
	candidate_heard(s, msg->from, now_ns, now_ns);
}

/* Tell those near, and those who lately turned to us, of a version. */
void peers_offer(struct spread *s, const struct record *r, uint64_t except,
		 uint64_t now_ns)
{
	struct spread_offer one = { .version = r->version };
	struct spread_msg m = {
		.kind = SPREAD_OFFER,
		.from = s->conf.self,
		.bucket = -1,
		.offers = &one,
		.n_offers = 1,
	};

	memcpy(one.key, r->key, sizeof(one.key));
	for (uint32_t i = 0; i < s->n_peers; i++) {
		const struct spread_peer *p = &s->peers[i];

		if (p->vm == except || !(p->neighbour || peer_fresh(p, now_ns)))
			continue;
		s->counters.offers++;
		s->port.send(s->port.ctx, p->vm, &m);
	}
}

void peers_digest(struct spread *s, uint64_t vm, bool ask, uint64_t now_ns)
{
	struct spread_msg m = {
		.kind = SPREAD_DIGEST,
		.from = s->conf.self,
		.root = s->root,
		.ask = ask,
		.bucket = -1,
		.reader = s->best_reader,
		.reader_age_ms = (now_ns - s->best_heard_ns) / NS_PER_MS,
	};

	s->port.send(s->port.ctx, vm, &m);
}

static void peer_ask(struct spread *s, struct spread_peer *p, uint64_t now_ns)
{
	if (!p->answer_deadline_ns)
		p->answer_deadline_ns = now_ns + ANSWER_TIMEOUT_NS;
	peers_digest(s, p->vm, true, now_ns);
}

static void start_serving(struct spread *s)
{
	s->serving = true;
	for (uint32_t i = 0; i < s->n_records; i++)
		store_announce(s, &s->records[i]);
}

/* A peer has exactly what we have: enough of those end the joining. */
void peers_agreed(struct spread *s, uint64_t vm, uint64_t now_ns)
{
	uint32_t needed = s->n_listed < JOIN_AGREED ? s->n_listed : JOIN_AGREED;
	struct spread_peer *p = peer_find(s, vm);
	uint32_t agreed = 0;

	(void)now_ns;
	if (s->serving || !s->roster_known || !p)
		return;
	p->agreed = true;
	for (uint32_t i = 0; i < s->n_peers; i++)
		agreed += s->peers[i].agreed;
	if (agreed >= needed && s->root)
		start_serving(s);
}

/*
 * A VM has no memory: what the platform says may be older than what is in
 * force at its peers, so they are asked first. When none answers in time the
 * platform alone has to do, and a newer generation that a peer brings later
 * wins all the same.
 */
static void join_tick(struct spread *s, uint64_t now_ns)
{
	bool late = s->roster_known && now_ns >= s->join_deadline_ns;

	if (s->serving || !s->roster_known)
		return;
	if (s->n_listed && !late)
		return;
	if (!s->answered && !s->platform_caught_up)
		return;
	if (s->n_listed && !s->answered)
		s->counters.joined_alone++;
	start_serving(s);
}

static void join_ask(struct spread *s, uint64_t now_ns)
{
	uint32_t first = s->n_peers ? rng_next(&s->rng) % s->n_peers : 0;
	uint32_t n = s->n_peers < JOIN_ASKED ? s->n_peers : JOIN_ASKED;

	for (uint32_t i = 0; i < n; i++)
		peer_ask(s, &s->peers[(first + i) % s->n_peers], now_ns);
}

static void digest_tick(struct spread *s, uint64_t now_ns)
{
	uint32_t turn;

	peers_choose(s, now_ns);
	if (!s->n_peers)
		return;
	if (rng_next(&s->rng) % RANDOM_ONE_IN == 0) {
		peer_ask(s, &s->peers[rng_next(&s->rng) % s->n_peers], now_ns);
		return;
	}
	turn = s->turn++ % NEIGHBOURS;
	for (uint32_t i = 0; i < s->n_peers; i++) {
		if (!s->peers[i].neighbour)
			continue;
		if (turn-- == 0)
			peer_ask(s, &s->peers[i], now_ns);
	}
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

static void beat_tick(struct spread *s, uint64_t now_ns)
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

/* Do what is due: heartbeats, digests, the end of joining. */
void peers_tick(struct spread *s, uint64_t now_ns)
{
	if (now_ns >= s->beat_deadline_ns) {
		s->beat_deadline_ns = now_ns + BEAT_PERIOD_NS;
		beat_tick(s, now_ns);
	}
	if (now_ns >= s->digest_deadline_ns) {
		s->digest_deadline_ns = now_ns + (s->serving ? DIGEST_PERIOD_NS
							     : JOIN_PERIOD_NS);
		if (s->serving)
			digest_tick(s, now_ns);
		else
			join_ask(s, now_ns);
	}
	join_tick(s, now_ns);
}

/**
 * spread_tick() - do what is due
 * @s: spread
 * @now_ns: time, at or after spread_next_ns()
 */
void spread_tick(struct spread *s, uint64_t now_ns)
{
	peers_tick(s, now_ns);
}

/**
 * spread_next_ns() - when spread_tick() is due
 * @s: spread
 *
 * Return: deadline.
 */
uint64_t spread_next_ns(const struct spread *s)
{
	return s->beat_deadline_ns < s->digest_deadline_ns
		       ? s->beat_deadline_ns
		       : s->digest_deadline_ns;
}

bool spread_is_reader(const struct spread *s)
{
	return s->reader;
}

bool spread_serving(const struct spread *s)
{
	return s->serving;
}
