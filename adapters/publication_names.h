/* Names of enum values in publications, and searches in an account. */
#ifndef CB_PUBLICATION_NAMES_H
#define CB_PUBLICATION_NAMES_H

#include "config.h"

/*
 * Names by enum service_protocol, service_class and target_state; each ends
 * with NULL.
 */
extern const char *const service_protocol_names[];
extern const char *const service_class_names[];
extern const char *const target_state_names[];

const struct service_conf *
account_find_service(const struct account_conf *account, const char *name);
const struct target_conf *
service_find_target(const struct service_conf *service, uint64_t addr);

#endif
