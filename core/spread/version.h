/* Total order of the versions of a published key, the same on every VM. */
#ifndef CB_VERSION_H
#define CB_VERSION_H

#include "types.h"

#define PUBLISHED_KEY_MAX_BYTES 80

/**
 * struct version - publication of a key, and whether it was withdrawn
 * @generation: generation set by the operator; for vms/DC the platform's
 *	revision
 * @revision: platform's revision of the document
 * @hash: hash of the content
 * @withdrawn_revision: highest revision at which the platform lacked the key
 *
 * Versions form a join semilattice: (generation, revision, hash) only grows in
 * the order of version_supersedes(), and @withdrawn_revision only grows. VMs
 * that have received the same versions hold the same merged version, whatever
 * the order.
 */
struct version {
	uint64_t generation;
	uint64_t revision;
	uint64_t hash;
	uint64_t withdrawn_revision;
};

bool version_supersedes(const struct version *a, const struct version *b);
bool version_adds_to(const struct version *a, const struct version *b);
bool version_is_empty(const struct version *v);
bool version_is_withdrawn(const struct version *v);
void version_merge(struct version *to, const struct version *from);
uint64_t version_digest(const char *key, const struct version *v);

#endif
