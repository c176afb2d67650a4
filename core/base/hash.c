#include "types.h"

#include <string.h>
#include <xxhash.h>

/* Part of the protocol: all entries must map a flow to the same bucket. */
#define FLOW_HASH_SEED 0x63626c62ULL

/**
 * rng_next() - next number of a generator (xorshift64*)
 * @rng: generator, advanced by one step
 *
 * Return: 64 pseudo-random bits.
 */
uint64_t rng_next(struct rng *rng)
{
	rng->state ^= rng->state >> 12;
	rng->state ^= rng->state << 25;
	rng->state ^= rng->state >> 27;
	return rng->state * 0x2545f4914f6cdd1dULL;
}

/**
 * hash_u64() - hash of a 64-bit value
 * @value: value
 * @seed: seed, often a second value to be hashed with @value
 *
 * Return: 64-bit hash.
 */
uint64_t hash_u64(uint64_t value, uint64_t seed)
{
	return XXH3_64bits_withSeed(&value, sizeof(value), seed);
}

/**
 * hash_text() - hash of a string, the same on every entry
 * @text: string
 *
 * Return: 64-bit hash.
 */
uint64_t hash_text(const char *text)
{
	return XXH3_64bits(text, strlen(text));
}

/**
 * flow_hash() - hash of a flow's key, the same on every entry
 * @key: caller and VIP
 *
 * Return: 64-bit hash; the low bits select the bucket.
 */
uint64_t flow_hash(const struct flow_key *key)
{
	return XXH3_64bits_withSeed(key, sizeof(*key), FLOW_HASH_SEED);
}
