/* Types of the simulated network fabric. */
#ifndef SIM_FABRIC_H
#define SIM_FABRIC_H

#include "sim.h"

#include "proxy2.h"

#define FABRIC_ENTRIES_MAX 512
#define FABRIC_VIPS_MAX 256
#define FABRIC_DATAGRAM_BYTES 2048
#define FABRIC_COPIES_MAX 2
#define NEVER_NS UINT64_MAX

/* faults.c: losses, duplicates and delays of datagrams. */

/**
 * struct faults - current faults, applied in both directions
 * @rng: random numbers that select the affected datagrams
 * @drop_percent: share of datagrams dropped, 0 to 100
 * @dup_percent: share of datagrams duplicated, 0 to 100
 * @reorder_percent: share of copies delayed by @reorder_ns, 0 to 100
 * @reorder_ns: added delay of reordered copies
 * @delay_ns: delay of all datagrams
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
 * struct datagram_faults - faults drawn for one datagram
 * @n_copies: number of copies to forward, 0 if it is dropped
 * @delay_ns: delay of each copy
 */
struct datagram_faults {
	uint32_t n_copies;
	uint64_t delay_ns[FABRIC_COPIES_MAX];
};

void faults_clear(struct faults *f);
struct datagram_faults faults_draw(struct faults *f);

/* entries.c: destinations of the callers' datagrams. */

/**
 * struct fabric_entry - an entry
 * @addr: address that receives datagrams
 * @partitioned: datagrams to and from the entry are dropped
 */
struct fabric_entry {
	uint64_t addr;
	bool partitioned;
};

/**
 * struct entries - entries that receive datagrams, whether alive or not
 * @list: entries
 * @n: number of entries
 */
struct entries {
	struct fabric_entry list[FABRIC_ENTRIES_MAX];
	uint32_t n;
};

int entries_set(struct entries *e, const uint64_t *addrs, uint32_t n);
int entries_set_partitioned(struct entries *e, uint64_t addr, bool partitioned);
const struct fabric_entry *entries_select(const struct entries *e,
					  struct rng *rng);
bool entries_is_partitioned(const struct entries *e, uint64_t addr);

/* delay_queue.c: delayed datagrams. */

/**
 * struct delayed_datagram - a delayed datagram
 * @due_ns: time at which it is sent
 * @order: number in order of arrival, to order datagrams with the same @due_ns
 * @to: destination address
 * @via: index of the port that sends it
 * @size_bytes: size of the datagram
 * @data: datagram
 */
struct delayed_datagram {
	uint64_t due_ns;
	uint64_t order;
	uint64_t to;
	uint32_t via;
	uint32_t size_bytes;
	uint8_t data[FABRIC_DATAGRAM_BYTES];
};

struct delay_queue;

struct delay_queue *delay_queue_new(uint32_t capacity);
void delay_queue_free(struct delay_queue *q);
int delay_queue_put(struct delay_queue *q,
		    const struct delayed_datagram *datagram);
const struct delayed_datagram *delay_queue_pop_due(struct delay_queue *q,
						   uint64_t now_ns);
uint64_t delay_queue_next_ns(const struct delay_queue *q);

/*
 * Counters, printed by the control command "stats". COUNT_PARTITIONED also
 * counts datagrams of callers that arrive while no entry is listed.
 */
enum counter {
	COUNT_TO_ENTRIES,
	COUNT_TO_CALLERS,
	COUNT_PARTITIONED,
	COUNT_DROPPED,
	COUNT_DUPLICATED,
	COUNT_DELAYED,
	COUNT_UNSENT,
	COUNT_MALFORMED,
	COUNTERS
};

/**
 * struct fabric_options - command line
 * @vips: VIPs, to which callers send
 * @n_vips: number of VIPs
 * @entries: initial entries
 * @n_entries: number of initial entries
 * @listen: address to which entries send answers
 * @control: address of the control port, or ADDR_NONE
 * @seed: seed of the selection of entries and of the faults
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
 * struct port - a UDP socket of the fabric
 * @udp: handle of libuv
 * @fabric: fabric that the port belongs to
 * @addr: local address
 * @index: index in the fabric's ports
 */
struct port {
	uv_udp_t udp;
	struct fabric *fabric;
	uint64_t addr;
	uint32_t index;
};

/* The fabric: @ports has one for each VIP, then the one towards the entries. */
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
	struct rng select_rng;
	struct delay_queue *delayed;
	struct delayed_datagram datagram;
	uint64_t counts[COUNTERS];
};

int fabric_options_read(struct fabric_options *o, int argc, char **argv);
int fabric_open(struct fabric *f);
void fabric_from_caller(struct port *vip, uint64_t caller, uint32_t size_bytes);
void fabric_from_entry(struct fabric *f, uint64_t entry, const uint8_t *data,
		       uint32_t size_bytes);
void fabric_send_due(struct fabric *f);
extern const struct control_command fabric_commands[];

#endif
