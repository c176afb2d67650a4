/* Types of the stand-in for the fabric. */
#ifndef SIM_FABRIC_H
#define SIM_FABRIC_H

#include "sim.h"

#include "proxy2.h"

#define FABRIC_ENTRIES_MAX 512
#define FABRIC_VIPS_MAX 256
#define FABRIC_DATAGRAM_BYTES 2048
#define FABRIC_COPIES_MAX 2
#define NEVER_NS UINT64_MAX

/* faults.c: what happens to a datagram. */

/**
 * struct faults - faults in force, in both directions
 * @rng: source of the shares
 * @drop_percent: share that is lost
 * @dup_percent: share that arrives twice
 * @reorder_percent: share that is held back by @reorder_ns
 * @reorder_ns: see above
 * @delay_ns: every datagram is held back by this
 */
struct faults {
	struct rng rng;
	uint32_t drop_percent;
	uint32_t dup_percent;
	uint32_t reorder_percent;
	uint64_t reorder_ns;
	uint64_t delay_ns;
};

/**
 * struct fate - what becomes of one datagram
 * @n_copies: 0 when it is lost
 * @delay_ns: of each copy
 */
struct fate {
	uint32_t n_copies;
	uint64_t delay_ns[FABRIC_COPIES_MAX];
};

void faults_clear(struct faults *f);
struct fate faults_draw(struct faults *f);

/* entries.c: where callers' datagrams go. */

/**
 * struct entry_slot - an entry
 * @addr: where it takes datagrams
 * @cut: nothing reaches it or comes from it
 */
struct entry_slot {
	uint64_t addr;
	bool cut;
};

/**
 * struct entries - the entries that the fabric sprays over, dead or alive
 * @list: entries
 * @n: how many
 */
struct entries {
	struct entry_slot list[FABRIC_ENTRIES_MAX];
	uint32_t n;
};

int entries_set(struct entries *e, const uint64_t *addrs, uint32_t n);
int entries_cut(struct entries *e, uint64_t addr, bool cut);
const struct entry_slot *entries_pick(const struct entries *e, struct rng *rng);
bool entries_is_cut(const struct entries *e, uint64_t addr);

/* held.c: datagrams that are held back. */

/**
 * struct held - a datagram on its way
 * @due_ns: when it goes on
 * @order: order of arrival, for those due at once
 * @to: where it goes
 * @via: socket it leaves from
 * @size_bytes: size of @data
 * @data: datagram
 */
struct held {
	uint64_t due_ns;
	uint64_t order;
	uint64_t to;
	uint32_t via;
	uint32_t size_bytes;
	uint8_t data[FABRIC_DATAGRAM_BYTES];
};

struct held_queue;

struct held_queue *held_new(uint32_t capacity);
void held_free(struct held_queue *q);
int held_put(struct held_queue *q, const struct held *h);
const struct held *held_take(struct held_queue *q, uint64_t now_ns);
uint64_t held_next_ns(const struct held_queue *q);

/* What the fabric counts; "stats" on the control port prints them. */
enum counter {
	COUNT_TO_ENTRIES,
	COUNT_TO_CALLERS,
	COUNT_CUT,
	COUNT_DROPPED,
	COUNT_DUPLICATED,
	COUNT_DELAYED,
	COUNT_UNSENT,
	COUNT_MALFORMED,
	COUNTERS
};

/**
 * struct fabric_options - command line
 * @vips: addresses that callers send to
 * @n_vips: how many
 * @entries: entries at the start
 * @n_entries: how many
 * @listen: where entries send answers
 * @control: control port, ADDR_NONE for none
 * @seed: of the spray and of the faults
 */
struct fabric_options {
	uint64_t vips[FABRIC_VIPS_MAX];
	uint32_t n_vips;
	uint64_t entries[FABRIC_ENTRIES_MAX];
	uint32_t n_entries;
	uint64_t listen;
	uint64_t control;
	uint64_t seed;
};

struct fabric;

/**
 * struct port - a socket of the fabric
 * @udp: libuv's handle
 * @fabric: back
 * @addr: address it is bound to
 * @index: index of the port
 */
struct port {
	uv_udp_t udp;
	struct fabric *fabric;
	uint64_t addr;
	uint32_t index;
};

/* The fabric: a port per VIP, the one towards entries last. */
struct fabric {
	struct fabric_options opt;
	uv_loop_t loop;
	uv_timer_t timer;
	uv_signal_t term;
	struct control control;
	struct port ports[FABRIC_VIPS_MAX + 1];
	uint32_t n_ports;
	struct entries entries;
	struct faults faults;
	struct rng spray;
	struct held_queue *held;
	struct held datagram;
	uint64_t counts[COUNTERS];
};

int fabric_options_read(struct fabric_options *o, int argc, char **argv);
int fabric_open(struct fabric *f);
void fabric_from_caller(struct port *vip, uint64_t caller, uint32_t size_bytes);
void fabric_from_entry(struct fabric *f, uint64_t entry, const uint8_t *data,
		       uint32_t size_bytes);
void fabric_release(struct fabric *f);
extern const struct control_command fabric_commands[];

#endif
