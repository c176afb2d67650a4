#include "settings.h"
#include "sim.h"

#include <arpa/inet.h>
#include <stdio.h>
#include <string.h>

/**
 * sim_sockaddr() - convert an address to a socket address
 * @addr: IPv4 address and port
 * @sin: receives the socket address
 */
void sim_sockaddr(uint64_t addr, struct sockaddr_in *sin)
{
	memset(sin, 0, sizeof(*sin));
	sin->sin_family = AF_INET;
	sin->sin_addr.s_addr = htonl(ADDR_IP(addr));
	sin->sin_port = htons(ADDR_PORT(addr));
}

/**
 * sim_addr() - convert a socket address to an address
 * @sa: IPv4 socket address
 *
 * Return: IPv4 address and port.
 */
uint64_t sim_addr(const struct sockaddr *sa)
{
	const struct sockaddr_in *sin = (const struct sockaddr_in *)sa;

	return ADDR(ntohl(sin->sin_addr.s_addr), ntohs(sin->sin_port));
}

/**
 * sim_udp_bind() - initialise and bind a UDP socket
 * @loop: event loop
 * @udp: handle to initialise
 * @addr: address to bind
 * @program: program name for the error message
 * @purpose: name of the socket for the error message
 *
 * Return: 0, or a negative error of libuv after printing an error message.
 */
int sim_udp_bind(uv_loop_t *loop, uv_udp_t *udp, uint64_t addr,
		 const char *program, const char *purpose)
{
	struct sockaddr_in sin;
	char text[32];
	int rc;

	sim_sockaddr(addr, &sin);
	rc = uv_udp_init(loop, udp);
	if (!rc)
		rc = uv_udp_bind(udp, (struct sockaddr *)&sin, 0);
	if (rc)
		fprintf(stderr, "%s: %s %s: %s\n", program, purpose,
			addr_text(addr, text, sizeof(text)), uv_strerror(rc));
	return rc;
}

static void close_handle(uv_handle_t *h, void *arg)
{
	(void)arg;
	if (!uv_is_closing(h))
		uv_close(h, NULL);
}

/**
 * sim_loop_close() - close an event loop with all its handles
 * @loop: event loop, not running
 */
void sim_loop_close(uv_loop_t *loop)
{
	uv_walk(loop, close_handle, NULL);
	uv_run(loop, UV_RUN_DEFAULT);
	uv_loop_close(loop);
}

/**
 * sim_timer_arm() - start a one-shot timer
 * @timer: timer
 * @callback: called when the timer expires
 * @deadline_ns: monotonic time at which it expires, rounded up to 1 ms;
 *	UINT64_MAX leaves the timer as it is
 * @now_ns: monotonic time
 */
void sim_timer_arm(uv_timer_t *timer, uv_timer_cb callback,
		   uint64_t deadline_ns, uint64_t now_ns)
{
	uint64_t wait_ns = deadline_ns > now_ns ? deadline_ns - now_ns : 0;

	if (deadline_ns == UINT64_MAX)
		return;
	uv_update_time(timer->loop);
	uv_timer_start(timer, callback, (wait_ns + NS_PER_MS - 1) / NS_PER_MS,
		       0);
}
