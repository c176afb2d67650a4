/*
 * Polls targets for their load, a few in each step. The polls have a socket of
 * their own, so that their answers aren't mistaken for answers to requests.
 */
#include "coap_wire.h"
#include "daemon.h"
#include "log.h"

#include <stdlib.h>

#define POLL_STEP_MS 50
#define POLL_MAX_BYTES 64
#define MILLI 1000
/*
 * Limits that hold for any number of entries and targets: polls that one entry
 * sends, and polls that one target gets from all entries of its data centre.
 * Beyond them each target is polled less often; answers to requests report its
 * load too.
 */
#define ENTRY_POLLS_PER_S 40
#define TARGET_POLLS_PER_S 10

/**
 * struct load_polls - polls of the targets' load
 * @socket: socket of the polls
 * @timer: runs on_step()
 * @targets: endpoints of the configured targets, sorted, without duplicates
 * @n: number of targets
 * @next: index of the target to be polled next
 * @due_millipolls: polls that are due, in 1/1000
 * @id: CoAP message id of the next poll
 */
struct load_polls {
	uv_udp_t socket;
	uv_timer_t timer;
	uint64_t *targets;
	uint32_t n;
	uint32_t next;
	uint32_t due_millipolls;
	uint16_t id;
};

static void on_load_report(uv_udp_t *socket, ssize_t n, const uv_buf_t *buf,
			   const struct sockaddr *from, unsigned int flags)
{
	struct daemon *d = socket->loop->data;
	struct load_report report;
	uint64_t now_ns;

	(void)flags;
	if (n <= 0 || !from)
		return;
	if (!coap_wire_parse_load((const uint8_t *)buf->base, (uint32_t)n,
				  &report)) {
		d->dropped[DROP_TARGET_FORMAT]++;
		return;
	}
	now_ns = daemon_run_due_tick(d);
	entry_load_report(d->entry, addr_from_sockaddr(from), &report, now_ns);
}

static uint32_t max_u32(uint32_t a, uint32_t b)
{
	return a > b ? a : b;
}

/* Time between two polls of a target by this entry. */
static uint32_t poll_period_s(const struct daemon *d)
{
	const struct member *all;
	uint32_t n_entries = entry_members(d->entry, &all);
	uint32_t by_entry = d->load_polls->n / ENTRY_POLLS_PER_S;
	uint32_t by_target = n_entries / TARGET_POLLS_PER_S;

	return max_u32(1, max_u32(by_entry, by_target));
}

static void send_poll(struct daemon *d, struct load_polls *polls)
{
	uint8_t buf[POLL_MAX_BYTES];
	int32_t n = coap_wire_load_poll(polls->id++, buf, sizeof(buf));

	if (polls->next >= polls->n)
		polls->next = 0;
	if (n > 0 && !datagram_send(&polls->socket, polls->targets[polls->next],
				    buf, (uint32_t)n))
		d->dropped[DROP_SEND_TARGET]++;
	polls->next++;
}

static void on_step(uv_timer_t *timer)
{
	struct daemon *d = timer->loop->data;
	struct load_polls *polls = d->load_polls;

	if (!polls->n)
		return;
	polls->due_millipolls += polls->n * POLL_STEP_MS / poll_period_s(d);
	for (; polls->due_millipolls >= MILLI; polls->due_millipolls -= MILLI)
		send_poll(d, polls);
}

/**
 * polls_open() - open the socket of the polls and start their timer
 * @d: daemon
 *
 * Return: 0 or a negative error number.
 */
int polls_open(struct daemon *d)
{
	uint64_t source = ADDR(d->settings.target_source_ip, 0);
	char text[32];
	int err;

	d->load_polls = calloc(1, sizeof(*d->load_polls));
	if (!d->load_polls)
		return UV_ENOMEM;
	err = datagram_open(d, &d->load_polls->socket, source, on_load_report);
	if (err) {
		log_line(LOG_ERROR, "polls.bind",
			 addr_text(source, text, sizeof(text)), "%s",
			 uv_strerror(err));
		return err;
	}
	uv_timer_init(d->loop, &d->load_polls->timer);
	return uv_timer_start(&d->load_polls->timer, on_step, POLL_STEP_MS,
			      POLL_STEP_MS);
}

static uint32_t count_targets(const struct config *c)
{
	uint32_t n = 0;

	for (uint32_t i = 0; i < c->n_accounts; i++) {
		const struct account_conf *a = &c->accounts[i];

		for (uint32_t k = 0; k < a->n_services; k++)
			n += a->services[k].n_targets;
	}
	return n;
}

static void copy_targets(const struct config *c, uint64_t *to)
{
	for (uint32_t i = 0; i < c->n_accounts; i++) {
		const struct account_conf *a = &c->accounts[i];

		for (uint32_t k = 0; k < a->n_services; k++) {
			const struct service_conf *s = &a->services[k];

			for (uint32_t t = 0; t < s->n_targets; t++)
				*to++ = s->targets[t].addr;
		}
	}
}

static int compare_u64(const void *a, const void *b)
{
	uint64_t x = *(const uint64_t *)a;
	uint64_t y = *(const uint64_t *)b;

	return x < y ? -1 : x > y;
}

/*
 * Sorts the endpoints and removes duplicates: a target of two services is
 * polled once. Return: number that remain.
 */
static uint32_t sort_unique(uint64_t *list, uint32_t n)
{
	uint32_t kept = 0;

	qsort(list, n, sizeof(*list), compare_u64);
	for (uint32_t i = 0; i < n; i++) {
		if (!kept || list[kept - 1] != list[i])
			list[kept++] = list[i];
	}
	return kept;
}

/**
 * polls_apply_config() - set the targets to poll from the configuration
 * @d: daemon
 */
void polls_apply_config(struct daemon *d)
{
	uint32_t n = count_targets(&d->config);
	uint64_t *list = calloc(n + 1, sizeof(*list));

	if (!list)
		return;
	copy_targets(&d->config, list);
	free(d->load_polls->targets);
	d->load_polls->targets = list;
	d->load_polls->n = sort_unique(list, n);
	/*
	 * Entries that start together begin at different targets, so that they
	 * don't poll each target at the same time.
	 */
	d->load_polls->next =
		d->load_polls->n ? d->incarnation % d->load_polls->n : 0;
}

/**
 * polls_close() - free the polls, after the loop has closed their handles
 * @d: daemon
 */
void polls_close(struct daemon *d)
{
	if (d->load_polls)
		free(d->load_polls->targets);
	free(d->load_polls);
	d->load_polls = NULL;
}
