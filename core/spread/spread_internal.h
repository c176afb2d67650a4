/* Records, peers and timing shared by the files of spread. */
#ifndef CB_SPREAD_INTERNAL_H
#define CB_SPREAD_INTERNAL_H

#include "spread.h"

/* Older contents kept, so that a peer that missed some gets a delta. */
#define CONTENT_HISTORY 3
/* A key requested from one peer is not requested from another before this. */
#define WANT_TIMEOUT_NS (400 * NS_PER_MS)

#define DIGEST_PERIOD_NS NS_PER_S
#define JOIN_PERIOD_NS (200 * NS_PER_MS)
/* A new VM that no peer answers in this time serves the platform's contents. */
#define JOIN_TIMEOUT_NS (3 * NS_PER_S)
#define JOIN_PEERS_ASKED 8
/* Peers with an equal digest that end the joining. */
#define JOIN_AGREEMENTS 3
#define NEIGHBOURS_MAX 4
/* A peer that leaves a digest request unanswered this long is no neighbour. */
#define ANSWER_TIMEOUT_NS (3 * NS_PER_S)
/* Peers heard within this time get offers, neighbours or not. */
#define RECENT_PEER_NS (5 * NS_PER_S)
/* One digest in this many goes to a random VM, which heals a partition. */
#define RANDOM_DIGEST_ONE_IN 8

/* Candidates behind the readers in rank, which exchange heartbeats too. */
#define STANDBY_READERS 3
#define HEARTBEAT_PERIOD_NS (300 * NS_PER_MS)
#define HEARTBEAT_TIMEOUT_NS NS_PER_S
/* Without a sign of any candidate for this long, lower ranks read as well. */
#define READER_TIMEOUT_NS (15 * NS_PER_S)

/**
 * struct record - a published key
 * @key: key
 * @version: merge of all versions received
 * @content: content of @version; NULL when withdrawn or never received
 * @history: earlier contents, newest first; unused ones are NULL
 * @request_deadline_ns: time until which the key is requested from a peer
 */
struct record {
	char key[PUBLISHED_KEY_MAX_BYTES];
	struct version version;
	struct content *content;
	struct content *history[CONTENT_HISTORY];
	uint64_t request_deadline_ns;
};

/**
 * struct spread_peer - another cb-watch of the data centre
 * @vm: address
 * @candidate_rank: rank among the candidates for reading, from 0; the same on
 *	all VMs with the same roster
 * @neighbour_hash: the listed peers with the highest hash are the neighbours
 * @listed: in the roster
 * @is_neighbour: gets digests regularly
 * @platform_ok: its last heartbeat said that it reaches the platform
 * @has_same_digest: sent a digest equal to this VM's while this VM joined
 * @recent_deadline_ns: time until which it counts as heard recently
 * @answer_deadline_ns: end of the wait for its digest; 0 when none is awaited
 * @heartbeat_deadline_ns: time until which its last heartbeat is valid
 */
struct spread_peer {
	uint64_t vm;
	uint32_t candidate_rank;
	uint64_t neighbour_hash;
	bool listed;
	bool is_neighbour;
	bool platform_ok;
	bool has_same_digest;
	uint64_t recent_deadline_ns;
	uint64_t answer_deadline_ns;
	uint64_t heartbeat_deadline_ns;
};

/**
 * struct spread - state of one cb-watch
 * @conf: settings
 * @port: callbacks of the owner
 * @counters: counters for the metrics page
 * @rng: random source
 * @records: published keys, sorted by key
 * @n_records: their number
 * @store_digest: digest of all records
 * @bucket_digests: digests of the records of each bucket
 * @offer_buffer: offers of the message being built
 * @peers: peers, sorted by address after each new roster
 * @n_peers: their number
 * @n_listed: peers in the roster
 * @candidate_rank: rank of this VM among the candidates for reading
 * @next_neighbour: counts digests, so that the neighbours take turns
 * @digest_deadline_ns: next digest
 * @heartbeat_deadline_ns: next heartbeat
 * @best_reader: highest ranked candidate that is known to live, or ADDR_NONE
 * @best_reader_heard_ns: latest known sign of life of it
 * @is_reader: this VM reads the platform
 * @platform_ok: the platform answered the last call of this VM
 * @platform_caught_up: this VM has read everything that the platform lists
 * @roster_known: spread_set_roster() has been called
 * @any_peer_answered: a message has been received
 * @serving: joining has ended; contents are put in force
 * @join_deadline_ns: joining ends without agreement then
 */
struct spread {
	struct spread_conf conf;
	struct spread_port port;
	struct spread_counters counters;
	struct rng rng;
	struct record *records;
	uint32_t n_records;
	uint64_t store_digest;
	uint64_t bucket_digests[SPREAD_BUCKETS];
	struct spread_offer *offer_buffer;

	struct spread_peer *peers;
	uint32_t n_peers;
	uint32_t n_listed;
	uint32_t candidate_rank;
	uint32_t next_neighbour;
	uint64_t digest_deadline_ns;
	uint64_t heartbeat_deadline_ns;
	uint64_t best_reader;
	uint64_t best_reader_heard_ns;
	bool is_reader;
	bool platform_ok;
	bool platform_caught_up;
	bool roster_known;
	bool any_peer_answered;
	bool serving;
	uint64_t join_deadline_ns;
};

/* spread_store.c */
struct record *store_find(const struct spread *s, const char *key);
struct record *store_find_or_create(struct spread *s, const char *key);
uint32_t key_bucket(const char *key);
void store_merge(struct spread *s, struct record *r, const struct version *v);
void store_replace_content(struct record *r, struct content *new_content);
const struct content *store_find_content(const struct record *r, uint64_t hash);
void store_put_in_force(struct spread *s, const struct record *r);
void store_free(struct spread *s);

/* spread_peers.c */
void peers_record_message(struct spread *s, const struct spread_msg *msg,
			  uint64_t now_ns);
void peers_offer(struct spread *s, const struct record *r, uint64_t except,
		 uint64_t now_ns);
void peers_tick(struct spread *s, uint64_t now_ns);
void peers_send_digest(struct spread *s, uint64_t vm, bool wants_reply,
		       uint64_t now_ns);
void peers_record_agreement(struct spread *s, uint64_t vm, uint64_t now_ns);

/* spread_readers.c */
void readers_rank(struct spread *s);
void readers_record_message(struct spread *s, struct spread_peer *p,
			    const struct spread_msg *msg, uint64_t now_ns);
void readers_tick(struct spread *s, uint64_t now_ns);

/* spread_relay.c */
void relay_version(struct spread *s, struct record *r, uint64_t from,
		   uint64_t now_ns);

#endif
