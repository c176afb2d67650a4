/* Words of publications for the core's enums, and look-ups in an account. */
#ifndef CB_PUBLICATION_WORDS_H
#define CB_PUBLICATION_WORDS_H

#include "config.h"

/* By enum service_protocol, service_class and target_state; NULL ends each. */
extern const char *const protocol_words[];
extern const char *const class_words[];
extern const char *const state_words[];

const struct service_conf *account_service(const struct account_conf *a,
					   const char *name);
const struct target_conf *service_target(const struct service_conf *s,
					 uint64_t addr);

#endif
