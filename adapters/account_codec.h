/* Encodes accounts and the list of VMs as contents: sorted msgpack items. */
#ifndef CB_ACCOUNT_CODEC_H
#define CB_ACCOUNT_CODEC_H

#include "config.h"
#include "content.h"

/**
 * account_encode() - encode an account as a content
 * @account: account; its name and generation are not encoded
 * @out: content, to be freed with content_free()
 *
 * Equal accounts give equal contents, whatever the order of their services
 * and targets.
 *
 * Return: 0 or -ENOMEM.
 */
int account_encode(const struct account_conf *account, struct content **out);

/**
 * account_decode() - decode a content received from another process
 * @name: name of the account
 * @generation: generation of the account
 * @content: content
 * @out: account, to be freed with account_free(); NULL on error
 *
 * Return: 0; -EPROTONOSUPPORT for another version of the codec; -EPROTO for a
 * content that is malformed or exceeds a limit; -ENOMEM.
 */
int account_decode(const char *name, uint64_t generation,
		   const struct content *content, struct account_conf **out);

/**
 * roster_encode() - encode the platform's list of VMs as a content
 * @text: lines "ADDRESS STATE", not terminated
 * @size_bytes: size of @text
 * @out: content, to be freed with content_free(); NULL on error
 *
 * Return: 0; -EPROTO when any line is malformed; -ENOMEM.
 */
int roster_encode(const char *text, uint32_t size_bytes, struct content **out);

/**
 * roster_decode() - decode the VMs that are not leaving
 * @content: content made by roster_encode(), perhaps in another process
 * @addrs: addresses of those VMs
 * @addrs_max: capacity of @addrs
 *
 * Return: number of addresses; -EPROTO for a malformed content;
 * -EPROTONOSUPPORT for another version of the codec; -ENOSPC when there are
 * more than @addrs_max.
 */
int32_t roster_decode(const struct content *content, uint64_t *addrs,
		      uint32_t addrs_max);

#endif
