/* The figures of struct policy by name, for settings and experiments. */
#ifndef CB_POLICY_SETTINGS_H
#define CB_POLICY_SETTINGS_H

#include "fields.h"
#include "policy.h"

/* Keys of struct policy; what a table lacks stays as it is. Ends with NULL. */
extern const struct field policy_fields[];

#endif
