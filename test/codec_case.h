/*
 * Codecs behind an interface that C++ can read: core/balance/config.h can't be
 * included there.
 */
#ifndef TEST_CODEC_CASE_H
#define TEST_CODEC_CASE_H

#include <stddef.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

/* How a decoder took some bytes. */
enum codec_result { CODEC_REFUSED, CODEC_SAME, CODEC_CHANGED };

/* Read @bytes, cut into items at @ends, as an account; code it again. */
enum codec_result codec_account(const uint8_t *bytes, const uint32_t *ends,
				uint32_t n);
/* Read a body behind a valid version byte and MAC; code it again. */
enum codec_result codec_frame(const uint8_t *body, uint32_t size_bytes);
/* A valid account with @n_services and @n_targets each, as items. */
uint32_t codec_account_sample(uint32_t n_services, uint32_t n_targets,
			      uint8_t *bytes, uint32_t *ends, uint32_t cap);
/* The body of a valid frame of @kind; its size, or 0. */
uint32_t codec_frame_sample(uint8_t kind, uint64_t seed, uint8_t *body,
			    uint32_t cap);

#ifdef __cplusplus
}
#endif

#endif
