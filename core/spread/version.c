#include "version.h"

#include <string.h>
#include <xxhash.h>

#define DIGEST_SEED 0x76657273ULL

/**
 * version_supersedes() - whether one publication replaces another
 * @a: candidate
 * @b: current publication
 *
 * A higher generation wins. Two contents under one generation are an operator's
 * mistake, which two readers may see in different order: the one with the lower
 * revision, which was published first, wins; then the higher hash.
 *
 * Return: true when @a replaces @b.
 */
bool version_supersedes(const struct version *a, const struct version *b)
{
	if (a->generation != b->generation)
		return a->generation > b->generation;
	if (a->revision != b->revision)
		return a->revision < b->revision;
	return a->hash > b->hash;
}

/**
 * version_adds_to() - whether merging a version would change another
 * @a: version received
 * @b: version held
 *
 * Return: true when merging @a into @b would change @b.
 */
bool version_adds_to(const struct version *a, const struct version *b)
{
	return version_supersedes(a, b) ||
	       a->withdrawn_revision > b->withdrawn_revision;
}

/**
 * version_is_withdrawn() - whether the key was deleted after its publication
 * @v: version
 *
 * Return: true when the key is withdrawn.
 */
bool version_is_withdrawn(const struct version *v)
{
	return v->withdrawn_revision > v->revision;
}

/* Only requested so far: neither a publication nor a withdrawal is known. */
bool version_is_empty(const struct version *v)
{
	return !v->generation && !v->withdrawn_revision;
}

/**
 * version_merge() - merge another version into a version
 * @to: version to be changed
 * @from: version of another VM
 */
void version_merge(struct version *to, const struct version *from)
{
	if (version_supersedes(from, to)) {
		to->generation = from->generation;
		to->revision = from->revision;
		to->hash = from->hash;
	}
	if (from->withdrawn_revision > to->withdrawn_revision)
		to->withdrawn_revision = from->withdrawn_revision;
}

/**
 * version_digest() - hash of a key and its version
 * @key: key
 * @v: version of @key
 *
 * Return: 64-bit hash; the digest of a store is the exclusive or of the hashes
 * of all its keys.
 */
uint64_t version_digest(const char *key, const struct version *v)
{
	uint64_t key_hash = XXH3_64bits_withSeed(key, strlen(key), DIGEST_SEED);

	return XXH3_64bits_withSeed(v, sizeof(*v), key_hash);
}
