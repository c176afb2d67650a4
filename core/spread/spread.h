/*
 * Relay of published configuration between the cb-watch processes of a data
 * centre. A few read the platform; they offer new versions to their peers,
 * which request what they lack and receive the items that changed. Periodic
 * digests repair what was missed. See docs/design/spread.md.
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
 * enum spread_kind - messages between cb-watch processes, and with cb-entry
 * @SPREAD_DIGEST: digest of the sender's store
 * @SPREAD_BUCKET_DIGESTS: digests by bucket, sent when the store digests differ
 * @SPREAD_OFFER: versions that the sender has
 * @SPREAD_WANT: request for keys; @offers[].version.hash is the content that
 *	the sender has, 0 for none
 * @SPREAD_DATA: version of a key, with a delta to its content
 * @SPREAD_HEARTBEAT: heartbeat between candidates for reading
 * @SPREAD_HELLO: from cb-entry: digest of its versions in force
 * @SPREAD_VERSIONS_QUERY: to cb-entry: request for its versions in force
 * @SPREAD_VERSIONS: from cb-entry: its versions in force
 */
enum spread_kind {
	SPREAD_DIGEST = 1,
	SPREAD_BUCKET_DIGESTS,
	SPREAD_OFFER,
	SPREAD_WANT,
	SPREAD_DATA,
	SPREAD_HEARTBEAT,
	SPREAD_HELLO,
	SPREAD_VERSIONS_QUERY,
	SPREAD_VERSIONS,
	SPREAD_KIND_COUNT
};

struct spread_offer {
	char key[PUBLISHED_KEY_MAX_BYTES];
	struct version version;
};

/**
 * struct spread_msg - one message; @kind decides which other fields are used
 * @kind: enum spread_kind
 * @from: sender's VM
 * @store_digest: digest and hello: digest of all that the sender has
 * @wants_reply: digest: reply with yours. Offer: reply with newer versions
 * @platform_ok: heartbeat: the sender reaches the platform
 * @live_reader: digest: best candidate for reading that the sender knows to
 *	live, or ADDR_NONE
 * @live_reader_age_ms: digest: time since its last known sign of life
 * @bucket: offer: bucket that it covers completely, -1 for none
 * @bucket_digests: bucket digests: one for each bucket
 * @offers: keys and versions, owned by the sender of the message or the decoder
 * @n_offers: their number
 * @base_hash: data: hash of the content that @delta applies to, 0 for none
 * @delta: data: turns that content into the new one
 */
struct spread_msg {
	uint8_t kind;
	uint64_t from;
	uint64_t store_digest;
	bool wants_reply;
	bool platform_ok;
	uint64_t live_reader;
	uint64_t live_reader_age_ms;
	int32_t bucket;
	uint64_t bucket_digests[SPREAD_BUCKETS];
	struct spread_offer *offers;
	uint32_t n_offers;
	uint64_t base_hash;
	struct delta delta;
};

/**
 * struct spread_port - callbacks that the owner provides
 * @ctx: first argument of each callback
 * @send: sends a message to the cb-watch of a VM; it may get lost
 * @check_content: whether this process can parse a content; 0 or negative error
 * @put_in_force: a version of a key is in force; @content is NULL when the key
 *	is withdrawn. The owner passes the list of VMs to spread_set_roster()
 */
struct spread_port {
	void *ctx;
	void (*send)(void *ctx, uint64_t vm, const struct spread_msg *msg);
	int (*check_content)(void *ctx, const char *key,
			     const struct content *content);
	void (*put_in_force)(void *ctx, const char *key,
			     const struct version *version,
			     const struct content *content);
};

/**
 * struct spread_conf - settings
 * @self: address of this VM
 * @readers: number of VMs of a data centre that read the platform
 * @roster_key: key of the list of VMs. It is put in force even before joining
 *	has ended, because a new VM needs it to find the peers to join
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
void spread_set_roster(struct spread *s, const uint64_t *vms, uint32_t n,
		       uint64_t now_ns);
void spread_set_platform_state(struct spread *s, bool ok, bool caught_up,
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
bool spread_is_serving(const struct spread *s);
uint64_t spread_store_digest(const struct spread *s);
const struct version *spread_version(const struct spread *s, const char *key);
const struct content *spread_content(const struct spread *s, const char *key);
uint32_t spread_next_key(const struct spread *s, uint32_t index,
			 const char **key, const struct version **version,
			 const struct content **content);
const struct spread_counters *spread_counters(const struct spread *s);

#endif
