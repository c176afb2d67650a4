#include "fabric.h"

#include <signal.h>
#include <stdio.h>

#define DELAYED_MAX 16384
#define SOCKET_BUFFER_BYTES (4 << 20)

static const char program[] = "sim-fabric";

/* Reserves space for the header, so that the datagram need not be moved. */
static void vip_alloc(uv_handle_t *h, size_t hint, uv_buf_t *buf)
{
	struct port *p = h->data;

	(void)hint;
	*buf = uv_buf_init((char *)p->fabric->datagram.data + PROXY2_BYTES,
			   FABRIC_DATAGRAM_BYTES - PROXY2_BYTES);
}

static void vip_recv(uv_udp_t *udp, ssize_t n, const uv_buf_t *buf,
		     const struct sockaddr *from, unsigned int flags)
{
	struct port *p = udp->data;

	(void)buf;
	if (n < 0 || !from)
		return;
	if (flags & UV_UDP_PARTIAL)
		p->fabric->counts[COUNT_MALFORMED]++;
	else
		fabric_from_caller(p, sim_addr(from), (uint32_t)n);
}

static void entry_alloc(uv_handle_t *h, size_t hint, uv_buf_t *buf)
{
	struct port *p = h->data;

	(void)hint;
	*buf = uv_buf_init((char *)p->fabric->datagram.data,
			   FABRIC_DATAGRAM_BYTES);
}

static void entry_recv(uv_udp_t *udp, ssize_t n, const uv_buf_t *buf,
		       const struct sockaddr *from, unsigned int flags)
{
	struct port *p = udp->data;

	if (n < 0 || !from)
		return;
	if (flags & UV_UDP_PARTIAL)
		p->fabric->counts[COUNT_MALFORMED]++;
	else
		fabric_from_entry(p->fabric, sim_addr(from),
				  (const uint8_t *)buf->base, (uint32_t)n);
}

static int open_port(struct fabric *f, uint64_t addr, const char *step,
		     uv_alloc_cb alloc, uv_udp_recv_cb recv)
{
	struct port *p = &f->ports[f->n_ports];
	int size_bytes = SOCKET_BUFFER_BYTES;
	int rc = sim_udp_bind(&f->loop, &p->udp, addr, program, step);

	if (rc)
		return rc;
	p->udp.data = p;
	p->fabric = f;
	p->addr = addr;
	p->index = f->n_ports++;
	uv_recv_buffer_size((uv_handle_t *)&p->udp, &size_bytes);
	size_bytes = SOCKET_BUFFER_BYTES;
	uv_send_buffer_size((uv_handle_t *)&p->udp, &size_bytes);
	return uv_udp_recv_start(&p->udp, alloc, recv);
}

static void on_term(uv_signal_t *sig, int number)
{
	struct fabric *f = sig->data;

	(void)number;
	uv_stop(&f->loop);
}

static int open_ports(struct fabric *f)
{
	uint32_t i;
	int rc = 0;

	for (i = 0; i < f->opt.n_vips && !rc; i++)
		rc = open_port(f, f->opt.vips[i], "vip", vip_alloc, vip_recv);
	if (!rc)
		rc = open_port(f, f->opt.listen, "listen", entry_alloc,
			       entry_recv);
	return rc;
}

/**
 * fabric_open() - open the sockets and the control port
 * @f: zeroed but for @opt
 *
 * Return: 0, or a negative error after printing an error message.
 */
int fabric_open(struct fabric *f)
{
	int rc;

	uv_loop_init(&f->loop);
	uv_timer_init(&f->loop, &f->timer);
	f->timer.data = f;
	uv_signal_init(&f->loop, &f->term);
	f->term.data = f;
	uv_signal_start(&f->term, on_term, SIGTERM);
	f->delayed = delay_queue_new(DELAYED_MAX);
	f->select_rng.state = hash_u64(f->opt.seed, 1) | 1;
	f->faults.rng.state = hash_u64(f->opt.seed, 2) | 1;
	entries_set(&f->entries, f->opt.entries, f->opt.n_entries);
	f->control.ctx = f;
	f->control.commands = fabric_commands;
	rc = open_ports(f);
	if (!rc && f->opt.control)
		rc = control_open(&f->control, &f->loop, f->opt.control,
				  program);
	return rc;
}
