/*
 * bed: stand-ins for a deployment of cb-packet on loopback, in one process: the
 * platform's store, endpoints, clients and the operator. It follows the users'
 * pages (PROTOCOL.md); where these are silent it does what a sound store,
 * endpoint or client does. It plays one scenario, writes what was sent,
 * answered and run to record.txt, and judges one rule.
 *
 * usage: bed ports BASE ENTRIES
 *        bed SCENARIO BASE ENTRIES TROUBLE RECORD
 */
#define _GNU_SOURCE
#include "bed.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

struct bed bed;

uint64_t now_us(void)
{
	struct timespec t;

	clock_gettime(CLOCK_MONOTONIC, &t);
	return (uint64_t)t.tv_sec * 1000000 + (uint64_t)t.tv_nsec / 1000;
}

/* Milliseconds since the start of the scenario, for the record. */
double at_ms(uint64_t us)
{
	return ((double)us - (double)bed.start_us) / 1000;
}

void note(const char *format, ...)
{
	va_list ap;

	fprintf(bed.record, "%10.1f ", at_ms(now_us()));
	va_start(ap, format);
	vfprintf(bed.record, format, ap);
	va_end(ap);
	fputc('\n', bed.record);
}

void fail_setup(const char *what)
{
	fprintf(stderr, "bed: %s: %s\n", what, strerror(errno));
	exit(2);
}

struct sockaddr_in address(uint32_t ip, uint16_t port)
{
	return (struct sockaddr_in){ .sin_family = AF_INET,
				     .sin_port = htons(port),
				     .sin_addr.s_addr = htonl(ip) };
}

int bound_socket(int type, uint32_t ip, uint16_t port)
{
	struct sockaddr_in at = address(ip, port);
	int one = 1, buffer = 1 << 20;
	int fd = socket(AF_INET, type | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);

	if (fd < 0)
		return -1;
	if (type == SOCK_STREAM)
		setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
	else
		setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &buffer, sizeof(buffer));
	if (bind(fd, (struct sockaddr *)&at, sizeof(at)) ||
	    (type == SOCK_STREAM && listen(fd, 256))) {
		close(fd);
		return -1;
	}
	return fd;
}

void watch_fd(int fd, void *handle, uint32_t events)
{
	struct epoll_event e = { .events = events, .data.ptr = handle };

	if (epoll_ctl(bed.epoll, EPOLL_CTL_ADD, fd, &e))
		fail_setup("epoll_ctl");
}

uint64_t next_random(void)
{
	bed.random ^= bed.random << 13;
	bed.random ^= bed.random >> 7;
	bed.random ^= bed.random << 17;
	return bed.random;
}

/* Whether all addresses of a deployment with this first port are free. */
static bool ports_are_free(uint16_t base, uint32_t entries)
{
	static const uint16_t offsets[] = { 0, 1, 2, 3 };
	int fds[2048];
	uint32_t n = 0;
	bool all = true;

	for (uint32_t e = 1; e <= entries; e++)
		for (uint32_t i = 0; i < 4; i++) {
			uint16_t port = base + offsets[i];
			uint32_t ip = ENTRY_IP + e;

			fds[n++] = bound_socket(SOCK_STREAM, ip, port);
			fds[n++] = bound_socket(SOCK_DGRAM, ip, port);
		}
	fds[n++] = bound_socket(SOCK_STREAM, STORE_IP, base + STORE_PORT);
	for (uint32_t i = 0; i < ENDPOINTS_PER_IP; i++) {
		uint16_t port = base + ENDPOINT_PORT + i;

		fds[n++] = bound_socket(SOCK_STREAM, ENDPOINT_IP + 1, port);
	}
	for (uint32_t i = 0; i < n; i++) {
		all &= fds[i] >= 0;
		if (fds[i] >= 0)
			close(fds[i]);
	}
	return all;
}

static void raise_descriptor_limit(void)
{
	struct rlimit limit;

	if (!getrlimit(RLIMIT_NOFILE, &limit)) {
		limit.rlim_cur = limit.rlim_max;
		setrlimit(RLIMIT_NOFILE, &limit);
	}
}

static void run_loop(void)
{
	struct epoll_event events[256];

	while (!bed.done) {
		int n = epoll_wait(bed.epoll, events, 256, 1);

		for (int i = 0; i < n; i++) {
			struct handle *h = events[i].data.ptr;

			h->ready(h, events[i].events);
		}
		store_tick();
		endpoints_tick();
		clients_tick();
		scenario_tick();
	}
}

int main(int argc, char **argv)
{
	raise_descriptor_limit();
	if (argc == 4 && !strcmp(argv[1], "ports"))
		return !ports_are_free((uint16_t)atoi(argv[2]),
				       (uint32_t)atoi(argv[3]));
	if (argc != 6) {
		fprintf(stderr, "usage: bed SCENARIO BASE ENTRIES TROUBLE "
				"RECORD\n");
		return 2;
	}
	bed.scenario = argv[1];
	bed.base = (uint16_t)atoi(argv[2]);
	bed.n_entries = (uint32_t)atoi(argv[3]);
	bed.trouble = atoi(argv[4]);
	bed.record = fopen(argv[5], "w");
	bed.random = now_us() * 2654435761u | 1;
	bed.start_us = now_us();
	bed.epoll = epoll_create1(EPOLL_CLOEXEC);
	if (!bed.record || bed.epoll < 0)
		fail_setup("start");
	scenario_open();
	run_loop();
	fclose(bed.record);
	return bed.result;
}
