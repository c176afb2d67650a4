/* Neighbours, digests to them, and joining without memory. */
#include "spread_internal.h"

#include <stdlib.h>
#include <string.h>

#define NEAR_SEED 0x6e656172ULL

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
	readers_rank(s);
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
	readers_heard(s, p, msg, now_ns);
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

/* Do what is due: heartbeats, digests, the end of joining. */
void peers_tick(struct spread *s, uint64_t now_ns)
{
	if (now_ns >= s->beat_deadline_ns) {
		s->beat_deadline_ns = now_ns + BEAT_PERIOD_NS;
		readers_tick(s, now_ns);
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

bool spread_serving(const struct spread *s)
{
	return s->serving;
}
