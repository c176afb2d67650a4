/* What the parts of spread share: records, peers, timing. */
#ifndef CB_SPREAD_INTERNAL_H
#define CB_SPREAD_INTERNAL_H

#include "spread.h"

/* Older contents kept, so that a peer that missed some gets a delta. */
#define CONTENT_HISTORY 3
/* A key asked of one peer is not asked of another before this passes. */
#define WANT_TIMEOUT_NS (400 * NS_PER_MS)

#define DIGEST_PERIOD_NS NS_PER_S
#define JOIN_PERIOD_NS (200 * NS_PER_MS)
/* A new VM with no answer from any peer serves what the platform says. */
#define JOIN_TIMEOUT_NS (3 * NS_PER_S)
#define JOIN_ASKED 8
#define JOIN_AGREED 3
#define NEIGHBOURS 4
/* An asked peer silent for this long stops being a neighbour. */
#define ANSWER_TIMEOUT_NS (3 * NS_PER_S)
/* Who was heard this recently is told of changes, neighbour or not. */
#define FRESH_NS (5 * NS_PER_S)
/* One digest in so many goes to a random VM, which heals a partition. */
#define RANDOM_ONE_IN 8

/* Readers and the next few in rank send each other heartbeats. */
#define STANDBYS 3
#define BEAT_PERIOD_NS (300 * NS_PER_MS)
#define BEAT_TIMEOUT_NS NS_PER_S
/* No news of any reader for this long: ranks further down join in. */
#define READER_TIMEOUT_NS (15 * NS_PER_S)

/**
 * struct record - a key as held here
 * @key: key
 * @version: joined version
 * @content: its content; NULL when withdrawn or never received
 * @history: earlier contents, newest first
 * @asked_deadline_ns: until then the key is on its way from a peer
 */
struct record {
	char key[PUBLISHED_KEY_MAX_BYTES];
	struct version version;
	struct content *content;
	struct content *history[CONTENT_HISTORY];
	uint64_t asked_deadline_ns;
};

/**
 * struct spread_peer - another cb-watch of the data centre
 * @vm: VM
 * @rank: place among candidates for reading, the same at all
 * @near_hash: place among our neighbours
 * @listed: the list of VMs names it
 * @neighbour: digests go to it
 * @fresh_deadline_ns: heard recently until then
 * @answer_deadline_ns: asked, and silent once this passes; 0 when not asked
 * @beat_deadline_ns: its heartbeat is valid until then
 * @platform_ok: it reached the platform
 * @agreed: had our digest while we joined
 */
struct spread_peer {
	uint64_t vm;
	uint32_t rank;
	uint64_t near_hash;
	bool listed;
	bool neighbour;
	bool platform_ok;
	bool agreed;
	uint64_t fresh_deadline_ns;
	uint64_t answer_deadline_ns;
	uint64_t beat_deadline_ns;
};

struct spread {
	struct spread_conf conf;
	struct spread_port port;
	struct spread_counters counters;
	struct rng rng;
	struct record *records;
	uint32_t n_records;
	uint64_t root;
	uint64_t buckets[SPREAD_BUCKETS];
	struct spread_offer *scratch;

	struct spread_peer *peers;
	uint32_t n_peers;
	uint32_t n_listed;
	uint32_t rank;
	uint32_t turn;
	uint64_t digest_deadline_ns;
	uint64_t beat_deadline_ns;
	uint64_t best_reader;
	uint64_t best_heard_ns;
	bool reader;
	bool platform_ok;
	bool platform_caught_up;
	bool roster_known;
	bool answered;
	bool serving;
	uint64_t join_deadline_ns;
};

/* spread_store.c */
struct record *store_find(const struct spread *s, const char *key);
struct record *store_get(struct spread *s, const char *key);
uint32_t key_bucket(const char *key);
void store_join(struct spread *s, struct record *r, const struct version *v);
void store_take(struct record *r, struct content *take);
const struct content *store_base(const struct record *r, uint64_t hash);
void store_announce(struct spread *s, const struct record *r);
void store_free(struct spread *s);

/* spread_peers.c */
void peers_heard(struct spread *s, const struct spread_msg *msg,
		 uint64_t now_ns);
void peers_offer(struct spread *s, const struct record *r, uint64_t except,
		 uint64_t now_ns);
void peers_tick(struct spread *s, uint64_t now_ns);
void peers_digest(struct spread *s, uint64_t vm, bool ask, uint64_t now_ns);
void peers_agreed(struct spread *s, uint64_t vm, uint64_t now_ns);

/* spread_readers.c */
void readers_rank(struct spread *s);
void readers_heard(struct spread *s, struct spread_peer *p,
		   const struct spread_msg *msg, uint64_t now_ns);
void readers_tick(struct spread *s, uint64_t now_ns);

/* spread_relay.c */
void relay_accepted(struct spread *s, struct record *r, uint64_t from,
		    uint64_t now_ns);

#endif
