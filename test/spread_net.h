/*
 * A data centre of cb-watch in one process: real spread, reader and codec, a
 * fake clock, a fake network and a fake platform.
 */
#ifndef TEST_SPREAD_NET_H
#define TEST_SPREAD_NET_H

#include <stdbool.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

#define NET_MS 1000000ULL
#define NET_S 1000000000ULL

enum net_platform { NET_UP, NET_DOWN, NET_STALE };

struct net;

struct net *net_new(uint32_t n, uint32_t readers, uint64_t seed);
void net_free(struct net *net);
void net_run(struct net *net, uint64_t for_ns);

/* Texts: "GENERATION|ITEM|ITEM", "GENERATION|@TEMPLATE", or not to be read. */
void net_publish(struct net *net, const char *key, const char *text);
void net_delete(struct net *net, const char *key);
void net_platform(struct net *net, enum net_platform state);
/* The platform lost its memory and counts revisions from 0 again. */
void net_forget(struct net *net);
/* From now on the platform shows what it shows now, when it is stale. */
void net_remember(struct net *net);

void net_kill(struct net *net, uint32_t vm);
void net_start(struct net *net, uint32_t vm);
void net_pause(struct net *net, uint32_t vm, bool paused);
/* VMs on different sides can't talk; only side 0 reaches the platform. */
void net_side(struct net *net, uint32_t vm, uint32_t side);
/* Frames of a VM get lost, one in @one_in; 0 for none. */
void net_lose(struct net *net, uint32_t one_in);

uint64_t net_generation(const struct net *net, uint32_t vm, const char *key);
uint64_t net_hash(const struct net *net, uint32_t vm, const char *key);
bool net_withdrawn(const struct net *net, uint32_t vm, const char *key);
bool net_serving(const struct net *net, uint32_t vm);
bool net_alive(const struct net *net, uint32_t vm);
bool net_reader(const struct net *net, uint32_t vm);
uint32_t net_readers(const struct net *net);
bool net_converged(const struct net *net);
uint64_t net_root(const struct net *net, uint32_t vm);

/*
 * Generations that fell, and withdrawn keys that came back without a higher
 * one, at a cb-watch process or at the entry beside it.
 */
uint32_t net_falls(const struct net *net);
/* Contents that changed under one generation. */
uint32_t net_rewrites(const struct net *net);
uint64_t net_calls(const struct net *net);
uint64_t net_calls_max_per_s(const struct net *net);
uint64_t net_bytes(const struct net *net);
uint64_t net_bytes_max(const struct net *net);
void net_bytes_reset(struct net *net);
uint64_t net_conflicts(const struct net *net);
uint64_t net_refused(const struct net *net, uint32_t vm);
uint64_t net_joined_alone(const struct net *net, uint32_t vm);
uint64_t net_wholes(const struct net *net);

#ifdef __cplusplus
}
#endif

#endif
