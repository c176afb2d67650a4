/* Outcome of a connection attempt to a target. */
#ifndef CB_PROBE_OUTCOME_H
#define CB_PROBE_OUTCOME_H

#include "path.h"

enum probe_outcome probe_outcome_from_status(int status);

#endif
