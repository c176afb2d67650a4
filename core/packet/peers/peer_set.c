#include "peer_set.h"

#include <stdlib.h>
#include <string.h>

/* A VM without a sign of life for three heartbeats and some slack is not
 * live. */
#define LIVE_NS (700 * NS_PER_MS)
/* Until then a heartbeat is tried now and then: a partition may heal. */
#define FORGET_NS (60 * NS_PER_S)
/* Older reports of third VMs are not relayed: dead VMs would circulate
 * forever. */
#define GOSSIP_MAX_MS 1500
/* Heartbeats of a round: to VMs of this data centre, and of others. */
#define LOCAL_MAX 8
#define REMOTE_MAX 2
/* VMs of other data centres that are kept: enough that some are live, few
 * enough that all of this data centre fit into the table. */
#define REMOTE_KEPT_MAX 64
/* One seed is tried every so many rounds although other VMs are known: a VM
 * that knows only its side of a partition would never notice that it healed. */
#define SEED_ROUNDS 5
/* Heartbeat interval and its duration for a VM that is alone or has no
 * documents, and so cannot serve. One that stays alone is partitioned, and
 * falls back to the regular interval. */
#define ALONE_PERIOD_NS (20 * NS_PER_MS)
#define ALONE_DURATION_NS (2 * NS_PER_S)
/*
 * Such a VM sends to the seeds at increasing intervals, up to the maximum: if
 * hundreds of VMs that start together did so every 20 ms, three seeds would
 * have no time to read the platform. The interval is this part of the time
 * passed.
 */
#define SEEDS_PART 4
#define SEEDS_PERIOD_MAX_NS (100 * NS_PER_MS)
/* A VM receives ten heartbeats a second from other data centres, or two where
 * there are few VMs. Without any for this long its data centre is
 * partitioned from the others. */
#define REMOTE_HELLO_NS NS_PER_S
#define RANK_SEED 0x72616e6bULL
/* A failure of the platform is advertised for this long. */
#define FAILURE_ADVERTISED_NS (10 * NS_PER_S)

/*
 * @next_ns is the time of the next round of heartbeats, @alone_ns when this VM
 * became alone or without documents, 0 when it is neither, @seeds_ns the
 * earliest time of the next heartbeat to the seeds, @remote_ns the time of the
 * last heartbeat from another data centre, @failed_ns of the last known failure
 * of the platform.
 */
struct peer_set {
	struct peer_set_conf conf;
	struct rng rng;
	struct peer_vm *peers;
	uint32_t n;
	uint64_t next_ns;
	uint64_t alone_ns;
	uint64_t seeds_ns;
	uint32_t round;
	struct read_claims claims;
	uint64_t remote_ns;
	uint64_t failed_ns;
};

/**
 * peer_set_new() - create a set without peers
 * @conf: configuration; copied
 * @rng: random source
 *
 * Return: set, freed by peer_set_free(); NULL when memory is exhausted.
 */
struct peer_set *peer_set_new(const struct peer_set_conf *conf, struct rng rng)
{
	struct peer_set *set = calloc(1, sizeof(*set));

	if (!set)
		return NULL;
	set->conf = *conf;
	set->rng = rng;
	set->peers = calloc(PEERS_MAX, sizeof(*set->peers));
	if (set->peers)
		return set;
	free(set);
	return NULL;
}

void peer_set_free(struct peer_set *set)
{
	if (!set)
		return;
	for (uint32_t i = 0; i < set->n; i++)
		free(set->peers[i].loads);
	free(set->peers);
	free(set);
}

/**
 * peer_set_set_seeds() - replace the seeds
 * @set: peers
 * @seeds: addresses for peers; copied
 * @n: number of @seeds; those that struct peer_set_conf cannot hold are ignored
 */
void peer_set_set_seeds(struct peer_set *set, const uint64_t *seeds, uint32_t n)
{
	uint32_t most = sizeof(set->conf.seeds) / sizeof(set->conf.seeds[0]);

	set->conf.n_seeds = n < most ? n : most;
	memcpy(set->conf.seeds, seeds, set->conf.n_seeds * sizeof(*seeds));
}

static struct peer_vm *find(const struct peer_set *set, uint64_t addr)
{
	for (uint32_t i = 0; i < set->n; i++)
		if (set->peers[i].addr == addr)
			return &set->peers[i];
	return NULL;
}

static uint32_t count_remote(const struct peer_set *set)
{
	uint32_t remote = 0;

	for (uint32_t i = 0; i < set->n; i++)
		remote += set->peers[i].zone != set->conf.zone;
	return remote;
}

static struct peer_vm *add(struct peer_set *set, uint64_t addr, uint32_t zone)
{
	struct peer_vm *p = find(set, addr);

	if (p || addr == set->conf.self || set->n == PEERS_MAX)
		return p;
	if (zone != set->conf.zone && count_remote(set) >= REMOTE_KEPT_MAX)
		return NULL;
	p = &set->peers[set->n++];
	*p = (struct peer_vm){ .addr = addr, .zone = zone };
	return p;
}

static bool is_live(const struct peer_vm *p, uint64_t now_ns)
{
	return p->seen_ns && p->seen_ns + LIVE_NS > now_ns;
}

static uint64_t time_of_age(uint64_t now_ns, uint64_t age_ms)
{
	uint64_t age_ns = age_ms * NS_PER_MS;

	return age_ns < now_ns ? now_ns - age_ns : 1;
}

static void receive_gossip(struct peer_set *set,
			   const struct hello_peer *gossip, uint64_t now_ns)
{
	uint64_t seen_ns = time_of_age(now_ns, gossip->age_ms);
	struct peer_vm *p = add(set, gossip->addr, gossip->zone);

	if (p && seen_ns > p->seen_ns)
		p->seen_ns = seen_ns;
}

/* When memory is exhausted the peer counts as idle: placement gets worse. */
static void store_loads(struct peer_vm *p, const struct hello *hello)
{
	if (!p->loads)
		p->loads = malloc(HELLO_LOADS_MAX * sizeof(*p->loads));
	p->n_loads = p->loads ? hello->n_loads : 0;
	if (p->n_loads)
		memcpy(p->loads, hello->loads,
		       p->n_loads * sizeof(*hello->loads));
}

static void receive_claims(struct peer_set *set, const struct hello *hello,
			   uint64_t now_ns)
{
	for (uint32_t i = 0; i < hello->n_claims; i++) {
		const struct hello_claim *k = &hello->claims[i];
		struct read_claim c = { k->zone, k->reader, k->position, k->seq,
					time_of_age(now_ns, k->age_ms) };

		read_claims_merge(&set->claims, &c);
	}
}

/**
 * peer_set_receive() - process the heartbeat of a peer
 * @set: peers
 * @hello: heartbeat
 * @now_ns: current time
 *
 * Return: true when the newest position of the peer has advanced.
 */
bool peer_set_receive(struct peer_set *set, const struct hello *hello,
		      uint64_t now_ns)
{
	struct peer_vm *p = add(set, hello->from, hello->zone);
	uint64_t failed_ns;
	bool newer;

	if (!p)
		return false;
	newer = position_after(hello->newest, p->newest);
	p->zone = hello->zone;
	p->boot = hello->boot;
	p->seen_ns = p->hello_ns = now_ns;
	p->leaving = hello->leaving;
	p->newest = hello->newest;
	p->retained_digest = hello->retained_digest;
	if (hello->zone != set->conf.zone)
		set->remote_ns = now_ns;
	if (hello->has_loads)
		store_loads(p, hello);
	p->n_failing = hello->n_failing;
	memcpy(p->failing, hello->failing, sizeof(p->failing));
	for (uint32_t i = 0; i < hello->n_peers; i++)
		if (hello->peers[i].age_ms <= GOSSIP_MAX_MS)
			receive_gossip(set, &hello->peers[i], now_ns);
	receive_claims(set, hello, now_ns);
	failed_ns = time_of_age(now_ns, hello->platform_failed_age_ms);
	if (hello->platform_failed_age_ms != UINT32_MAX &&
	    failed_ns > set->failed_ns)
		set->failed_ns = failed_ns;
	return newer;
}

static uint32_t add_address(uint64_t *to, uint32_t n, uint32_t to_max,
			    uint64_t addr)
{
	for (uint32_t i = 0; i < n; i++)
		if (to[i] == addr)
			return n;
	if (n < to_max)
		to[n++] = addr;
	return n;
}

/* Adds up to @most live VMs of this data centre or of others, from a random
 * one on. */
static uint32_t add_random_live(struct peer_set *set, bool local, uint32_t most,
				uint64_t now_ns, uint64_t *to, uint32_t n,
				uint32_t to_max)
{
	uint32_t from = set->n ? (uint32_t)(rng_next(&set->rng) % set->n) : 0;
	uint32_t taken = 0;

	for (uint32_t i = 0; i < set->n && taken < most; i++) {
		const struct peer_vm *p = &set->peers[(from + i) % set->n];

		if ((p->zone == set->conf.zone) != local || !is_live(p, now_ns))
			continue;
		n = add_address(to, n, to_max, p->addr);
		taken++;
	}
	return n;
}

/**
 * peer_set_sample() - select random live peers for a round of heartbeats
 * @set: peers; its random source advances
 * @now_ns: current time
 * @to: filled with addresses for peers
 * @to_max: number of elements of @to
 *
 * Return: number of addresses.
 */
uint32_t peer_set_sample(struct peer_set *set, uint64_t now_ns, uint64_t *to,
			 uint32_t to_max)
{
	uint32_t n =
		add_random_live(set, true, LOCAL_MAX, now_ns, to, 0, to_max);

	return add_random_live(set, false, REMOTE_MAX, now_ns, to, n, to_max);
}

static uint32_t add_seeds(const struct peer_set *set, uint64_t *to, uint32_t n,
			  uint32_t to_max)
{
	for (uint32_t i = 0; i < set->conf.n_seeds; i++)
		if (set->conf.seeds[i] != set->conf.self)
			n = add_address(to, n, to_max, set->conf.seeds[i]);
	return n;
}

/* Adds a random VM if it is not live, and a random seed, so that a healed
 * partition is noticed. */
static uint32_t add_lost_and_seed(struct peer_set *set, uint64_t now_ns,
				  uint64_t *to, uint32_t n, uint32_t to_max)
{
	const struct peer_vm *p =
		set->n ? &set->peers[rng_next(&set->rng) % set->n] : NULL;
	uint64_t seed;

	if (p && !is_live(p, now_ns))
		n = add_address(to, n, to_max, p->addr);
	if (!set->conf.n_seeds)
		return n;
	seed = set->conf.seeds[rng_next(&set->rng) % set->conf.n_seeds];
	if (seed != set->conf.self)
		n = add_address(to, n, to_max, seed);
	return n;
}

static void remove_forgotten(struct peer_set *set, uint64_t now_ns)
{
	for (uint32_t i = set->n; i-- > 0;)
		if (set->peers[i].seen_ns + FORGET_NS < now_ns) {
			free(set->peers[i].loads);
			set->peers[i] = set->peers[--set->n];
		}
}

/* Updates @alone_ns; returns whether heartbeats are sent at the short
 * interval. */
static bool update_alone(struct peer_set *set, bool settled, uint64_t now_ns)
{
	if (settled)
		set->alone_ns = 0;
	else if (!set->alone_ns)
		set->alone_ns = now_ns;
	return set->alone_ns && now_ns < set->alone_ns + ALONE_DURATION_NS;
}

static bool take_seeds_due(struct peer_set *set, uint64_t now_ns)
{
	uint64_t period_ns = (now_ns - set->alone_ns) / SEEDS_PART;

	if (now_ns < set->seeds_ns)
		return false;
	if (period_ns > SEEDS_PERIOD_MAX_NS)
		period_ns = SEEDS_PERIOD_MAX_NS;
	set->seeds_ns = now_ns + period_ns;
	return true;
}

/**
 * peer_set_take_due() - addresses that a heartbeat is due to, and schedule the
 *	next round
 * @set: peers; those not seen for FORGET_NS are removed
 * @no_documents: this entry has no documents yet
 * @now_ns: current time
 * @to: filled with addresses for peers
 * @to_max: number of elements of @to
 *
 * Return: number of addresses; 0 when no heartbeat is due.
 */
uint32_t peer_set_take_due(struct peer_set *set, bool no_documents,
			   uint64_t now_ns, uint64_t *to, uint32_t to_max)
{
	uint32_t n;

	if (now_ns < set->next_ns)
		return 0;
	remove_forgotten(set, now_ns);
	n = peer_set_sample(set, now_ns, to, to_max);
	if (update_alone(set, n && !no_documents, now_ns)) {
		set->next_ns = now_ns + ALONE_PERIOD_NS;
		return take_seeds_due(set, now_ns)
			       ? add_seeds(set, to, n, to_max)
			       : n;
	}
	set->next_ns = now_ns + set->conf.period_ns;
	if (!n || no_documents || set->round++ % SEED_ROUNDS == 0)
		n = add_lost_and_seed(set, now_ns, to, n, to_max);
	return n;
}

/**
 * peer_set_expedite() - bring the next round of heartbeats forward
 * @set: peers
 * @next_ns: its latest time
 */
void peer_set_expedite(struct peer_set *set, uint64_t next_ns)
{
	if (set->next_ns > next_ns)
		set->next_ns = next_ns;
}

static uint32_t age_ms(uint64_t now_ns, uint64_t then_ns)
{
	uint64_t ms = now_ns > then_ns ? (now_ns - then_ns) / NS_PER_MS : 0;

	return ms < UINT32_MAX ? (uint32_t)ms : UINT32_MAX - 1;
}

static void fill_claims(const struct peer_set *set, struct hello *hello,
			uint64_t now_ns)
{
	struct read_claim c[HELLO_CLAIMS_MAX];
	uint32_t n = read_claims_select(&set->claims, set->conf.zone, c,
					HELLO_CLAIMS_MAX);

	for (uint32_t i = 0; i < n; i++)
		hello->claims[hello->n_claims++] =
			(struct hello_claim){ c[i].zone, c[i].reader,
					      c[i].position, c[i].seq,
					      age_ms(now_ns, c[i].contact_ns) };
}

/**
 * peer_set_fill_hello() - put the sender, peers, claims and a failure of the
 *	platform into a heartbeat
 * @set: peers; its random source advances
 * @hello: heartbeat
 * @now_ns: current time
 */
void peer_set_fill_hello(struct peer_set *set, struct hello *hello,
			 uint64_t now_ns)
{
	uint32_t from = set->n ? (uint32_t)(rng_next(&set->rng) % set->n) : 0;

	hello->from = set->conf.self;
	hello->zone = set->conf.zone;
	hello->boot = set->conf.boot;
	fill_claims(set, hello, now_ns);
	hello->platform_failed_age_ms = UINT32_MAX;
	if (set->failed_ns && set->failed_ns + FAILURE_ADVERTISED_NS > now_ns)
		hello->platform_failed_age_ms = age_ms(now_ns, set->failed_ns);
	for (uint32_t i = 0; i < set->n && hello->n_peers < HELLO_PEERS_MAX;
	     i++) {
		const struct peer_vm *p = &set->peers[(from + i) % set->n];

		if (!is_live(p, now_ns))
			continue;
		hello->peers[hello->n_peers++] =
			(struct hello_peer){ p->addr, p->zone,
					     age_ms(now_ns, p->seen_ns) };
	}
	hello->reply = peer_set_count_live(set, now_ns) < 2;
}

/**
 * peer_set_note_contact() - record that the platform answered this VM
 * @set: peers
 * @position: position of the platform; revision 0 when the answer had none
 * @now_ns: current time
 */
void peer_set_note_contact(struct peer_set *set, struct position position,
			   uint64_t now_ns)
{
	read_claims_renew(&set->claims, set->conf.zone, set->conf.self,
			  position, now_ns);
}

/**
 * peer_set_note_platform_failure() - record a failure of the platform
 * @set: peers
 * @contact_ns: the claim of this VM is set back to this contact, so that the VM
 *	next in rank reads soon
 * @now_ns: current time
 *
 * A failure is a failed call, or an answer of a new epoch.
 */
void peer_set_note_platform_failure(struct peer_set *set, uint64_t contact_ns,
				    uint64_t now_ns)
{
	set->failed_ns = now_ns;
	read_claims_withdraw(&set->claims, set->conf.zone, set->conf.self,
			     contact_ns);
}

uint64_t peer_set_platform_failed_ns(const struct peer_set *set)
{
	return set->failed_ns;
}

/*
 * Time without a sign of life after which a VM of this data centre counts as
 * lost. The more VMs there are, the less often each is heard from. With a fixed
 * time each VM would at times count most others as lost, rank itself first and
 * read the platform.
 */
static uint64_t lost_after_ns(const struct peer_set *set)
{
	uint32_t local = set->n - count_remote(set);

	return LIVE_NS * (1 + local / LOCAL_MAX);
}

/**
 * peer_set_others_contact_ns() - when the platform last answered another reader
 *	of this data centre
 * @set: peers
 * @now_ns: current time
 *
 * Return: time in nanoseconds; 0 for never, and when that reader is leaving or
 * lost, or is this VM.
 */
uint64_t peer_set_others_contact_ns(const struct peer_set *set, uint64_t now_ns)
{
	const struct read_claim *c =
		read_claims_get(&set->claims, set->conf.zone);
	const struct peer_vm *p = c ? find(set, c->reader) : NULL;

	if (!c || c->reader == set->conf.self ||
	    (p && (p->leaving || p->seen_ns + lost_after_ns(set) <= now_ns)))
		return 0;
	return c->contact_ns;
}

/**
 * peer_set_last_contact_ns() - when the platform last answered any known reader
 * @set: peers
 *
 * Return: time in nanoseconds; 0 for never.
 */
uint64_t peer_set_last_contact_ns(const struct peer_set *set)
{
	return read_claims_last_contact_ns(&set->claims);
}

/**
 * peer_set_readers_before() - number of data centres with a reader that precede
 *	this one
 * @set: peers
 * @since_ns: a data centre whose last contact is not later has no reader
 * @now_ns: current time
 *
 * Return: number of data centres; 0 when no heartbeat came from another data
 * centre recently, since what they read does not arrive here then.
 */
uint32_t peer_set_readers_before(const struct peer_set *set, uint64_t since_ns,
				 uint64_t now_ns)
{
	if (set->remote_ns + REMOTE_HELLO_NS < now_ns)
		return 0;
	return read_claims_readers_before(&set->claims, set->conf.zone,
					  since_ns);
}

/**
 * peer_set_reader_rank() - rank of this VM among the readers of its data centre
 * @set: peers
 * @now_ns: current time
 *
 * Return: number of VMs that are not lost and precede this one; 0 for the one
 * that should read the platform.
 */
uint32_t peer_set_reader_rank(const struct peer_set *set, uint64_t now_ns)
{
	uint64_t mine = hash_u64(set->conf.self, RANK_SEED);
	uint64_t lost_ns = lost_after_ns(set);
	uint32_t rank = 0;

	for (uint32_t i = 0; i < set->n; i++) {
		const struct peer_vm *p = &set->peers[i];

		if (p->zone == set->conf.zone && p->hello_ns && !p->leaving &&
		    hash_u64(p->addr, RANK_SEED) < mine &&
		    p->seen_ns + lost_ns > now_ns)
			rank++;
	}
	return rank;
}

/**
 * peer_set_rendezvous_rank() - rank of this VM in its data centre for a key, by
 *	rendezvous hashing
 * @set: peers
 * @key: key, such as the id of a target
 *
 * VMs lost recently count, so that both sides of a partition see the same
 * ranks.
 *
 * Return: number of VMs that precede this one for @key.
 */
uint32_t peer_set_rendezvous_rank(const struct peer_set *set, uint64_t key)
{
	uint64_t mine = hash_u64(set->conf.self, key);
	uint32_t before = 0;

	for (uint32_t i = 0; i < set->n; i++)
		before += set->peers[i].zone == set->conf.zone &&
			  hash_u64(set->peers[i].addr, key) < mine;
	return before;
}

/**
 * peer_set_is_alone() - whether no peer is known although there are seeds
 * @set: peers
 *
 * Return: true when there is a seed other than this VM, and no peer is known.
 */
bool peer_set_is_alone(const struct peer_set *set)
{
	if (set->n)
		return false;
	for (uint32_t i = 0; i < set->conf.n_seeds; i++)
		if (set->conf.seeds[i] != set->conf.self)
			return true;
	return false;
}

/* Entries that retain different documents fetch from each other once, not
 * without end. */
static bool is_ahead(const struct peer_vm *p, const struct sync_state *own)
{
	if (position_after(p->newest, own->newest))
		return true;
	return p->newest.epoch == own->newest.epoch && p->retained_digest &&
	       p->retained_digest != own->retained_digest &&
	       p->retained_digest != own->fetched_digest;
}

/**
 * peer_set_find_ahead_of() - find a peer with newer documents to fetch from
 * @set: peers; its random source advances
 * @own: documents of this entry
 * @now_ns: current time
 *
 * Return: a live peer with a newer position, or with retained documents that
 * differ, of this data centre if there is one; NULL when there is none. Owned
 * by @set.
 */
const struct peer_vm *peer_set_find_ahead_of(struct peer_set *set,
					     const struct sync_state *own,
					     uint64_t now_ns)
{
	uint32_t from = set->n ? (uint32_t)(rng_next(&set->rng) % set->n) : 0;
	const struct peer_vm *remote = NULL;

	for (uint32_t i = 0; i < set->n; i++) {
		const struct peer_vm *p = &set->peers[(from + i) % set->n];

		if (!is_live(p, now_ns) || !is_ahead(p, own))
			continue;
		if (p->zone == set->conf.zone)
			return p;
		remote = p;
	}
	return remote;
}

uint32_t peer_set_count_live(const struct peer_set *set, uint64_t now_ns)
{
	uint32_t n = 0;

	for (uint32_t i = 0; i < set->n; i++)
		n += is_live(&set->peers[i], now_ns);
	return n;
}

uint32_t peer_set_count(const struct peer_set *set)
{
	return set->n;
}

const struct peer_vm *peer_set_at(const struct peer_set *set, uint32_t i)
{
	return i < set->n ? &set->peers[i] : NULL;
}
