#include "types.h"

#include <string.h>
#include <xxhash.h>

/* Part of the protocol between entries: all have to place flows alike. */
#define FLOW_HASH_SEED 0x63626c62ULL

/**
 * rng_next() - next number of a seeded source (xorshift64*)
 * @r: state
 *
 * Return: 64 pseudo-random bits.
 */
uint64_t rng_next(struct rng *r)
{
	r->s ^= r->s >> 12;
	r->s ^= r->s << 25;
	r->s ^= r->s >> 27;
	return r->s * 0x2545f4914f6cdd1dULL;
}

/**
 * hash_u64() - mix one word under a seed
 * @x: word
 * @seed: seed, often another word
 *
 * Return: 64-bit hash.
 */
uint64_t hash_u64(uint64_t x, uint64_t seed)
{
	return XXH3_64bits_withSeed(&x, sizeof(x), seed);
}

/**
 * hash_text() - hash of a name, the same on every entry
 * @text: text
 *
 * Return: 64-bit hash.
 */
uint64_t hash_text(const char *text)
{
	return XXH3_64bits(text, strlen(text));
}

/**
 * flow_hash() - place of a flow, the same on every entry
 * @key: caller and VIP
 *
 * Return: 64-bit hash; the low bits choose the bucket.
 */
uint64_t flow_hash(const struct flow_key *key)
{
	return XXH3_64bits_withSeed(key, sizeof(*key), FLOW_HASH_SEED);
}
