/* Which client accounts in force have which VIPs and targets. */
#ifndef CB_VIPS_H
#define CB_VIPS_H

#include "config.h"
#include "publication.h"

struct vips;

struct vips *vips_new(void);
void vips_free(struct vips *v);
void vips_put(struct vips *v, const char *account,
	      const struct account_conf *in_force);
const char *vips_holder(const struct vips *v, uint64_t vip);
uint32_t vips_doubled(const struct vips *v);

/**
 * vips_check() - whether an account may have its VIPs and targets
 * @v: accounts in force
 * @name: account's name
 * @text: its document, which renders
 * @templates: where templates come from
 * @mistakes: a VIP that another account holds, or has as a target, and a
 *	target at another's VIP are added, with their places
 */
void vips_check(const struct vips *v, const char *name, const char *text,
		struct template_source templates, struct mistakes *mistakes);

#endif
