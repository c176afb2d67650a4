/* Limits of documents, so that the parser needs bounded stack and time. */
#ifndef CB_TOML_SHAPE_H
#define CB_TOML_SHAPE_H

#include "mistakes.h"

#include <stdbool.h>
#include <stddef.h>

#define TOML_MAX_BYTES (1U << 20)
#define TOML_LINE_MAX_BYTES 1024
#define TOML_DEPTH_MAX 64

bool toml_check_limits(const char *document, const char *text,
		       size_t size_bytes, struct mistakes *mistakes);

#endif
