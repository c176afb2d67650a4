/* VIPs and targets of the client accounts in force. */
#ifndef CB_VIPS_H
#define CB_VIPS_H

#include "config.h"
#include "publication.h"

struct vips;

struct vips *vips_new(void);
void vips_free(struct vips *vips);
void vips_set(struct vips *vips, const char *account,
	      const struct account_conf *in_force);
const char *vips_holder(const struct vips *vips, uint64_t vip);
uint32_t vips_doubled(const struct vips *vips);

/**
 * vips_check() - check the endpoints of an account against the other accounts
 * @vips: accounts in force
 * @name: name of the account
 * @text: document of the account, without errors
 * @templates: finds the template that the document names
 * @mistakes: an error with its line is added for each VIP that another account
 *	holds or has as a target, and for each target at a VIP of another
 *	account
 */
void vips_check(const struct vips *vips, const char *name, const char *text,
		struct template_source templates, struct mistakes *mistakes);

#endif
