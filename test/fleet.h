/* Fake network and clock for many memberships in one process. */
#ifndef CB_TEST_FLEET_H
#define CB_TEST_FLEET_H

#ifdef __cplusplus
extern "C" {
#endif

#include "member.h"

#define FLEET_MAX 512

/**
 * struct node - one process of the fleet
 * @vm: address
 * @m: its membership, NULL when it doesn't run
 * @paused_deadline_ns: messages wait until then, and no tick comes
 * @side: nodes reach only those of their own side
 * @messages: sent; @bytes: their size
 */
struct node {
	uint64_t vm;
	struct membership *m;
	uint64_t paused_deadline_ns;
	uint32_t side;
	uint64_t messages;
	uint64_t bytes;
	struct fleet *fleet;
};

struct packet;

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
	uint64_t order;
	uint64_t due_ns[FLEET_MAX];
	uint32_t tick[2 * FLEET_MAX];
};

struct fleet *fleet_new(uint32_t n, uint64_t seed);
void fleet_free(struct fleet *f);
uint64_t fleet_vm(uint32_t i);
void fleet_start(struct fleet *f, uint32_t i);
void fleet_start_all(struct fleet *f);
void fleet_kill(struct fleet *f, uint32_t i);
void fleet_pause(struct fleet *f, uint32_t i, uint64_t for_ns);
void fleet_roster(struct fleet *f, uint32_t i, uint32_t first, uint32_t n);
void fleet_run(struct fleet *f, uint64_t for_ns);
bool fleet_believes(const struct fleet *f, uint32_t i, uint32_t of,
		    uint8_t state);
bool fleet_converged(const struct fleet *f);
uint32_t fleet_holders(const struct fleet *f, uint32_t of, uint8_t state);

#ifdef __cplusplus
}
#endif

#endif
