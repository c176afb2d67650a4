/* What a connection attempt to a target says of it. */
#ifndef CB_PROBE_OUTCOME_H
#define CB_PROBE_OUTCOME_H

#include "path.h"

enum probe_outcome probe_outcome(int status);

#endif
