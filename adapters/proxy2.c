#include "proxy2.h"

#include <errno.h>
#include <string.h>

#define SIGNATURE_BYTES 12
#define VERSION_PROXY 0x21 /* version 2, command PROXY */
#define FAMILY_DGRAM4 0x12 /* AF_INET, DGRAM */
#define ADDRESSES_BYTES 12

static const uint8_t signature[SIGNATURE_BYTES] = { 0x0d, 0x0a, 0x0d, 0x0a,
						    0x00, 0x0d, 0x0a, 0x51,
						    0x55, 0x49, 0x54, 0x0a };

static void put_u16(uint8_t *p, uint16_t v)
{
	p[0] = v >> 8;
	p[1] = v & 0xff;
}

static void put_u32(uint8_t *p, uint32_t v)
{
	put_u16(p, v >> 16);
	put_u16(p + 2, v & 0xffff);
}

static uint16_t get_u16(const uint8_t *p)
{
	return (uint16_t)(p[0] << 8 | p[1]);
}

static uint32_t get_u32(const uint8_t *p)
{
	return (uint32_t)get_u16(p) << 16 | get_u16(p + 2);
}

/**
 * proxy2_write() - write the PROXY header of a datagram
 * @buf: PROXY2_BYTES bytes
 * @source: endpoint that the datagram comes from
 * @destination: endpoint that it is sent to
 */
void proxy2_write(uint8_t buf[PROXY2_BYTES], uint64_t source,
		  uint64_t destination)
{
	memcpy(buf, signature, SIGNATURE_BYTES);
	buf[12] = VERSION_PROXY;
	buf[13] = FAMILY_DGRAM4;
	put_u16(buf + 14, ADDRESSES_BYTES);
	put_u32(buf + 16, ADDR_IP(source));
	put_u32(buf + 20, ADDR_IP(destination));
	put_u16(buf + 24, ADDR_PORT(source));
	put_u16(buf + 26, ADDR_PORT(destination));
}

/**
 * proxy2_read() - parse the PROXY header in front of a datagram
 * @buf: header and datagram
 * @size_bytes: size of both
 * @source: set to the endpoint that the datagram comes from
 * @destination: set to the endpoint that it is sent to
 *
 * Return: size of the header in bytes, including its TLV fields; -EPROTO for
 * anything but command PROXY over IPv4 datagrams, or a truncated header.
 */
int proxy2_read(const uint8_t *buf, uint32_t size_bytes, uint64_t *source,
		uint64_t *destination)
{
	uint32_t rest_bytes;

	if (size_bytes < PROXY2_BYTES)
		return -EPROTO;
	if (memcmp(buf, signature, SIGNATURE_BYTES) != 0)
		return -EPROTO;
	if (buf[12] != VERSION_PROXY || buf[13] != FAMILY_DGRAM4)
		return -EPROTO;
	rest_bytes = get_u16(buf + 14);
	if (rest_bytes < ADDRESSES_BYTES || rest_bytes > size_bytes - 16)
		return -EPROTO;
	*source = ADDR(get_u32(buf + 16), get_u16(buf + 24));
	*destination = ADDR(get_u32(buf + 20), get_u16(buf + 26));
	return (int)(16 + rest_bytes);
}
