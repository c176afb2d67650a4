#include "settings.h"

#include <arpa/inet.h>
#include <errno.h>
#include <stdio.h>
#include <string.h>

#define PORT_DIGITS_MAX 5

static int port_parse(const char *text, uint16_t *port)
{
	uint32_t value = 0;
	size_t n = strspn(text, "0123456789");

	if (n == 0 || n > PORT_DIGITS_MAX || text[n] || text[0] == '0')
		return -EINVAL;
	for (size_t i = 0; i < n; i++)
		value = value * 10 + (uint32_t)(text[i] - '0');
	if (value > UINT16_MAX)
		return -EINVAL;
	*port = (uint16_t)value;
	return 0;
}

/**
 * addr_parse() - parse "A.B.C.D:PORT"
 * @text: text
 * @addr: endpoint, see ADDR(); unchanged on error
 *
 * Return: 0; -EINVAL when @text has another form, or port 0 or address 0.0.0.0.
 */
int addr_parse(const char *text, uint64_t *addr)
{
	char ip[INET_ADDRSTRLEN];
	const char *colon = strchr(text, ':');
	struct in_addr in;
	uint16_t port;

	if (!colon || (size_t)(colon - text) >= sizeof(ip))
		return -EINVAL;
	memcpy(ip, text, (size_t)(colon - text));
	ip[colon - text] = '\0';
	if (inet_pton(AF_INET, ip, &in) != 1 || in.s_addr == 0)
		return -EINVAL;
	if (port_parse(colon + 1, &port))
		return -EINVAL;
	*addr = ADDR(ntohl(in.s_addr), port);
	return 0;
}

/**
 * addr_text() - format an endpoint as "A.B.C.D:PORT"
 * @addr: endpoint, see ADDR()
 * @buf: the text; truncated if @buf is smaller than 22 bytes
 * @size_bytes: size of @buf
 *
 * Return: @buf.
 */
const char *addr_text(uint64_t addr, char *buf, size_t size_bytes)
{
	uint32_t ip = ADDR_IP(addr);

	snprintf(buf, size_bytes, "%u.%u.%u.%u:%u", ip >> 24, ip >> 16 & 0xff,
		 ip >> 8 & 0xff, ip & 0xff, ADDR_PORT(addr));
	return buf;
}
