/*
 * The other entries, found from a few seeds and by what they say of each
 * other, and which of them read the platform. Nobody is elected: each VM ranks
 * the live ones by a hash; two that differ only read once more than needed.
 */
#ifndef CB_PEER_SET_H
#define CB_PEER_SET_H

#include "read_claims.h"
#include "target.h"

/* The VMs of one data centre and of those it exchanges news with. */
#define PEERS_MAX 1024
#define HELLO_PEERS_MAX 8
/* With twelve failing targets and all claims a heartbeat stays below 1,400
 * bytes. */
#define HELLO_LOADS_MAX 60
#define HELLO_DEAD_MAX 8
#define HELLO_FAILING_MAX 12
/* The own data centre's claim, and those of two that read for all. */
#define HELLO_CLAIMS_MAX 3

/**
 * struct hello_peer - what a hello says of a third VM
 * @addr: its address for peers
 * @zone: hash of its data centre's name
 * @age_ms: how long ago it was heard
 */
struct hello_peer {
	uint64_t addr;
	uint32_t zone;
	uint32_t age_ms;
};

/**
 * struct hello_load - what a VM's flows do at one target
 * @cookie: target's cookie
 * @feeds: open feeds
 * @short_centi: other requests in progress, mean of a second, in hundredths
 * @running_centi: requests that it has from this VM, mean of some 200 ms, in
 *	hundredths
 */
struct hello_load {
	uint32_t cookie;
	uint32_t feeds;
	uint32_t short_centi;
	uint32_t running_centi;
};

/**
 * struct hello_failing - a target at which a VM saw requests fail
 * @cookie: target's cookie
 * @failures_centi: how many of late, in hundredths
 */
struct hello_failing {
	uint32_t cookie;
	uint32_t failures_centi;
};

/**
 * struct hello_claim - a claim to read the platform, as struct read_claim
 * @zone: hash of the data centre's name
 * @by: the reader's address for peers
 * @at: position of the platform
 * @number: tells claims at one position apart
 * @age_ms: how long ago it was answered
 */
struct hello_claim {
	uint32_t zone;
	uint64_t by;
	struct position at;
	uint32_t number;
	uint32_t age_ms;
};

/**
 * struct hello - heartbeat between entries
 * @from: sender's address for peers
 * @zone: hash of its data centre's name
 * @boot: number of the sender's process
 * @leaving: it is about to end
 * @reply: an answer to this is wanted: the sender knows few others
 * @newest: newest position that it knows
 * @carried: what it carries over from earlier epochs, as documents_retained_digest()
 * @epoch_age_ms: how long ago anybody heard first of the epoch of @newest;
 *	UINT32_MAX for longer than that matters
 * @trouble_age_ms: how long ago anybody found the platform in trouble;
 *	UINT32_MAX for not lately
 * @n_peers: third VMs named
 * @peers: those
 * @n_loads: targets named
 * @loads: those
 * @has_loads: the sender told its loads, also when they are none
 * @n_dead: targets found dead
 * @dead: their processes
 * @n_failing: targets that fail requests
 * @failing: those, each above half a failure
 * @n_claims: claims to read the platform
 * @claims: those; a contact that is older than a minute counts as none
 */
struct hello {
	uint64_t from;
	uint32_t zone;
	uint64_t boot;
	bool leaving;
	bool reply;
	struct position newest;
	uint64_t carried;
	uint32_t epoch_age_ms;
	uint32_t trouble_age_ms;
	uint32_t n_peers;
	struct hello_peer peers[HELLO_PEERS_MAX];
	bool has_loads;
	uint32_t n_loads;
	struct hello_load loads[HELLO_LOADS_MAX];
	uint32_t n_dead;
	struct incarnation dead[HELLO_DEAD_MAX];
	uint32_t n_failing;
	struct hello_failing failing[HELLO_FAILING_MAX];
	uint32_t n_claims;
	struct hello_claim claims[HELLO_CLAIMS_MAX];
};

/**
 * struct peer_vm - one other VM
 * @addr: its address for peers
 * @zone: hash of its data centre's name
 * @boot: its process, 0 before it was heard itself
 * @heard_ns: last sign of life, its own or told by others
 * @direct_ns: last hello of its own; 0 for none
 * @leaving: it is about to end
 * @newest: newest position that it knows
 * @carried: what it carries over from earlier epochs
 * @n_loads: loads it told
 * @loads: those; apart, since the rest is walked often
 * @n_failing: targets that it saw fail requests
 * @failing: those
 */
struct peer_vm {
	uint64_t addr;
	uint32_t zone;
	uint64_t boot;
	uint64_t heard_ns;
	uint64_t direct_ns;
	bool leaving;
	struct position newest;
	uint64_t carried;
	uint32_t n_loads;
	struct hello_load *loads;
	uint32_t n_failing;
	struct hello_failing failing[HELLO_FAILING_MAX];
};

/**
 * struct peer_set_conf - settings
 * @self: this VM's address for peers
 * @zone: hash of its data centre's name
 * @boot: number of this process
 * @period_ns: time between two heartbeats
 * @n_seeds: addresses to begin with
 * @seeds: those; this VM may be among them
 */
struct peer_set_conf {
	uint64_t self;
	uint32_t zone;
	uint64_t boot;
	uint64_t period_ns;
	uint32_t n_seeds;
	uint64_t seeds[8];
};

struct peer_set;

/**
 * struct knowledge - what an entry has of what is published
 * @newest: newest position that it knows
 * @carried: what it carries over from earlier epochs
 * @carried_taken: what a peer carried that was asked last
 */
struct knowledge {
	struct position newest;
	uint64_t carried;
	uint64_t carried_taken;
};

struct peer_set *peer_set_new(const struct peer_set_conf *conf, struct rng rng);
void peer_set_free(struct peer_set *f);
void peer_set_seeds(struct peer_set *f, const uint64_t *seeds, uint32_t n);
bool peer_set_hear(struct peer_set *f, const struct hello *h, uint64_t now_ns);
void peer_set_hurry(struct peer_set *f, uint64_t next_ns);
uint32_t peer_set_due(struct peer_set *f, bool young, uint64_t now_ns,
		      uint64_t *to, uint32_t to_max);
uint32_t peer_set_neighbours(struct peer_set *f, uint64_t now_ns, uint64_t *to,
			     uint32_t to_max);
void peer_set_fill(struct peer_set *f, struct hello *h, uint64_t now_ns);
void peer_set_contact(struct peer_set *f, struct position at, uint64_t now_ns);
void peer_set_trouble(struct peer_set *f, uint64_t contact_ns, uint64_t now_ns);
uint32_t peer_set_readers_before(const struct peer_set *f, uint64_t since_ns,
				 uint64_t now_ns);
uint64_t peer_set_trouble_ns(const struct peer_set *f);
uint64_t peer_set_others_contact_ns(const struct peer_set *f, uint64_t now_ns);
uint64_t peer_set_last_contact_ns(const struct peer_set *f);
uint32_t peer_set_seat(const struct peer_set *f, uint64_t what);
bool peer_set_lone(const struct peer_set *f);
uint32_t peer_set_rank(const struct peer_set *f, uint64_t now_ns);
const struct peer_vm *peer_set_ahead(struct peer_set *f,
				     const struct knowledge *own,
				     uint64_t now_ns);
uint32_t peer_set_live(const struct peer_set *f, uint64_t now_ns);
uint32_t peer_set_count(const struct peer_set *f);
const struct peer_vm *peer_set_at(const struct peer_set *f, uint32_t i);

#endif
