/* Scalar types, limits and hashes that all modules use. */
#ifndef CB_TYPES_H
#define CB_TYPES_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/*
 * An IPv4 endpoint is a uint64_t, ip << 16 | port, in host byte order. It
 * identifies a caller, a VIP, a target or a VM (by its peer address); 0 means
 * "none".
 */
#define ADDR_NONE 0ULL
#define ADDR(ip, port) ((uint64_t)(uint32_t)(ip) << 16 | (uint16_t)(port))
#define ADDR_IP(addr) ((uint32_t)((addr) >> 16))
#define ADDR_PORT(addr) ((uint16_t)((addr)&0xffff))

#define NS_PER_US 1000ULL
#define NS_PER_MS 1000000ULL
#define NS_PER_S 1000000000ULL

#define DATAGRAM_MAX_BYTES 1472
#define TOKEN_MAX_BYTES 8
#define NAME_MAX_BYTES 64

/**
 * struct flow_key - identity of a flow, the same on every entry
 * @caller: endpoint of the caller
 * @vip: endpoint of the service that the caller sends to
 */
struct flow_key {
	uint64_t caller;
	uint64_t vip;
};

/**
 * struct rng - pseudo-random generator; callers seed it, so that runs repeat
 * @state: xorshift64* state, never 0
 */
struct rng {
	uint64_t state;
};

uint64_t rng_next(struct rng *rng);
uint64_t hash_u64(uint64_t value, uint64_t seed);
uint64_t hash_text(const char *text);
uint64_t flow_hash(const struct flow_key *key);

#endif
