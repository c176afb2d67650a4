/*
 * Data centre of cb-watch processes in one process: the real spread, reader and
 * codec on a simulated clock, network and platform.
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

/**
 * enum net_platform - state of the platform
 * @NET_UP: answers
 * @NET_DOWN: calls fail
 * @NET_STALE: answers with the state of the last net_snapshot_platform()
 */
enum net_platform { NET_UP, NET_DOWN, NET_STALE };

struct net;

struct net *net_new(uint32_t n, uint32_t readers, uint64_t seed);
void net_free(struct net *net);
void net_run(struct net *net, uint64_t for_ns);

/*
 * Text: "GENERATION|ITEM|ITEM" or "GENERATION|@TEMPLATE|ITEM"; anything else is
 * a malformed document.
 */
void net_publish(struct net *net, const char *key, const char *text);
void net_delete(struct net *net, const char *key);
void net_set_platform(struct net *net, enum net_platform state);
/* The platform loses its data and counts revisions from 0 again. */
void net_reset_platform(struct net *net);
/* Keep the current state as that of the stale platform. */
void net_snapshot_platform(struct net *net);

void net_kill(struct net *net, uint32_t vm);
void net_start(struct net *net, uint32_t vm);
void net_pause(struct net *net, uint32_t vm, bool paused);
/* VMs on different sides do not reach each other, only side 0 the platform. */
void net_set_side(struct net *net, uint32_t vm, uint32_t side);
/* Lose one in @one_in frames at random; 0 for none. */
void net_set_frame_loss(struct net *net, uint32_t one_in);

/* Version in force at the entry beside the cb-watch. */
uint64_t net_generation(const struct net *net, uint32_t vm, const char *key);
uint64_t net_content_hash(const struct net *net, uint32_t vm, const char *key);
bool net_is_withdrawn(const struct net *net, uint32_t vm, const char *key);

bool net_is_serving(const struct net *net, uint32_t vm);
bool net_is_running(const struct net *net, uint32_t vm);
bool net_is_reader(const struct net *net, uint32_t vm);
uint32_t net_reader_count(const struct net *net);
/* All running cb-watch serve, with the same store digest. */
bool net_is_converged(const struct net *net);
uint64_t net_store_digest(const struct net *net, uint32_t vm);

/*
 * Times that at a cb-watch or the entry beside it a generation decreased, or a
 * withdrawn key was in force again without a higher generation.
 */
uint32_t net_regressions(const struct net *net);
/* Times that a content changed under one generation. */
uint32_t net_rewritten_contents(const struct net *net);
uint64_t net_platform_calls(const struct net *net);
uint64_t net_platform_calls_max_per_s(const struct net *net);
/* Bytes sent by all VMs since net_reset_bytes_sent(). */
uint64_t net_bytes_sent(const struct net *net);
/* Bytes sent by the VM that sent most. */
uint64_t net_bytes_sent_max(const struct net *net);
void net_reset_bytes_sent(struct net *net);
/* Sums of counters over the running cb-watch, or a counter of one. */
uint64_t net_conflicts(const struct net *net);
uint64_t net_documents_refused(const struct net *net, uint32_t vm);
uint64_t net_joined_alone(const struct net *net, uint32_t vm);
uint64_t net_whole_contents_sent(const struct net *net);

#ifdef __cplusplus
}
#endif

#endif
