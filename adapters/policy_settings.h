/* Keys of struct policy, for settings and simulations. */
#ifndef CB_POLICY_SETTINGS_H
#define CB_POLICY_SETTINGS_H

#include "fields.h"
#include "policy.h"

/*
 * Keys of struct policy; a member whose key is missing keeps its value. Ends
 * with a key of NULL.
 */
extern const struct field policy_fields[];

#endif
