/* Measures the time of one send and one receive of a datagram on loopback. */
#include "cluster.h"

#include <arpa/inet.h>
#include <stdlib.h>
#include <unistd.h>

#define SIZES 3
#define BURST 32
#define DATAGRAM_BYTES 100
#define LOOPBACK 0x7f5a0001

static int open_socket(struct sockaddr_in *bound)
{
	socklen_t size = sizeof(*bound);
	int fd = socket(AF_INET, SOCK_DGRAM, 0);

	*bound = (struct sockaddr_in){ .sin_family = AF_INET,
				       .sin_addr.s_addr = htonl(LOOPBACK) };
	if (fd < 0 || bind(fd, (struct sockaddr *)bound, size) < 0 ||
	    getsockname(fd, (struct sockaddr *)bound, &size) < 0)
		exit(EXIT_FAILURE);
	return fd;
}

static void measure_datagrams(uint32_t n)
{
	uint8_t buf[DATAGRAM_BYTES] = { 0 };
	struct sockaddr_in to, from;
	int receiver = open_socket(&to);
	int sender = open_socket(&from);
	uint64_t start_ns = clock_ns();

	for (uint32_t i = 0; i < n; i += BURST) {
		for (uint32_t k = 0; k < BURST; k++)
			if (sendto(sender, buf, sizeof(buf), 0,
				   (struct sockaddr *)&to, sizeof(to)) < 0)
				exit(EXIT_FAILURE);
		for (uint32_t k = 0; k < BURST; k++)
			if (recv(receiver, buf, sizeof(buf), 0) < 0)
				exit(EXIT_FAILURE);
	}
	report("us_datagram_sent_received", n,
	       (double)(clock_ns() - start_ns) / 1000, "us");
	close(sender);
	close(receiver);
}

void measure_socket(void)
{
	static const uint32_t sizes[SIZES] = { 3200, 12800, 51200 };

	for (uint32_t i = 0; i < SIZES; i++)
		measure_datagrams(sizes[i]);
}
