/* sim-tell: send one command to a stand-in's control port, print its answer. */
#include "settings.h"

#include <arpa/inet.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#define ANSWER_TIMEOUT_S 1
#define LINE_BYTES 1024

/* The words of @argv as one line. */
static size_t join(int argc, char **argv, char *line, size_t size_bytes)
{
	size_t used = 0;

	line[0] = '\0';
	for (int i = 0; i < argc && used < size_bytes; i++)
		used += (size_t)snprintf(line + used, size_bytes - used, "%s%s",
					 i ? " " : "", argv[i]);
	return used < size_bytes ? used : size_bytes - 1;
}

static int dial(uint64_t addr)
{
	struct sockaddr_in sin = {
		.sin_family = AF_INET,
		.sin_port = htons(ADDR_PORT(addr)),
		.sin_addr.s_addr = htonl(ADDR_IP(addr)),
	};
	struct timeval timeout = { .tv_sec = ANSWER_TIMEOUT_S };
	int fd = socket(AF_INET, SOCK_DGRAM, 0);

	if (fd < 0)
		return -1;
	if (setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &timeout,
		       sizeof(timeout)) == 0 &&
	    connect(fd, (const struct sockaddr *)&sin, sizeof(sin)) == 0)
		return fd;
	close(fd);
	return -1;
}

int main(int argc, char **argv)
{
	char line[LINE_BYTES];
	uint64_t addr;
	ssize_t n;
	int fd;

	if (argc < 3 || addr_parse(argv[1], &addr) < 0) {
		fprintf(stderr, "usage: sim-tell ADDRESS:PORT COMMAND...\n");
		return 2;
	}
	n = (ssize_t)join(argc - 2, argv + 2, line, sizeof(line));
	fd = dial(addr);
	if (fd < 0 || send(fd, line, (size_t)n, 0) != n) {
		perror(argv[1]);
		return 1;
	}
	n = recv(fd, line, sizeof(line) - 1, 0);
	close(fd);
	if (n < 0) {
		perror(argv[1]);
		return 1;
	}
	line[n] = '\0';
	fputs(line, stdout);
	return strncmp(line, "error", 5) == 0;
}
