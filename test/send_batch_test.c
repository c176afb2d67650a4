/* Batches of datagrams, on loopback. */
#include "loopback.h"
#include "send_batch.h"

#include <netinet/in.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>
#include <cmocka.h>

/* The kernel refuses to send to a broadcast address. */
#define REFUSED ADDR(0x7fffffff, 9)

static int open_receiver(uint64_t *addr)
{
	int fd = socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK, 0);
	struct sockaddr_in in = { .sin_family = AF_INET,
				  .sin_addr.s_addr = htonl(loopback_host()) };
	socklen_t size = sizeof(in);

	assert_int_equal(bind(fd, (struct sockaddr *)&in, sizeof(in)), 0);
	getsockname(fd, (struct sockaddr *)&in, &size);
	*addr = ADDR(ntohl(in.sin_addr.s_addr), ntohs(in.sin_port));
	return fd;
}

static void add(struct send_batch *batch, uint64_t to, uint8_t byte)
{
	batch->to[batch->n] = to;
	batch->head[batch->n][0] = byte;
	batch->head_bytes[batch->n] = 1;
	batch->data_bytes[batch->n] = 0;
	batch->n++;
}

/* All datagrams of a batch would be lost, because the first one goes to a target
 * that cannot be reached. */
static void test_refused_destination_costs_only_its_datagram(void **state)
{
	/* Bit i: the destination of datagram i is refused. */
	static const uint8_t patterns[] = { 0x00, 0x01, 0x80, 0x55,
					    0xaa, 0xe7, 0xff };
	struct send_batch batch = { 0 };
	int sender = socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK, 0);
	uint64_t addr;
	int receiver = open_receiver(&addr);

	(void)state;
	for (size_t p = 0; p < sizeof(patterns); p++) {
		uint32_t good = 0;
		uint8_t byte;

		for (uint8_t i = 0; i < 8; i++)
			add(&batch, patterns[p] >> i & 1 ? REFUSED : addr, i);
		for (uint8_t i = 0; i < 8; i++)
			good += !(patterns[p] >> i & 1);
		assert_int_equal(send_batch_flush(sender, &batch), good);
		assert_int_equal(batch.n, 0);
		for (uint8_t i = 0; i < 8; i++) {
			if (patterns[p] >> i & 1)
				continue;
			assert_int_equal(recv(receiver, &byte, 1, 0), 1);
			assert_int_equal(byte, i);
		}
		assert_int_equal(recv(receiver, &byte, 1, 0), -1);
	}
	close(sender);
	close(receiver);
}

static void test_empty_batch_sends_nothing(void **state)
{
	struct send_batch batch = { 0 };

	(void)state;
	assert_int_equal(send_batch_flush(-1, &batch), 0);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(
			test_refused_destination_costs_only_its_datagram),
		cmocka_unit_test(test_empty_batch_sends_nothing),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
