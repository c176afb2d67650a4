/* Neighbours, periodic digests, and joining after a start. */
#include "spread_internal.h"

#include <stdlib.h>
#include <string.h>

#define NEIGHBOUR_HASH_SEED 0x6e656172ULL

static struct spread_peer *peer_find(struct spread *s, uint64_t vm)
{
	for (uint32_t i = 0; i < s->n_peers; i++)
		if (s->peers[i].vm == vm)
			return &s->peers[i];
	return NULL;
}

static struct spread_peer *peer_find_or_create(struct spread *s, uint64_t vm)
{
	struct spread_peer *p = peer_find(s, vm);

	if (p || s->n_peers == SPREAD_PEERS_MAX)
		return p;
	p = &s->peers[s->n_peers++];
	*p = (struct spread_peer){
		.vm = vm,
		.neighbour_hash = hash_u64(vm, hash_u64(s->conf.self,
							NEIGHBOUR_HASH_SEED)),
	};
	return p;
}

static bool peer_is_silent(const struct spread_peer *p, uint64_t now_ns)
{
	return p->answer_deadline_ns && now_ns >= p->answer_deadline_ns;
}

static bool peer_is_recent(const struct spread_peer *p, uint64_t now_ns)
{
	return now_ns < p->recent_deadline_ns;
}

/* Select the listed peers with the highest hash that answer digests. */
static void select_neighbours(struct spread *s, uint64_t now_ns)
{
	for (uint32_t i = 0; i < s->n_peers; i++)
		s->peers[i].is_neighbour = false;
	for (uint32_t k = 0; k < NEIGHBOURS_MAX; k++) {
		struct spread_peer *best = NULL;

		for (uint32_t i = 0; i < s->n_peers; i++) {
			struct spread_peer *p = &s->peers[i];

			if (!p->listed || p->is_neighbour ||
			    peer_is_silent(p, now_ns))
				continue;
			if (!best || p->neighbour_hash > best->neighbour_hash)
				best = p;
		}
		if (best)
			best->is_neighbour = true;
	}
}

/* Remove peers that are not in the roster and were not heard recently. */
static void remove_stale_peers(struct spread *s, uint64_t now_ns)
{
	uint32_t n = 0;

	for (uint32_t i = 0; i < s->n_peers; i++)
		if (s->peers[i].listed || peer_is_recent(&s->peers[i], now_ns))
			s->peers[n++] = s->peers[i];
	s->n_peers = n;
}

static int compare_vms(const void *a, const void *b)
{
	const struct spread_peer *x = a, *y = b;

	return (x->vm > y->vm) - (x->vm < y->vm);
}

/**
 * spread_set_roster() - set the VMs of the data centre that are not leaving
 * @s: spread
 * @vms: their addresses in any order; this VM may be missing
 * @n: their number; VMs beyond SPREAD_PEERS_MAX are ignored
 * @now_ns: current time
 */
void spread_set_roster(struct spread *s, const uint64_t *vms, uint32_t n,
		       uint64_t now_ns)
{
	for (uint32_t i = 0; i < s->n_peers; i++)
		s->peers[i].listed = false;
	s->n_listed = 0;
	for (uint32_t i = 0; i < n; i++) {
		struct spread_peer *p = NULL;

		if (vms[i] != s->conf.self)
			p = peer_find_or_create(s, vms[i]);
		if (!p)
			continue;
		s->n_listed += !p->listed;
		p->listed = true;
	}
	remove_stale_peers(s, now_ns);
	qsort(s->peers, s->n_peers, sizeof(*s->peers), compare_vms);
	readers_rank(s);
	select_neighbours(s, now_ns);
	if (s->roster_known)
		return;
	s->roster_known = true;
	s->join_deadline_ns = now_ns + JOIN_TIMEOUT_NS;
	s->digest_deadline_ns = now_ns;
}

/**
 * spread_set_platform_state() - set the progress of this VM's reader
 * @s: spread
 * @ok: the platform answered the last call
 * @caught_up: everything that it lists has been read
 * @now_ns: current time
 */
void spread_set_platform_state(struct spread *s, bool ok, bool caught_up,
			       uint64_t now_ns)
{
	(void)now_ns;
	s->platform_ok = ok;
	s->platform_caught_up = caught_up;
}

/* Record that a peer is alive, and the reader that its message names. */
void peers_record_message(struct spread *s, const struct spread_msg *msg,
			  uint64_t now_ns)
{
	struct spread_peer *p = peer_find_or_create(s, msg->from);

	if (!p)
		return;
	s->any_peer_answered = true;
	p->recent_deadline_ns = now_ns + RECENT_PEER_NS;
	p->answer_deadline_ns = 0;
	readers_record_message(s, p, msg, now_ns);
}

/* Offer a version to neighbours and recently heard peers, except to one. */
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

		if (p->vm == except ||
		    !(p->is_neighbour || peer_is_recent(p, now_ns)))
			continue;
		s->counters.offers++;
		s->port.send(s->port.ctx, p->vm, &m);
	}
}

void peers_send_digest(struct spread *s, uint64_t vm, bool wants_reply,
		       uint64_t now_ns)
{
	struct spread_msg m = {
		.kind = SPREAD_DIGEST,
		.from = s->conf.self,
		.store_digest = s->store_digest,
		.wants_reply = wants_reply,
		.bucket = -1,
		.live_reader = s->best_reader,
		.live_reader_age_ms =
			(now_ns - s->best_reader_heard_ns) / NS_PER_MS,
	};

	s->port.send(s->port.ctx, vm, &m);
}

static void request_digest(struct spread *s, struct spread_peer *p,
			   uint64_t now_ns)
{
	if (!p->answer_deadline_ns)
		p->answer_deadline_ns = now_ns + ANSWER_TIMEOUT_NS;
	peers_send_digest(s, p->vm, true, now_ns);
}

static void start_serving(struct spread *s)
{
	s->serving = true;
	for (uint32_t i = 0; i < s->n_records; i++)
		store_put_in_force(s, &s->records[i]);
}

/* A peer has the same store digest; enough of these end the joining. */
void peers_record_agreement(struct spread *s, uint64_t vm, uint64_t now_ns)
{
	uint32_t needed =
		s->n_listed < JOIN_AGREEMENTS ? s->n_listed : JOIN_AGREEMENTS;
	struct spread_peer *p = peer_find(s, vm);
	uint32_t agreed = 0;

	(void)now_ns;
	if (s->serving || !s->roster_known || !p)
		return;
	p->has_same_digest = true;
	for (uint32_t i = 0; i < s->n_peers; i++)
		agreed += s->peers[i].has_same_digest;
	if (agreed >= needed && s->store_digest)
		start_serving(s);
}

/*
 * A VM starts without stored state. The platform's documents may be older than
 * what is in force at its peers, so the peers are asked first. When none
 * answers in time, the platform's documents are put in force. A newer
 * generation that a peer sends later still wins.
 */
static void finish_join_if_due(struct spread *s, uint64_t now_ns)
{
	bool timed_out = s->roster_known && now_ns >= s->join_deadline_ns;

	if (s->serving || !s->roster_known)
		return;
	if (s->n_listed && !timed_out)
		return;
	if (!s->any_peer_answered && !s->platform_caught_up)
		return;
	if (s->n_listed && !s->any_peer_answered)
		s->counters.joined_alone++;
	start_serving(s);
}

static void request_join_digests(struct spread *s, uint64_t now_ns)
{
	uint32_t first = s->n_peers ? rng_next(&s->rng) % s->n_peers : 0;
	uint32_t n =
		s->n_peers < JOIN_PEERS_ASKED ? s->n_peers : JOIN_PEERS_ASKED;

	for (uint32_t i = 0; i < n; i++)
		request_digest(s, &s->peers[(first + i) % s->n_peers], now_ns);
}

static void send_periodic_digest(struct spread *s, uint64_t now_ns)
{
	uint32_t turn;

	select_neighbours(s, now_ns);
	if (!s->n_peers)
		return;
	if (rng_next(&s->rng) % RANDOM_DIGEST_ONE_IN == 0) {
		request_digest(s, &s->peers[rng_next(&s->rng) % s->n_peers],
			       now_ns);
		return;
	}
	turn = s->next_neighbour++ % NEIGHBOURS_MAX;
	for (uint32_t i = 0; i < s->n_peers; i++) {
		if (!s->peers[i].is_neighbour)
			continue;
		if (turn-- == 0)
			request_digest(s, &s->peers[i], now_ns);
	}
}

void peers_tick(struct spread *s, uint64_t now_ns)
{
	if (now_ns >= s->heartbeat_deadline_ns) {
		s->heartbeat_deadline_ns = now_ns + HEARTBEAT_PERIOD_NS;
		readers_tick(s, now_ns);
	}
	if (now_ns >= s->digest_deadline_ns) {
		s->digest_deadline_ns = now_ns + (s->serving ? DIGEST_PERIOD_NS
							     : JOIN_PERIOD_NS);
		if (s->serving)
			send_periodic_digest(s, now_ns);
		else
			request_join_digests(s, now_ns);
	}
	finish_join_if_due(s, now_ns);
}

/**
 * spread_tick() - send due heartbeats and digests, end joining when it is due
 * @s: spread
 * @now_ns: current time, at or after spread_next_ns()
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
	return s->heartbeat_deadline_ns < s->digest_deadline_ns
		       ? s->heartbeat_deadline_ns
		       : s->digest_deadline_ns;
}

/**
 * spread_is_serving() - whether joining has ended and contents are in force
 * @s: spread
 *
 * Return: true from then on.
 */
bool spread_is_serving(const struct spread *s)
{
	return s->serving;
}
