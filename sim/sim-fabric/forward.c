#include "fabric.h"

#include <string.h>

static void send_now(struct fabric *f, const struct delayed_datagram *datagram)
{
	uv_buf_t buf =
		uv_buf_init((char *)datagram->data, datagram->size_bytes);
	struct sockaddr_in to;
	int rc;

	sim_sockaddr(datagram->to, &to);
	rc = uv_udp_try_send(&f->ports[datagram->via].udp, &buf, 1,
			     (struct sockaddr *)&to);
	if (rc < 0)
		f->counts[COUNT_UNSENT]++;
}

static void on_timer(uv_timer_t *timer)
{
	fabric_send_due(timer->data);
}

static void arm_timer(struct fabric *f, uint64_t now_ns)
{
	sim_timer_arm(&f->timer, on_timer, delay_queue_next_ns(f->delayed),
		      now_ns);
}

/**
 * fabric_send_due() - send the delayed datagrams that are due
 * @f: fabric
 */
void fabric_send_due(struct fabric *f)
{
	uint64_t now_ns = uv_hrtime();
	const struct delayed_datagram *datagram;

	while ((datagram = delay_queue_pop_due(f->delayed, now_ns)))
		send_now(f, datagram);
	arm_timer(f, now_ns);
}

static void delay(struct fabric *f, struct delayed_datagram *datagram,
		  uint64_t delay_ns)
{
	uint64_t now_ns = uv_hrtime();

	datagram->due_ns = now_ns + delay_ns;
	if (delay_queue_put(f->delayed, datagram)) {
		f->counts[COUNT_UNSENT]++;
		return;
	}
	f->counts[COUNT_DELAYED]++;
	if (delay_queue_next_ns(f->delayed) == datagram->due_ns)
		arm_timer(f, now_ns);
}

static void forward(struct fabric *f, struct delayed_datagram *datagram)
{
	struct datagram_faults drawn = faults_draw(&f->faults);
	uint32_t i;

	f->counts[COUNT_DROPPED] += drawn.n_copies == 0;
	f->counts[COUNT_DUPLICATED] += drawn.n_copies > 1;
	for (i = 0; i < drawn.n_copies; i++) {
		if (drawn.delay_ns[i])
			delay(f, datagram, drawn.delay_ns[i]);
		else
			send_now(f, datagram);
	}
}

/**
 * fabric_from_caller() - forward the datagram of a caller to any entry
 * @vip: port of the VIP that received the datagram
 * @caller: source address of the datagram
 * @size_bytes: size of the datagram, which is in the buffer of the fabric after
 *	the space for the header
 */
void fabric_from_caller(struct port *vip, uint64_t caller, uint32_t size_bytes)
{
	struct fabric *f = vip->fabric;
	const struct fabric_entry *entry =
		entries_select(&f->entries, &f->select_rng);

	if (!entry || entry->partitioned) {
		f->counts[COUNT_PARTITIONED]++;
		return;
	}
	proxy2_write(f->datagram.data, caller, vip->addr);
	f->datagram.size_bytes = size_bytes + PROXY2_BYTES;
	f->datagram.to = entry->addr;
	f->datagram.via = f->n_ports - 1;
	f->counts[COUNT_TO_ENTRIES]++;
	forward(f, &f->datagram);
}

static struct port *find_vip(struct fabric *f, uint64_t addr)
{
	uint32_t i;

	for (i = 0; i + 1 < f->n_ports; i++) {
		if (f->ports[i].addr == addr)
			return &f->ports[i];
	}
	return NULL;
}

/**
 * fabric_from_entry() - forward the answer of an entry to the caller
 * @f: fabric
 * @entry: source address of the answer
 * @data: PROXY header with the caller and the VIP, followed by the datagram
 * @size_bytes: size of header and datagram
 */
void fabric_from_entry(struct fabric *f, uint64_t entry, const uint8_t *data,
		       uint32_t size_bytes)
{
	uint64_t vip_addr;
	uint64_t caller;
	struct port *vip = NULL;
	int header = proxy2_read(data, size_bytes, &vip_addr, &caller);

	if (header > 0)
		vip = find_vip(f, vip_addr);
	if (!vip) {
		f->counts[COUNT_MALFORMED]++;
		return;
	}
	if (entries_is_partitioned(&f->entries, entry)) {
		f->counts[COUNT_PARTITIONED]++;
		return;
	}
	f->datagram.size_bytes = size_bytes - (uint32_t)header;
	memmove(f->datagram.data, data + header, f->datagram.size_bytes);
	f->datagram.to = caller;
	f->datagram.via = vip->index;
	f->counts[COUNT_TO_CALLERS]++;
	forward(f, &f->datagram);
}
