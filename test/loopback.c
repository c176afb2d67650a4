/* Reserves a loopback address for the test process by a socket bound to it. */
#include "loopback.h"

#include <arpa/inet.h>
#include <stdio.h>
#include <stdlib.h>
#include <sys/socket.h>
#include <unistd.h>

#define LOOPBACK_LOCK_PORT 19999
/* 127.40.0.0/16 without its first and last address. */
#define FIRST_HOST 0x7f280001u
#define N_HOSTS 0xfffeu

static int reserve(uint32_t host)
{
	struct sockaddr_in at = {
		.sin_family = AF_INET,
		.sin_port = htons(LOOPBACK_LOCK_PORT),
		.sin_addr.s_addr = htonl(host),
	};
	int fd = socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);

	if (fd < 0)
		return -1;
	if (bind(fd, (struct sockaddr *)&at, sizeof(at)) == 0)
		return 0;
	close(fd);
	return -1;
}

uint32_t loopback_host(void)
{
	static uint32_t reserved;
	uint32_t first = (uint32_t)getpid();

	for (uint32_t i = 0; !reserved && i < N_HOSTS; i++) {
		uint32_t host = FIRST_HOST + (first + i) % N_HOSTS;

		if (reserve(host) == 0)
			reserved = host;
	}
	if (!reserved) {
		fprintf(stderr, "loopback_host: all addresses are in use\n");
		exit(1);
	}
	return reserved;
}
