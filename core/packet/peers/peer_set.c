#include "peer_set.h"

#include <stdlib.h>
#include <string.h>

/* A VM not heard of for three heartbeats and a little is not counted on. */
#define LIVE_NS (700 * NS_PER_MS)
/* Until then somebody looks for it now and then: a partition may heal. */
#define FORGET_NS (60 * NS_PER_S)
/* Who heard of it longer ago does not pass it on: the dead would go round. */
#define GOSSIP_MAX_MS 1500
/* Heartbeats a round: neighbours of the data centre, and of any. */
#define NEAR_MAX 8
#define FAR_MAX 2
/* Peers of other data centres that are kept: enough that some live, few enough
 * that those of the own one always have room. */
#define FAR_KEPT 64
/* A seed is tried once in so many rounds though others are known: a VM that
 * only knows its own side of a partition would never see it heal. */
#define SEED_ROUNDS 5
/* Until anybody answered and told what is published: a VM is of no use before.
 * Who stays alone is cut off, and asks no more often than others do. */
#define ALONE_PERIOD_NS (20 * NS_PER_MS)
#define ALONE_HURRY_NS (2 * NS_PER_S)
/*
 * The seeds after the first rounds less and less, up to ten times a second:
 * hundreds of VMs that start together would leave three seeds no time to read
 * the platform.
 */
#define SEEDS_PART 4
#define SEEDS_PERIOD_MAX_NS (100 * NS_PER_MS)
/* A VM hears ten heartbeats a second from elsewhere, two where there are few:
 * with none for so long its data centre is cut off. */
#define FAR_HEARD_NS NS_PER_S
#define RANK_SEED 0x72616e6bULL
/* Trouble of the platform is told for this long. */
#define TROUBLE_TOLD_NS (10 * NS_PER_S)

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
	uint64_t far_ns;
	uint64_t trouble_ns;
};

/**
 * peer_set_new() - nobody known yet
 * @conf: settings
 * @rng: random source
 *
 * Return: set, or NULL without memory.
 */
struct peer_set *peer_set_new(const struct peer_set_conf *conf, struct rng rng)
{
	struct peer_set *f = calloc(1, sizeof(*f));

	if (!f)
		return NULL;
	f->conf = *conf;
	f->rng = rng;
	f->peers = calloc(PEERS_MAX, sizeof(*f->peers));
	if (f->peers)
		return f;
	free(f);
	return NULL;
}

void peer_set_free(struct peer_set *f)
{
	if (!f)
		return;
	for (uint32_t i = 0; i < f->n; i++)
		free(f->peers[i].loads);
	free(f->peers);
	free(f);
}

/**
 * peer_set_seeds() - take a changed list of seeds
 * @f: set
 * @seeds: addresses
 * @n: how many
 */
void peer_set_seeds(struct peer_set *f, const uint64_t *seeds, uint32_t n)
{
	uint32_t most = sizeof(f->conf.seeds) / sizeof(f->conf.seeds[0]);

	f->conf.n_seeds = n < most ? n : most;
	memcpy(f->conf.seeds, seeds, f->conf.n_seeds * sizeof(*seeds));
}

static struct peer_vm *find(const struct peer_set *f, uint64_t addr)
{
	for (uint32_t i = 0; i < f->n; i++)
		if (f->peers[i].addr == addr)
			return &f->peers[i];
	return NULL;
}

static uint32_t count_far(const struct peer_set *f)
{
	uint32_t far = 0;

	for (uint32_t i = 0; i < f->n; i++)
		far += f->peers[i].zone != f->conf.zone;
	return far;
}

static struct peer_vm *add(struct peer_set *f, uint64_t addr, uint32_t zone)
{
	struct peer_vm *p = find(f, addr);

	if (p || addr == f->conf.self || f->n == PEERS_MAX)
		return p;
	if (zone != f->conf.zone && count_far(f) >= FAR_KEPT)
		return NULL;
	p = &f->peers[f->n++];
	*p = (struct peer_vm){ .addr = addr, .zone = zone };
	return p;
}

static bool live(const struct peer_vm *p, uint64_t now_ns)
{
	return p->heard_ns && p->heard_ns + LIVE_NS > now_ns;
}

static uint64_t ago(uint64_t now_ns, uint64_t age_ms)
{
	uint64_t age_ns = age_ms * NS_PER_MS;

	return age_ns < now_ns ? now_ns - age_ns : 1;
}

static void hear_of(struct peer_set *f, const struct hello_peer *h,
		    uint64_t now_ns)
{
	uint64_t heard_ns = ago(now_ns, h->age_ms);
	struct peer_vm *p = add(f, h->addr, h->zone);

	if (p && heard_ns > p->heard_ns)
		p->heard_ns = heard_ns;
}

/* Without memory the peer counts as idle: placement is worse, no more. */
static void keep_loads(struct peer_vm *p, const struct hello *h)
{
	if (!p->loads)
		p->loads = malloc(HELLO_LOADS_MAX * sizeof(*p->loads));
	p->n_loads = p->loads ? h->n_loads : 0;
	if (p->n_loads)
		memcpy(p->loads, h->loads, p->n_loads * sizeof(*h->loads));
}

static void hear_claims(struct peer_set *f, const struct hello *h,
			uint64_t now_ns)
{
	for (uint32_t i = 0; i < h->n_claims; i++) {
		const struct hello_claim *k = &h->claims[i];
		struct read_claim c = { k->zone, k->by, k->at, k->number,
					ago(now_ns, k->age_ms) };

		read_claims_merge(&f->claims, &c);
	}
}

/**
 * peer_set_hear() - take a peer's heartbeat
 * @f: set
 * @h: heartbeat
 * @now_ns: time
 *
 * Return: whether it knows something newer than it did before.
 */
bool peer_set_hear(struct peer_set *f, const struct hello *h, uint64_t now_ns)
{
	struct peer_vm *p = add(f, h->from, h->zone);
	uint64_t trouble_ns;
	bool newer;

	if (!p)
		return false;
	newer = position_after(h->newest, p->newest);
	p->zone = h->zone;
	p->boot = h->boot;
	p->heard_ns = p->direct_ns = now_ns;
	p->leaving = h->leaving;
	p->newest = h->newest;
	p->carried = h->carried;
	if (h->zone != f->conf.zone)
		f->far_ns = now_ns;
	if (h->has_loads)
		keep_loads(p, h);
	p->n_failing = h->n_failing;
	memcpy(p->failing, h->failing, sizeof(p->failing));
	for (uint32_t i = 0; i < h->n_peers; i++)
		if (h->peers[i].age_ms <= GOSSIP_MAX_MS)
			hear_of(f, &h->peers[i], now_ns);
	hear_claims(f, h, now_ns);
	trouble_ns = ago(now_ns, h->trouble_age_ms);
	if (h->trouble_age_ms != UINT32_MAX && trouble_ns > f->trouble_ns)
		f->trouble_ns = trouble_ns;
	return newer;
}

static uint32_t put(uint64_t *to, uint32_t n, uint32_t to_max, uint64_t addr)
{
	for (uint32_t i = 0; i < n; i++)
		if (to[i] == addr)
			return n;
	if (n < to_max)
		to[n++] = addr;
	return n;
}

/* Up to @most live VMs of this data centre or of others, from a random one. */
static uint32_t some(struct peer_set *f, bool near, uint32_t most,
		     uint64_t now_ns, uint64_t *to, uint32_t n, uint32_t to_max)
{
	uint32_t from = f->n ? (uint32_t)(rng_next(&f->rng) % f->n) : 0;
	uint32_t taken = 0;

	for (uint32_t i = 0; i < f->n && taken < most; i++) {
		const struct peer_vm *p = &f->peers[(from + i) % f->n];

		if ((p->zone == f->conf.zone) != near || !live(p, now_ns))
			continue;
		n = put(to, n, to_max, p->addr);
		taken++;
	}
	return n;
}

/**
 * peer_set_neighbours() - whom to tell urgent news
 * @f: set
 * @now_ns: time
 * @to: filled with addresses
 * @to_max: room in @to
 *
 * Return: how many.
 */
uint32_t peer_set_neighbours(struct peer_set *f, uint64_t now_ns, uint64_t *to,
			     uint32_t to_max)
{
	uint32_t n = some(f, true, NEAR_MAX, now_ns, to, 0, to_max);

	return some(f, false, FAR_MAX, now_ns, to, n, to_max);
}

static uint32_t put_seeds(const struct peer_set *f, uint64_t *to, uint32_t n,
			  uint32_t to_max)
{
	for (uint32_t i = 0; i < f->conf.n_seeds; i++)
		if (f->conf.seeds[i] != f->conf.self)
			n = put(to, n, to_max, f->conf.seeds[i]);
	return n;
}

/* Somebody not heard of lately, and a seed: partitions heal through these. */
static uint32_t lost(struct peer_set *f, uint64_t now_ns, uint64_t *to,
		     uint32_t n, uint32_t to_max)
{
	const struct peer_vm *p =
		f->n ? &f->peers[rng_next(&f->rng) % f->n] : NULL;
	uint64_t seed;

	if (p && !live(p, now_ns))
		n = put(to, n, to_max, p->addr);
	if (!f->conf.n_seeds)
		return n;
	seed = f->conf.seeds[rng_next(&f->rng) % f->conf.n_seeds];
	if (seed != f->conf.self)
		n = put(to, n, to_max, seed);
	return n;
}

static void drop_old(struct peer_set *f, uint64_t now_ns)
{
	for (uint32_t i = f->n; i-- > 0;)
		if (f->peers[i].heard_ns + FORGET_NS < now_ns) {
			free(f->peers[i].loads);
			f->peers[i] = f->peers[--f->n];
		}
}

/* Whether this VM, which is alone or knows nothing, is in a hurry. */
static bool hurries(struct peer_set *f, bool settled, uint64_t now_ns)
{
	if (settled)
		f->alone_ns = 0;
	else if (!f->alone_ns)
		f->alone_ns = now_ns;
	return f->alone_ns && now_ns < f->alone_ns + ALONE_HURRY_NS;
}

static bool seeds_due(struct peer_set *f, uint64_t now_ns)
{
	uint64_t period_ns = (now_ns - f->alone_ns) / SEEDS_PART;

	if (now_ns < f->seeds_ns)
		return false;
	if (period_ns > SEEDS_PERIOD_MAX_NS)
		period_ns = SEEDS_PERIOD_MAX_NS;
	f->seeds_ns = now_ns + period_ns;
	return true;
}

/**
 * peer_set_due() - whom a heartbeat is due to
 * @f: set
 * @young: nothing is known yet of what is published
 * @now_ns: time
 * @to: filled with addresses
 * @to_max: room in @to
 *
 * Return: how many; 0 when none is due yet.
 */
uint32_t peer_set_due(struct peer_set *f, bool young, uint64_t now_ns,
		      uint64_t *to, uint32_t to_max)
{
	uint32_t n;

	if (now_ns < f->next_ns)
		return 0;
	drop_old(f, now_ns);
	n = peer_set_neighbours(f, now_ns, to, to_max);
	if (hurries(f, n && !young, now_ns)) {
		f->next_ns = now_ns + ALONE_PERIOD_NS;
		return seeds_due(f, now_ns) ? put_seeds(f, to, n, to_max) : n;
	}
	f->next_ns = now_ns + f->conf.period_ns;
	if (!n || young || f->round++ % SEED_ROUNDS == 0)
		n = lost(f, now_ns, to, n, to_max);
	return n;
}

/**
 * peer_set_hurry() - the next heartbeat is due earlier
 * @f: set
 * @next_ns: at this time, if it was later
 */
void peer_set_hurry(struct peer_set *f, uint64_t next_ns)
{
	if (f->next_ns > next_ns)
		f->next_ns = next_ns;
}

static uint32_t age_ms(uint64_t now_ns, uint64_t then_ns)
{
	uint64_t ms = now_ns > then_ns ? (now_ns - then_ns) / NS_PER_MS : 0;

	return ms < UINT32_MAX ? (uint32_t)ms : UINT32_MAX - 1;
}

static void fill_claims(const struct peer_set *f, struct hello *h,
			uint64_t now_ns)
{
	struct read_claim c[HELLO_CLAIMS_MAX];
	uint32_t n = read_claims_select(&f->claims, f->conf.zone, c,
					HELLO_CLAIMS_MAX);

	for (uint32_t i = 0; i < n; i++)
		h->claims[h->n_claims++] =
			(struct hello_claim){ c[i].zone, c[i].reader,
					      c[i].position, c[i].seq,
					      age_ms(now_ns, c[i].contact_ns) };
}

/**
 * peer_set_fill() - fill what is known of the others into a heartbeat
 * @f: set
 * @h: heartbeat
 * @now_ns: time
 */
void peer_set_fill(struct peer_set *f, struct hello *h, uint64_t now_ns)
{
	uint32_t from = f->n ? (uint32_t)(rng_next(&f->rng) % f->n) : 0;

	h->from = f->conf.self;
	h->zone = f->conf.zone;
	h->boot = f->conf.boot;
	fill_claims(f, h, now_ns);
	h->trouble_age_ms = UINT32_MAX;
	if (f->trouble_ns && f->trouble_ns + TROUBLE_TOLD_NS > now_ns)
		h->trouble_age_ms = age_ms(now_ns, f->trouble_ns);
	for (uint32_t i = 0; i < f->n && h->n_peers < HELLO_PEERS_MAX; i++) {
		const struct peer_vm *p = &f->peers[(from + i) % f->n];

		if (!live(p, now_ns))
			continue;
		h->peers[h->n_peers++] =
			(struct hello_peer){ p->addr, p->zone,
					     age_ms(now_ns, p->heard_ns) };
	}
	h->reply = peer_set_live(f, now_ns) < 2;
}

/**
 * peer_set_contact() - the platform answered this VM
 * @f: set
 * @at: position of the platform; of revision 0 when the answer told none
 * @now_ns: time
 */
void peer_set_contact(struct peer_set *f, struct position at, uint64_t now_ns)
{
	read_claims_renew(&f->claims, f->conf.zone, f->conf.self, at, now_ns);
}

/**
 * peer_set_trouble() - this VM found the platform in trouble
 * @f: set
 * @contact_ns: no later contact is claimed from now on, so that the next VM
 *	in rank tries soon
 * @now_ns: time
 */
void peer_set_trouble(struct peer_set *f, uint64_t contact_ns, uint64_t now_ns)
{
	f->trouble_ns = now_ns;
	read_claims_withdraw(&f->claims, f->conf.zone, f->conf.self,
			     contact_ns);
}

uint64_t peer_set_trouble_ns(const struct peer_set *f)
{
	return f->trouble_ns;
}

/*
 * After which silence a VM of this data centre is taken for lost. Among many a
 * VM is heard of less often: with the same time for all, each would take most
 * others for lost at times, think itself first in rank, and read the platform.
 */
static uint64_t silence_ns(const struct peer_set *f)
{
	uint32_t near = f->n - count_far(f);

	return LIVE_NS * (1 + near / NEAR_MAX);
}

/**
 * peer_set_others_contact_ns() - when the platform last answered another VM of
 *	this data centre that goes on reading
 * @f: set
 * @now_ns: time
 *
 * Return: time, 0 for never.
 */
uint64_t peer_set_others_contact_ns(const struct peer_set *f, uint64_t now_ns)
{
	const struct read_claim *c = read_claims_get(&f->claims, f->conf.zone);
	const struct peer_vm *p = c ? find(f, c->reader) : NULL;

	if (!c || c->reader == f->conf.self ||
	    (p && (p->leaving || p->heard_ns + silence_ns(f) <= now_ns)))
		return 0;
	return c->contact_ns;
}

/**
 * peer_set_last_contact_ns() - when the platform last answered this VM or any
 *	that was heard of
 * @f: set
 *
 * Return: time, 0 for never.
 */
uint64_t peer_set_last_contact_ns(const struct peer_set *f)
{
	return read_claims_last_contact_ns(&f->claims);
}

/**
 * peer_set_readers_before() - how many data centres read the platform that come
 *	before this one
 * @f: set
 * @since_ns: who was not answered since does not read
 * @now_ns: time
 *
 * Return: how many; 0 when nobody elsewhere was heard of late. What they read
 * does not come here then.
 */
uint32_t peer_set_readers_before(const struct peer_set *f, uint64_t since_ns,
				 uint64_t now_ns)
{
	if (f->far_ns + FAR_HEARD_NS < now_ns)
		return 0;
	return read_claims_readers_before(&f->claims, f->conf.zone, since_ns);
}

/**
 * peer_set_rank() - this VM's place among the live ones of its data centre
 * @f: set
 * @now_ns: time
 *
 * Return: 0 when it should read the platform.
 */
uint32_t peer_set_rank(const struct peer_set *f, uint64_t now_ns)
{
	uint64_t mine = hash_u64(f->conf.self, RANK_SEED);
	uint64_t lost_ns = silence_ns(f);
	uint32_t rank = 0;

	for (uint32_t i = 0; i < f->n; i++) {
		const struct peer_vm *p = &f->peers[i];

		if (p->zone == f->conf.zone && p->direct_ns && !p->leaving &&
		    hash_u64(p->addr, RANK_SEED) < mine &&
		    p->heard_ns + lost_ns > now_ns)
			rank++;
	}
	return rank;
}

/**
 * peer_set_seat() - this VM's place for a matter among those of its data centre
 * @f: set
 * @what: the matter
 *
 * Those that were lost lately count, so that both sides of a partition see the
 * same places.
 *
 * Return: 0 for the first.
 */
uint32_t peer_set_seat(const struct peer_set *f, uint64_t what)
{
	uint64_t mine = hash_u64(f->conf.self, what);
	uint32_t before = 0;

	for (uint32_t i = 0; i < f->n; i++)
		before += f->peers[i].zone == f->conf.zone &&
			  hash_u64(f->peers[i].addr, what) < mine;
	return before;
}

/**
 * peer_set_lone() - whether this VM knows nobody though there are others
 * @f: set
 *
 * Return: whether.
 */
bool peer_set_lone(const struct peer_set *f)
{
	if (f->n)
		return false;
	for (uint32_t i = 0; i < f->conf.n_seeds; i++)
		if (f->conf.seeds[i] != f->conf.self)
			return true;
	return false;
}

/* Two that carry different documents over ask each other once. */
static bool ahead(const struct peer_vm *p, const struct knowledge *own)
{
	if (position_after(p->newest, own->newest))
		return true;
	return p->newest.epoch == own->newest.epoch && p->carried &&
	       p->carried != own->carried && p->carried != own->carried_taken;
}

/**
 * peer_set_ahead() - a peer to fetch from
 * @f: set
 * @own: what is known here
 * @now_ns: time
 *
 * Return: a live peer that knows something newer, of this data centre if there
 * is one; or NULL.
 */
const struct peer_vm *
peer_set_ahead(struct peer_set *f, const struct knowledge *own, uint64_t now_ns)
{
	uint32_t from = f->n ? (uint32_t)(rng_next(&f->rng) % f->n) : 0;
	const struct peer_vm *far = NULL;

	for (uint32_t i = 0; i < f->n; i++) {
		const struct peer_vm *p = &f->peers[(from + i) % f->n];

		if (!live(p, now_ns) || !ahead(p, own))
			continue;
		if (p->zone == f->conf.zone)
			return p;
		far = p;
	}
	return far;
}

uint32_t peer_set_live(const struct peer_set *f, uint64_t now_ns)
{
	uint32_t n = 0;

	for (uint32_t i = 0; i < f->n; i++)
		n += live(&f->peers[i], now_ns);
	return n;
}

uint32_t peer_set_count(const struct peer_set *f)
{
	return f->n;
}

const struct peer_vm *peer_set_at(const struct peer_set *f, uint32_t i)
{
	return i < f->n ? &f->peers[i] : NULL;
}
