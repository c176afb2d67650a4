/* Order of the versions of a published key, the same on every VM. */
#ifndef CB_VERSION_H
#define CB_VERSION_H

#include "types.h"

#define PUBLISHED_KEY_MAX_BYTES 80

/**
 * struct version - which publication of a key, and whether it was withdrawn
 * @generation: operator's generation; the platform's revision for vms/DC
 * @revision: platform's revision of the document
 * @hash: hash of the content
 * @withdrawn_revision: highest platform revision known to lack the key
 *
 * Versions form a join semilattice: (generation, revision, hash) only moves
 * up in version_beats() order and @withdrawn_revision only grows, so VMs that
 * have exchanged the same facts hold the same version whatever the order.
 */
struct version {
	uint64_t generation;
	uint64_t revision;
	uint64_t hash;
	uint64_t withdrawn_revision;
};

bool version_beats(const struct version *a, const struct version *b);
bool version_newer(const struct version *a, const struct version *b);
bool version_empty(const struct version *v);
bool version_withdrawn(const struct version *v);
void version_join(struct version *to, const struct version *from);
uint64_t version_digest(const char *key, const struct version *v);

#endif
