/*
 * Datagrams from and to callers. In fabric mode one socket receives those that
 * the fabric forwards, with a PROXY header; in direct mode each VIP of the
 * configuration has its own socket.
 */
#include "coap_wire.h"
#include "daemon.h"
#include "log.h"
#include "proxy2.h"

#include <stdlib.h>
#include <string.h>

/**
 * struct vip_socket - socket bound to a VIP
 * @socket: socket; its data is this struct
 * @vip: endpoint
 * @in_config: the configuration in force has the VIP
 */
struct vip_socket {
	uv_udp_t socket;
	uint64_t vip;
	bool in_config;
};

/**
 * struct vip_sockets - sockets of all VIPs, in direct mode
 * @list: sockets, sorted by VIP
 * @n: number of sockets
 * @capacity: allocated number of elements of @list
 * @bind_failed: a VIP of the configuration could not be bound
 */
struct vip_sockets {
	struct vip_socket **list;
	uint32_t n;
	uint32_t capacity;
	bool bind_failed;
};

static void handle_datagram(struct daemon *d, const struct flow_key *key,
			    const uint8_t *buf, uint32_t size_bytes)
{
	uint64_t now_ns = daemon_run_due_tick(d);
	struct message msg;

	if (coap_wire_parse(buf, size_bytes, &msg)) {
		d->dropped[DROP_CALLER_FORMAT]++;
		return;
	}
	entry_caller(d->entry, key, &msg, now_ns, &d->actions);
	actions_execute(d);
}

static void on_fabric_datagram(uv_udp_t *socket, ssize_t n, const uv_buf_t *buf,
			       const struct sockaddr *from, unsigned int flags)
{
	struct daemon *d = socket->loop->data;
	const uint8_t *bytes = (const uint8_t *)buf->base;
	struct flow_key key;
	int header_bytes;

	(void)flags;
	if (n <= 0 || !from)
		return;
	header_bytes = proxy2_read(bytes, (uint32_t)n, &key.caller, &key.vip);
	if (header_bytes < 0) {
		d->dropped[DROP_PROXY]++;
		return;
	}
	handle_datagram(d, &key, bytes + header_bytes,
			(uint32_t)(n - header_bytes));
}

static void on_vip_datagram(uv_udp_t *socket, ssize_t n, const uv_buf_t *buf,
			    const struct sockaddr *from, unsigned int flags)
{
	const struct vip_socket *v = socket->data;
	struct flow_key key = { .vip = v->vip };

	(void)flags;
	if (n <= 0 || !from)
		return;
	key.caller = addr_from_sockaddr(from);
	handle_datagram(socket->loop->data, &key, (const uint8_t *)buf->base,
			(uint32_t)n);
}

/**
 * callers_open() - open the socket for callers, in fabric mode
 * @d: daemon
 *
 * In direct mode callers_apply_config() opens the sockets.
 *
 * Return: 0 or a negative error number.
 */
int callers_open(struct daemon *d)
{
	char text[32];
	int err;

	d->vip_sockets = calloc(1, sizeof(*d->vip_sockets));
	if (!d->vip_sockets)
		return UV_ENOMEM;
	if (d->settings.callers_mode == CALLERS_DIRECT)
		return 0;
	err = datagram_open(d, &d->fabric_socket, d->settings.callers_listen,
			    on_fabric_datagram);
	if (err)
		log_line(LOG_ERROR, "callers.bind",
			 addr_text(d->settings.callers_listen, text,
				   sizeof(text)),
			 "%s", uv_strerror(err));
	return err;
}

static void vip_closed(uv_handle_t *handle)
{
	free(handle->data);
}

static void vip_close(struct vip_socket *v)
{
	uv_close((uv_handle_t *)&v->socket, vip_closed);
}

/* Index of the first VIP that is not below @vip. */
static uint32_t vip_lower_bound(const struct vip_sockets *s, uint64_t vip)
{
	uint32_t low = 0;
	uint32_t high = s->n;

	while (low < high) {
		uint32_t mid = low + (high - low) / 2;

		if (s->list[mid]->vip < vip)
			low = mid + 1;
		else
			high = mid;
	}
	return low;
}

static bool vip_insert(struct vip_sockets *s, uint32_t at, struct vip_socket *v)
{
	struct vip_socket **grown = s->list;

	if (s->n == s->capacity) {
		s->capacity = s->capacity ? s->capacity * 2 : 16;
		grown = realloc(s->list, s->capacity * sizeof(*grown));
	}
	if (!grown)
		return false;
	s->list = grown;
	memmove(&grown[at + 1], &grown[at], (s->n - at) * sizeof(*grown));
	grown[at] = v;
	s->n++;
	return true;
}

static void vip_open(struct daemon *d, uint32_t at, uint64_t vip)
{
	struct vip_socket *v = calloc(1, sizeof(*v));
	char text[32];
	int err;

	if (!v)
		return;
	v->vip = vip;
	v->in_config = true;
	err = datagram_open(d, &v->socket, vip, on_vip_datagram);
	v->socket.data = v;
	if (!err && vip_insert(d->vip_sockets, at, v))
		return;
	d->vip_sockets->bind_failed = true;
	log_line(LOG_ERROR, "callers.bind", addr_text(vip, text, sizeof(text)),
		 "%s", uv_strerror(err ? err : UV_ENOMEM));
	vip_close(v);
}

static void vip_keep_or_open(struct daemon *d, uint64_t vip)
{
	uint32_t at = vip_lower_bound(d->vip_sockets, vip);

	if (at < d->vip_sockets->n && d->vip_sockets->list[at]->vip == vip)
		d->vip_sockets->list[at]->in_config = true;
	else
		vip_open(d, at, vip);
}

static void vips_close_removed(struct vip_sockets *s)
{
	uint32_t kept = 0;

	for (uint32_t i = 0; i < s->n; i++) {
		if (s->list[i]->in_config)
			s->list[kept++] = s->list[i];
		else
			vip_close(s->list[i]);
	}
	s->n = kept;
}

/**
 * callers_apply_config() - bind the VIPs of the configuration, close the others
 * @d: daemon
 */
void callers_apply_config(struct daemon *d)
{
	struct vip_sockets *s = d->vip_sockets;

	if (d->settings.callers_mode != CALLERS_DIRECT)
		return;
	s->bind_failed = false;
	for (uint32_t i = 0; i < s->n; i++)
		s->list[i]->in_config = false;
	for (uint32_t i = 0; i < d->config.n_accounts; i++) {
		const struct account_conf *a = &d->config.accounts[i];

		for (uint32_t k = 0; k < a->n_services; k++)
			vip_keep_or_open(d, a->services[k].vip);
	}
	vips_close_removed(s);
}

/**
 * callers_retry_binds() - try again to bind VIPs that could not be bound
 * @d: daemon
 *
 * Another process may have used the address, or the VM may not have had it yet.
 */
void callers_retry_binds(struct daemon *d)
{
	if (d->vip_sockets->bind_failed)
		callers_apply_config(d);
}

static bool fabric_send(struct daemon *d, const struct flow_key *key,
			const uint8_t *buf, uint32_t size_bytes)
{
	uint8_t out[PROXY2_BYTES + SEND_MAX_BYTES];

	proxy2_write(out, key->vip, key->caller);
	memcpy(out + PROXY2_BYTES, buf, size_bytes);
	return datagram_send(&d->fabric_socket, d->settings.fabric, out,
			     PROXY2_BYTES + size_bytes);
}

/*
 * Sends from the socket of the VIP, so that the caller gets the answer from the
 * address that it sent to. In fabric mode the PROXY header contains that
 * address.
 */
static bool vip_send(struct daemon *d, const struct flow_key *key,
		     const uint8_t *buf, uint32_t size_bytes)
{
	uint32_t at = vip_lower_bound(d->vip_sockets, key->vip);

	if (at == d->vip_sockets->n ||
	    d->vip_sockets->list[at]->vip != key->vip)
		return false;
	return datagram_send(&d->vip_sockets->list[at]->socket, key->caller,
			     buf, size_bytes);
}

/**
 * callers_send() - send a datagram to a caller
 * @d: daemon
 * @key: caller and VIP
 * @buf: datagram
 * @size_bytes: its size, at most SEND_MAX_BYTES
 */
void callers_send(struct daemon *d, const struct flow_key *key,
		  const uint8_t *buf, uint32_t size_bytes)
{
	bool sent;

	if (d->settings.callers_mode == CALLERS_DIRECT)
		sent = vip_send(d, key, buf, size_bytes);
	else
		sent = fabric_send(d, key, buf, size_bytes);
	if (!sent)
		d->dropped[DROP_SEND_CALLER]++;
}

/**
 * callers_overflow_count() - datagrams of callers dropped by full sockets
 * @d: daemon
 *
 * Return: number, without those at VIPs that have been closed since.
 */
uint64_t callers_overflow_count(const struct daemon *d)
{
	uint64_t lost = datagram_overflow_count(&d->fabric_socket);

	for (uint32_t i = 0; i < d->vip_sockets->n; i++)
		lost += datagram_overflow_count(
			&d->vip_sockets->list[i]->socket);
	return lost;
}

/**
 * callers_close() - close the sockets of VIPs
 * @d: daemon
 */
void callers_close(struct daemon *d)
{
	if (!d->vip_sockets)
		return;
	for (uint32_t i = 0; i < d->vip_sockets->n; i++)
		vip_close(d->vip_sockets->list[i]);
	free(d->vip_sockets->list);
	free(d->vip_sockets);
	d->vip_sockets = NULL;
}
