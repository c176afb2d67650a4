/*
 * Round trips through codecs for tests in C++, which can't include
 * core/balance/config.h.
 */
#ifndef TEST_CODEC_CASE_H
#define TEST_CODEC_CASE_H

#include <stddef.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

/**
 * enum codec_result - result of decoding and encoding again
 * @CODEC_REJECTED: the bytes can't be decoded
 * @CODEC_SAME: encoding gave the same bytes, or as many items
 * @CODEC_CHANGED: encoding gave something else
 */
enum codec_result { CODEC_REJECTED, CODEC_SAME, CODEC_CHANGED };

/*
 * Decodes an account from @n items in @bytes that end at @ends, encodes it
 * again.
 */
enum codec_result codec_account(const uint8_t *bytes, const uint32_t *ends,
				uint32_t n);
/*
 * Decodes a frame with this body and a valid version and MAC, encodes it again.
 */
enum codec_result codec_frame(const uint8_t *body, uint32_t size_bytes);
/*
 * Encodes an account with @n_services services of @n_targets targets each into
 * at most @cap bytes. Returns the number of items, or 0.
 */
uint32_t codec_account_sample(uint32_t n_services, uint32_t n_targets,
			      uint8_t *bytes, uint32_t *ends, uint32_t cap);
/*
 * Encodes a random frame of @kind and stores its body. Returns the body's size,
 * or 0 when it exceeds @cap.
 */
uint32_t codec_frame_sample(uint8_t kind, uint64_t seed, uint8_t *body,
			    uint32_t cap);

#ifdef __cplusplus
}
#endif

#endif
