#include "fabric.h"

#include <string.h>

static void send_now(struct fabric *f, const struct held *h)
{
	uv_buf_t buf = uv_buf_init((char *)h->data, h->size_bytes);
	struct sockaddr_in to;
	int rc;

	sim_sockaddr(h->to, &to);
	rc = uv_udp_try_send(&f->ports[h->via].udp, &buf, 1,
			     (struct sockaddr *)&to);
	if (rc < 0)
		f->counts[COUNT_UNSENT]++;
}

static void on_timer(uv_timer_t *timer)
{
	fabric_release(timer->data);
}

static void arm(struct fabric *f, uint64_t now_ns)
{
	sim_timer_arm(&f->timer, on_timer, held_next_ns(f->held), now_ns);
}

/**
 * fabric_release() - send what was held back and is due
 * @f: fabric
 */
void fabric_release(struct fabric *f)
{
	uint64_t now_ns = uv_hrtime();
	const struct held *h;

	while ((h = held_take(f->held, now_ns)))
		send_now(f, h);
	arm(f, now_ns);
}

static void hold(struct fabric *f, struct held *h, uint64_t delay_ns)
{
	uint64_t now_ns = uv_hrtime();

	h->due_ns = now_ns + delay_ns;
	if (held_put(f->held, h)) {
		f->counts[COUNT_UNSENT]++;
		return;
	}
	f->counts[COUNT_DELAYED]++;
	if (held_next_ns(f->held) == h->due_ns)
		arm(f, now_ns);
}

static void carry(struct fabric *f, struct held *h)
{
	struct fate fate = faults_draw(&f->faults);
	uint32_t i;

	f->counts[COUNT_DROPPED] += fate.n_copies == 0;
	f->counts[COUNT_DUPLICATED] += fate.n_copies > 1;
	for (i = 0; i < fate.n_copies; i++) {
		if (fate.delay_ns[i])
			hold(f, h, fate.delay_ns[i]);
		else
			send_now(f, h);
	}
}

/**
 * fabric_from_caller() - hand a caller's datagram to any entry
 * @vip: port of the VIP it was sent to
 * @caller: its source
 * @size_bytes: its size; it stands behind the header's place in the
 *	fabric's buffer
 */
void fabric_from_caller(struct port *vip, uint64_t caller, uint32_t size_bytes)
{
	struct fabric *f = vip->fabric;
	const struct entry_slot *entry = entries_pick(&f->entries, &f->spray);

	if (!entry || entry->cut) {
		f->counts[COUNT_CUT]++;
		return;
	}
	proxy2_write(f->datagram.data, caller, vip->addr);
	f->datagram.size_bytes = size_bytes + PROXY2_BYTES;
	f->datagram.to = entry->addr;
	f->datagram.via = f->n_ports - 1;
	f->counts[COUNT_TO_ENTRIES]++;
	carry(f, &f->datagram);
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
 * fabric_from_entry() - hand an entry's answer to the caller
 * @f: fabric
 * @entry: its source
 * @data: header and datagram
 * @size_bytes: size of both
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
	if (entries_is_cut(&f->entries, entry)) {
		f->counts[COUNT_CUT]++;
		return;
	}
	f->datagram.size_bytes = size_bytes - (uint32_t)header;
	memmove(f->datagram.data, data + header, f->datagram.size_bytes);
	f->datagram.to = caller;
	f->datagram.via = vip->index;
	f->counts[COUNT_TO_CALLERS]++;
	carry(f, &f->datagram);
}
