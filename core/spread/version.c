#include "version.h"

#include <string.h>
#include <xxhash.h>

#define DIGEST_SEED 0x76657273ULL

/**
 * version_beats() - whether a publication replaces another at all VMs
 * @a: one
 * @b: other
 *
 * A higher generation wins. Two contents under one generation are an
 * operator's mistake that two readers may see in different order; the first
 * to be published wins then, and the hash decides what is left.
 *
 * Return: true when @a replaces @b.
 */
bool version_beats(const struct version *a, const struct version *b)
{
	if (a->generation != b->generation)
		return a->generation > b->generation;
	if (a->revision != b->revision)
		return a->revision < b->revision;
	return a->hash > b->hash;
}

/**
 * version_newer() - whether a version says something that another does not
 * @a: one
 * @b: other
 *
 * Return: true when joining @a into @b would change @b.
 */
bool version_newer(const struct version *a, const struct version *b)
{
	return version_beats(a, b) ||
	       a->withdrawn_revision > b->withdrawn_revision;
}

/**
 * version_withdrawn() - whether the key was deleted after its publication
 * @v: version
 *
 * Return: true when the key is not in force.
 */
bool version_withdrawn(const struct version *v)
{
	return v->withdrawn_revision > v->revision;
}

/* Nothing is known of the key yet: it was only asked for. */
bool version_empty(const struct version *v)
{
	return !v->generation && !v->withdrawn_revision;
}

/**
 * version_join() - learn what another VM knows
 * @to: changed
 * @from: the other's version
 */
void version_join(struct version *to, const struct version *from)
{
	if (version_beats(from, to)) {
		to->generation = from->generation;
		to->revision = from->revision;
		to->hash = from->hash;
	}
	if (from->withdrawn_revision > to->withdrawn_revision)
		to->withdrawn_revision = from->withdrawn_revision;
}

/**
 * version_digest() - a key's share in the digest of a whole store
 * @key: key
 * @v: its version
 *
 * Return: 64-bit hash; a store's digest is the exclusive or of its keys'.
 */
uint64_t version_digest(const char *key, const struct version *v)
{
	uint64_t name = XXH3_64bits_withSeed(key, strlen(key), DIGEST_SEED);

	return XXH3_64bits_withSeed(v, sizeof(*v), name);
}
