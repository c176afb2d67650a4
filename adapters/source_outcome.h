/* Outcome of a call to the platform. */
#ifndef CB_SOURCE_OUTCOME_H
#define CB_SOURCE_OUTCOME_H

#include "http_client.h"
#include "source.h"

enum source_outcome source_outcome_from_reply(const struct http_reply *reply,
					      enum source_step step);

#endif
