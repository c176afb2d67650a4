/*
 * Spread of published configuration among the cb-watch processes of a data
 * centre. A few read the platform; the others get offers, ask for what they
 * lack and receive the items that changed. Digests repair what was missed.
 * docs/design/spread.md has the reasons.
 */
#ifndef CB_SPREAD_H
#define CB_SPREAD_H

#include "content.h"
#include "version.h"

#define SPREAD_BUCKETS 64
#define SPREAD_KEYS_MAX 8192
#define SPREAD_OFFERS_MAX SPREAD_KEYS_MAX
#define SPREAD_PEERS_MAX 2048

/**
 * enum spread_kind - messages between cb-watch processes, and to cb-entry
 * @SPREAD_DIGEST: digest of all that the sender has
 * @SPREAD_BUCKETS_DIFFER: the same by bucket, since digests differ
 * @SPREAD_OFFER: versions that the sender has
 * @SPREAD_WANT: keys to send; @offers[].version.hash is the base held
 * @SPREAD_DATA: a key's version, with the items that turn a base into it
 * @SPREAD_BEAT: heartbeat between candidates for reading
 * @SPREAD_HELLO: cb-entry: digest of what is in force
 * @SPREAD_LIST: cb-watch: say what is in force
 * @SPREAD_HELD: cb-entry: versions in force
 */
enum spread_kind {
	SPREAD_DIGEST = 1,
	SPREAD_BUCKETS_DIFFER,
	SPREAD_OFFER,
	SPREAD_WANT,
	SPREAD_DATA,
	SPREAD_BEAT,
	SPREAD_HELLO,
	SPREAD_LIST,
	SPREAD_HELD,
	SPREAD_KIND_COUNT
};

/**
 * struct spread_offer - a key and a version of it
 */
struct spread_offer {
	char key[PUBLISHED_KEY_MAX_BYTES];
	struct version version;
};

/**
 * struct spread_msg - one message; which fields count depends on @kind
 * @kind: enum spread_kind
 * @from: sender's VM
 * @root: digest of the sender's store
 * @ask: digest: answer with yours. Offer: answer with what you have newer
 * @platform_ok: beat: the sender reaches the platform
 * @reader: digest: best candidate for reading known to live, or ADDR_NONE
 * @reader_age_ms: digest: how old that knowledge is
 * @bucket: offer: it covers this whole bucket, -1 for none
 * @buckets: digests by bucket
 * @offers: keys and versions
 * @n_offers: how many
 * @base: data: hash of the content that @delta applies to, 0 for none
 * @delta: data: what changed
 */
struct spread_msg {
	uint8_t kind;
	uint64_t from;
	uint64_t root;
	bool ask;
	bool platform_ok;
	uint64_t reader;
	uint64_t reader_age_ms;
	int32_t bucket;
	uint64_t buckets[SPREAD_BUCKETS];
	struct spread_offer *offers;
	uint32_t n_offers;
	uint64_t base;
	struct delta delta;
};

/**
 * struct spread_port - what the module needs from outside
 * @ctx: passed back
 * @send: send to a cb-watch; may be lost
 * @check: whether this process can read a content; 0 or negative error
 * @in_force: a key's version is in force; @content is NULL when withdrawn.
 *	The list of VMs is to be handed on to spread_roster()
 */
struct spread_port {
	void *ctx;
	void (*send)(void *ctx, uint64_t vm, const struct spread_msg *msg);
	int (*check)(void *ctx, const char *key, const struct content *content);
	void (*in_force)(void *ctx, const char *key,
			 const struct version *version,
			 const struct content *content);
};

/**
 * struct spread_conf - settings
 * @self: this VM
 * @readers: how many of a data centre read the platform
 * @roster_key: key of the list of VMs; it is put in force at once, since a VM
 *	that joins needs it to find the peers that it has to ask
 */
struct spread_conf {
	uint64_t self;
	uint32_t readers;
	char roster_key[PUBLISHED_KEY_MAX_BYTES];
};

/* Counters; docs/OPERATIONS.md names each. */
#define SPREAD_COUNTERS(X)     \
	X(digests)             \
	X(offers)              \
	X(wants)               \
	X(deltas_sent)         \
	X(wholes_sent)         \
	X(deltas_unusable)     \
	X(contents_unreadable) \
	X(accepted)            \
	X(stale_refused)       \
	X(conflicts)           \
	X(returns_refused)     \
	X(withdrawn)           \
	X(table_full)          \
	X(joined_alone)        \
	X(reader_changes)

struct spread_counters {
#define X(name) uint64_t name;
	SPREAD_COUNTERS(X)
#undef X
};

struct spread;

struct spread *spread_new(const struct spread_conf *conf,
			  struct spread_port port, struct rng rng,
			  uint64_t now_ns);
void spread_free(struct spread *s);
void spread_roster(struct spread *s, const uint64_t *vms, uint32_t n,
		   uint64_t now_ns);
void spread_platform_state(struct spread *s, bool ok, bool caught_up,
			   uint64_t now_ns);
int spread_publish(struct spread *s, const char *key, uint64_t generation,
		   uint64_t revision, const struct content *content,
		   uint64_t now_ns);
int spread_withdraw(struct spread *s, const char *key, uint64_t revision,
		    uint64_t now_ns);
void spread_receive(struct spread *s, const struct spread_msg *msg,
		    uint64_t now_ns);
void spread_tick(struct spread *s, uint64_t now_ns);
uint64_t spread_next_ns(const struct spread *s);
bool spread_is_reader(const struct spread *s);
bool spread_serving(const struct spread *s);
uint64_t spread_root(const struct spread *s);
const struct version *spread_version(const struct spread *s, const char *key);
const struct content *spread_content(const struct spread *s, const char *key);
uint32_t spread_each(const struct spread *s, uint32_t index, const char **key,
		     const struct version **version,
		     const struct content **content);
const struct spread_counters *spread_counters(const struct spread *s);

#endif
