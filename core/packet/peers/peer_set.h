/*
 * Membership of the entries: discovery from seeds and by gossip in heartbeats,
 * and the choice of the readers of the platform. There is no election: each VM
 * ranks the live ones by a hash. When two VMs differ in their view, the
 * platform is read by one VM more than necessary.
 */
#ifndef CB_PEER_SET_H
#define CB_PEER_SET_H

#include "read_claims.h"
#include "target.h"

/* VMs of this data centre, and of others that heartbeats are exchanged with. */
#define PEERS_MAX 1024
#define HELLO_PEERS_MAX 8
/* With all failing targets and claims, a heartbeat stays below 1,400 bytes. */
#define HELLO_LOADS_MAX 60
#define HELLO_DEAD_MAX 8
#define HELLO_FAILING_MAX 12
/* The claim of the own data centre, and those of the two that read for all. */
#define HELLO_CLAIMS_MAX 3

/**
 * struct hello_peer - a third VM named in a heartbeat
 * @addr: its address for peers
 * @zone: hash of the name of its data centre
 * @age_ms: time since its last known sign of life
 */
struct hello_peer {
	uint64_t addr;
	uint32_t zone;
	uint32_t age_ms;
};

/**
 * struct hello_load - load of the sender's flows at one target
 * @cookie: cookie of the target
 * @feeds: open feeds
 * @short_centi: requests in progress that are not of feeds, in hundredths,
 *	averaged over a second
 * @running_centi: requests that the target is processing, in hundredths,
 *	averaged over the policy's running_window_ns
 */
struct hello_load {
	uint32_t cookie;
	uint32_t feeds;
	uint32_t short_centi;
	uint32_t running_centi;
};

/**
 * struct hello_failing - a target at which the sender saw requests fail
 * @cookie: cookie of the target
 * @failures_centi: decayed count of failures, in hundredths
 */
struct hello_failing {
	uint32_t cookie;
	uint32_t failures_centi;
};

/**
 * struct hello_claim - a struct read_claim in a heartbeat
 * @zone: hash of the name of the data centre
 * @reader: address for peers of the reader
 * @position: position of the platform in its last answer
 * @seq: orders claims of the same position
 * @age_ms: time since that answer
 */
struct hello_claim {
	uint32_t zone;
	uint64_t reader;
	struct position position;
	uint32_t seq;
	uint32_t age_ms;
};

/**
 * struct hello - heartbeat between entries
 * @from: sender's address for peers
 * @zone: hash of the name of the sender's data centre
 * @boot: number that identifies the sender's process
 * @leaving: the sender is about to stop
 * @reply: an answer is wanted: the sender has no documents, or knows fewer than
 *	two live peers
 * @newest: newest position that the sender knows
 * @retained_digest: documents_retained_digest() of the sender
 * @epoch_age_ms: time since any entry first saw the epoch of @newest;
 *	UINT32_MAX when that no longer matters
 * @platform_failed_age_ms: time since a call to the platform last failed at
 *	any entry, or was answered with a new epoch;
 *	UINT32_MAX for none recently
 * @n_peers: number of third VMs
 * @peers: those VMs
 * @has_loads: @loads is advertised; it may be empty
 * @n_loads: number of targets with load
 * @loads: those targets
 * @n_dead: number of targets found dead
 * @dead: the processes of those targets
 * @n_failing: number of targets that fail requests
 * @failing: those targets, each with more than half a failure
 * @n_claims: number of claims to read the platform
 * @claims: those claims; a contact older than a minute counts as none
 */
struct hello {
	uint64_t from;
	uint32_t zone;
	uint64_t boot;
	bool leaving;
	bool reply;
	struct position newest;
	uint64_t retained_digest;
	uint32_t epoch_age_ms;
	uint32_t platform_failed_age_ms;
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
 * struct peer_vm - another VM
 * @addr: its address for peers
 * @zone: hash of the name of its data centre
 * @boot: number that identifies its process; 0 before its first
 *	heartbeat
 * @seen_ns: last sign of life, from its own heartbeat or reported by another VM
 * @hello_ns: when its last own heartbeat arrived; 0 for never
 * @leaving: it is about to stop
 * @newest: newest position that it knows
 * @retained_digest: documents_retained_digest() of the VM
 * @n_loads: number of elements of @loads in use
 * @loads: advertised loads, owned, NULL before the first; allocated apart,
 *	since the peers are iterated over often
 * @n_failing: number of targets that it saw fail requests
 * @failing: those targets
 */
struct peer_vm {
	uint64_t addr;
	uint32_t zone;
	uint64_t boot;
	uint64_t seen_ns;
	uint64_t hello_ns;
	bool leaving;
	struct position newest;
	uint64_t retained_digest;
	uint32_t n_loads;
	struct hello_load *loads;
	uint32_t n_failing;
	struct hello_failing failing[HELLO_FAILING_MAX];
};

/**
 * struct peer_set_conf - configuration
 * @self: this VM's address for peers
 * @zone: hash of the name of its data centre
 * @boot: number that identifies this process
 * @period_ns: heartbeat interval
 * @n_seeds: number of seeds
 * @seeds: addresses for peers to begin with; @self may be among them
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
 * struct sync_state - which documents an entry has
 * @newest: newest position that it knows
 * @retained_digest: its documents_retained_digest()
 * @fetched_digest: the digest of the peer that it fetched from last
 */
struct sync_state {
	struct position newest;
	uint64_t retained_digest;
	uint64_t fetched_digest;
};

struct peer_set *peer_set_new(const struct peer_set_conf *conf, struct rng rng);
void peer_set_free(struct peer_set *set);
void peer_set_set_seeds(struct peer_set *set, const uint64_t *seeds,
			uint32_t n);
bool peer_set_receive(struct peer_set *set, const struct hello *hello,
		      uint64_t now_ns);
void peer_set_expedite(struct peer_set *set, uint64_t next_ns);
uint32_t peer_set_take_due(struct peer_set *set, bool no_documents,
			   uint64_t now_ns, uint64_t *to, uint32_t to_max);
uint32_t peer_set_sample(struct peer_set *set, uint64_t now_ns, uint64_t *to,
			 uint32_t to_max);
void peer_set_fill_hello(struct peer_set *set, struct hello *hello,
			 uint64_t now_ns);
void peer_set_note_contact(struct peer_set *set, struct position position,
			   uint64_t now_ns);
void peer_set_note_platform_failure(struct peer_set *set, uint64_t contact_ns,
				    uint64_t now_ns);
uint32_t peer_set_readers_before(const struct peer_set *set, uint64_t since_ns,
				 uint64_t now_ns);
uint64_t peer_set_platform_failed_ns(const struct peer_set *set);
uint64_t peer_set_others_contact_ns(const struct peer_set *set,
				    uint64_t now_ns);
uint64_t peer_set_last_contact_ns(const struct peer_set *set);
uint32_t peer_set_rendezvous_rank(const struct peer_set *set, uint64_t key);
bool peer_set_is_alone(const struct peer_set *set);
uint32_t peer_set_reader_rank(const struct peer_set *set, uint64_t now_ns);
const struct peer_vm *peer_set_find_ahead_of(struct peer_set *set,
					     const struct sync_state *own,
					     uint64_t now_ns);
uint32_t peer_set_count_live(const struct peer_set *set, uint64_t now_ns);
uint32_t peer_set_count(const struct peer_set *set);
const struct peer_vm *peer_set_at(const struct peer_set *set, uint32_t i);

#endif
