#include "settings.h"
#include "sim.h"

#include <arpa/inet.h>
#include <stdio.h>
#include <string.h>

/**
 * sim_sockaddr() - an address for the socket calls
 * @addr: address
 * @sin: filled
 */
void sim_sockaddr(uint64_t addr, struct sockaddr_in *sin)
{
	memset(sin, 0, sizeof(*sin));
	sin->sin_family = AF_INET;
	sin->sin_addr.s_addr = htonl(ADDR_IP(addr));
	sin->sin_port = htons(ADDR_PORT(addr));
}

/**
 * sim_addr() - an address from the socket calls
 * @sa: IPv4 socket address
 *
 * Return: the address.
 */
uint64_t sim_addr(const struct sockaddr *sa)
{
	const struct sockaddr_in *sin = (const struct sockaddr_in *)sa;

	return ADDR(ntohl(sin->sin_addr.s_addr), ntohs(sin->sin_port));
}

/**
 * sim_udp_bind() - open a UDP socket on a loop
 * @loop: loop
 * @udp: handle to set up
 * @addr: address to bind
 * @program: name, for the message
 * @step: what it is for, for the message
 *
 * Return: 0, or a negative error after it was printed.
 */
int sim_udp_bind(uv_loop_t *loop, uv_udp_t *udp, uint64_t addr,
		 const char *program, const char *step)
{
	struct sockaddr_in sin;
	char text[32];
	int rc;

	sim_sockaddr(addr, &sin);
	rc = uv_udp_init(loop, udp);
	if (!rc)
		rc = uv_udp_bind(udp, (struct sockaddr *)&sin, 0);
	if (rc)
		fprintf(stderr, "%s: %s %s: %s\n", program, step,
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
 * sim_loop_close() - close every handle of a loop, and the loop
 * @loop: loop, not running
 */
void sim_loop_close(uv_loop_t *loop)
{
	uv_walk(loop, close_handle, NULL);
	uv_run(loop, UV_RUN_DEFAULT);
	uv_loop_close(loop);
}

/**
 * sim_timer_arm() - have a timer go off once
 * @timer: timer
 * @at: its callback
 * @deadline_ns: when, UINT64_MAX for not at all
 * @now_ns: time
 */
void sim_timer_arm(uv_timer_t *timer, uv_timer_cb at, uint64_t deadline_ns,
		   uint64_t now_ns)
{
	uint64_t wait_ns = deadline_ns > now_ns ? deadline_ns - now_ns : 0;

	if (deadline_ns == UINT64_MAX)
		return;
	uv_update_time(timer->loop);
	uv_timer_start(timer, at, (wait_ns + NS_PER_MS - 1) / NS_PER_MS, 0);
}
