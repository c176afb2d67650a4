/*
 * The other entries, found from a few seeds and by what they say of each
 * other, and which of them read the platform. Nobody is elected: each VM ranks
 * the live ones by a hash; two that differ only read once more than needed.
 */
#ifndef CB_FLEET_H
#define CB_FLEET_H

#include "types.h"

/* The VMs of one data centre and of those it exchanges news with. */
#define FLEET_MAX 512
#define HELLO_PEERS_MAX 8
#define HELLO_LOADS_MAX 96
#define HELLO_DEAD_MAX 16

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
 * @short_centi: other requests in progress, mean, in hundredths
 */
struct hello_load {
	uint32_t cookie;
	uint32_t feeds;
	uint32_t short_centi;
};

/**
 * struct hello - heartbeat between entries
 * @from: sender's address for peers
 * @zone: hash of its data centre's name
 * @boot: number of the sender's process
 * @leaving: it is about to end
 * @reply: an answer to this is wanted: the sender knows few others
 * @newest: newest revision that it knows
 * @contact_age_ms: how long ago the platform answered it
 * @trouble_age_ms: how long ago anybody found the platform in trouble;
 *	UINT32_MAX for not lately
 * @n_peers: third VMs named
 * @peers: those
 * @n_loads: targets named
 * @loads: those
 * @has_loads: the sender told its loads, also when they are none
 * @n_dead: targets found dead
 * @dead: their ids
 */
struct hello {
	uint64_t from;
	uint32_t zone;
	uint64_t boot;
	bool leaving;
	bool reply;
	uint64_t newest;
	uint32_t contact_age_ms;
	uint32_t trouble_age_ms;
	uint32_t n_peers;
	struct hello_peer peers[HELLO_PEERS_MAX];
	bool has_loads;
	uint32_t n_loads;
	struct hello_load loads[HELLO_LOADS_MAX];
	uint32_t n_dead;
	uint64_t dead[HELLO_DEAD_MAX];
};

/**
 * struct fleet_peer - one other VM
 * @addr: its address for peers
 * @zone: hash of its data centre's name
 * @boot: its process, 0 before it was heard itself
 * @heard_ns: last sign of life, its own or told by others
 * @direct_ns: last hello of its own; 0 for none
 * @leaving: it is about to end
 * @newest: newest revision that it knows
 * @contact_ns: when the platform answered it last
 * @n_loads: loads it told
 * @loads: those
 */
struct fleet_peer {
	uint64_t addr;
	uint32_t zone;
	uint64_t boot;
	uint64_t heard_ns;
	uint64_t direct_ns;
	bool leaving;
	uint64_t newest;
	uint64_t contact_ns;
	uint32_t n_loads;
	struct hello_load loads[HELLO_LOADS_MAX];
};

/**
 * struct fleet_conf - settings
 * @self: this VM's address for peers
 * @zone: hash of its data centre's name
 * @boot: number of this process
 * @period_ns: time between two heartbeats
 * @n_seeds: addresses to begin with
 * @seeds: those; this VM may be among them
 */
struct fleet_conf {
	uint64_t self;
	uint32_t zone;
	uint64_t boot;
	uint64_t period_ns;
	uint32_t n_seeds;
	uint64_t seeds[8];
};

struct fleet;

struct fleet *fleet_new(const struct fleet_conf *conf, struct rng rng);
void fleet_free(struct fleet *f);
void fleet_seeds(struct fleet *f, const uint64_t *seeds, uint32_t n);
bool fleet_hear(struct fleet *f, const struct hello *h, uint64_t now_ns);
uint32_t fleet_due(struct fleet *f, uint64_t now_ns, uint64_t *to,
		   uint32_t to_max);
uint32_t fleet_neighbours(struct fleet *f, uint64_t now_ns, uint64_t *to,
			  uint32_t to_max);
void fleet_fill(struct fleet *f, struct hello *h, uint64_t now_ns);
void fleet_contact(struct fleet *f, uint64_t now_ns);
void fleet_trouble(struct fleet *f, uint64_t contact_ns, uint64_t now_ns);
uint64_t fleet_trouble_ns(const struct fleet *f);
uint64_t fleet_contact_ns(const struct fleet *f);
uint64_t fleet_others_contact_ns(const struct fleet *f, uint64_t now_ns);
uint32_t fleet_rank(const struct fleet *f, uint64_t now_ns);
const struct fleet_peer *fleet_ahead(struct fleet *f, uint64_t newest,
				     uint64_t now_ns);
uint32_t fleet_live(const struct fleet *f, uint64_t now_ns);
uint32_t fleet_count(const struct fleet *f);
const struct fleet_peer *fleet_at(const struct fleet *f, uint32_t i);

#endif
