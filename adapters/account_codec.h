/* Accounts and lists of VMs as items of a content, coded with msgpack. */
#ifndef CB_ACCOUNT_CODEC_H
#define CB_ACCOUNT_CODEC_H

#include "config.h"
#include "content.h"

/**
 * account_encode() - an account as a content
 * @a: account; its name and generation travel beside the content
 * @out: content, to be freed with content_free()
 *
 * Equal accounts give equal contents, whatever the order of their services
 * and targets.
 *
 * Return: 0 or -ENOMEM.
 */
int account_encode(const struct account_conf *a, struct content **out);

/**
 * account_decode() - read a content that came from another process
 * @name: account's name
 * @generation: its generation
 * @c: content
 * @out: account, to be freed with account_free()
 *
 * Return: 0; -EPROTONOSUPPORT for another version; -EPROTO for a content that
 * is malformed or out of bounds; -ENOMEM.
 */
int account_decode(const char *name, uint64_t generation,
		   const struct content *c, struct account_conf **out);

/**
 * roster_encode() - the platform's list of VMs as a content
 * @text: lines "ADDRESS STATE"
 * @size_bytes: its size
 * @out: content, to be freed with content_free()
 *
 * Return: 0; -EPROTO when a line is malformed: the whole list is refused;
 * -ENOMEM.
 */
int roster_encode(const char *text, uint32_t size_bytes, struct content **out);

/**
 * roster_decode() - read the VMs that are not leaving
 * @c: content
 * @vms: room for @cap addresses
 * @cap: see above
 *
 * Return: how many, or -EPROTO, -EPROTONOSUPPORT, -ENOSPC.
 */
int32_t roster_decode(const struct content *c, uint64_t *vms, uint32_t cap);

#endif
