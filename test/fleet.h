/* Simulated network and clock for many struct membership in one process. */
#ifndef CB_TEST_FLEET_H
#define CB_TEST_FLEET_H

#ifdef __cplusplus
extern "C" {
#endif

#include "member.h"

#define FLEET_MAX 512

/**
 * struct node - one simulated process
 * @vm: its address, an ADDR() of IP and port
 * @membership: its membership, owned by the fleet; NULL while stopped
 * @paused_deadline_ns: time until which the process is paused: messages to it
 *	are queued and its timers don't run; 0 or a past time when it runs
 * @partition: number of its network partition; messages between different
 *	partitions are dropped
 * @messages: messages sent, those that were lost included
 * @bytes: size of the messages sent; counted only with size_bytes of the fleet
 * @fleet: fleet that the node belongs to
 */
struct node {
	uint64_t vm;
	struct membership *membership;
	uint64_t paused_deadline_ns;
	uint32_t partition;
	uint64_t messages;
	uint64_t bytes;
	struct fleet *fleet;
};

struct packet;

/**
 * struct fleet - simulated nodes, their network and their clock
 * @now_ns: simulated time
 * @rng: source of all randomness of the network
 * @n: nodes in use, at most FLEET_MAX
 * @node: nodes by index
 * @loss_percent: share of messages that the network loses
 * @incarnation: incarnation of the node that was started last
 * @conf: settings of nodes that are started from now on
 * @size_bytes: returns the encoded size of a message; NULL: sizes aren't counted
 * @blocked: returns whether the network drops messages from one node to
 *	another; NULL: it drops none
 * @heap: binary heap of messages in transit, by arrival time
 * @n_heap: messages in @heap
 * @cap_heap: messages for which @heap has memory
 * @next_order: sequence number of the next message; messages with equal arrival
 *	times arrive in the order in which they were sent
 * @tick_due_ns: time of each node's next timer; UINT64_MAX: none
 * @tick_tree: tournament tree over @tick_due_ns; @tick_tree[1] is the
 *	node with the earliest
 */
struct fleet {
	uint64_t now_ns;
	struct rng rng;
	uint32_t n;
	struct node node[FLEET_MAX];
	uint32_t loss_percent;
	uint64_t incarnation;
	struct member_conf conf;
	uint32_t (*size_bytes)(const struct peer_msg *msg);
	bool (*blocked)(uint32_t from, uint32_t to);
	struct packet **heap;
	uint32_t n_heap, cap_heap;
	uint64_t next_order;
	uint64_t tick_due_ns[FLEET_MAX];
	uint32_t tick_tree[2 * FLEET_MAX];
};

struct fleet *fleet_new(uint32_t n, uint64_t seed);
void fleet_free(struct fleet *fleet);
uint64_t fleet_vm(uint32_t i);
void fleet_start(struct fleet *fleet, uint32_t i);
void fleet_start_all(struct fleet *fleet);
void fleet_kill(struct fleet *fleet, uint32_t i);
void fleet_pause(struct fleet *fleet, uint32_t i, uint64_t for_ns);
/* Gives node @i a roster of the @n nodes from index @first. */
void fleet_set_roster(struct fleet *fleet, uint32_t i, uint32_t first,
		      uint32_t n);
void fleet_run(struct fleet *fleet, uint64_t for_ns);
/* Whether node @i sees node @of in @state, an enum member_state. */
bool fleet_sees_state(const struct fleet *fleet, uint32_t i, uint32_t of,
		      uint8_t state);
bool fleet_converged(const struct fleet *fleet);
/* Number of other running nodes that see node @of in @state. */
uint32_t fleet_count_seeing(const struct fleet *fleet, uint32_t of,
			    uint8_t state);

#ifdef __cplusplus
}
#endif

#endif
