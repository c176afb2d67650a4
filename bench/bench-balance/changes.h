/*
 * Measures the time of changes of configuration and of the number of entries.
 */
#ifndef CB_BENCH_CHANGES_H
#define CB_BENCH_CHANGES_H

#include "types.h"

void changes_run(uint32_t n_accounts, uint32_t n_targets);

#endif
