/*
 * The side towards callers: one socket that the fabric sends to, or one for
 * each VIP of the configuration.
 */
#include "coap_wire.h"
#include "daemon.h"
#include "log.h"
#include "proxy2.h"

#include <stdlib.h>
#include <string.h>

/* A VIP bound on this VM. */
struct vip_socket {
	uv_udp_t socket;
	uint64_t vip;
	bool wanted;
};

/* VIPs bound on this VM, sorted. */
struct vip_sockets {
	struct vip_socket **list;
	uint32_t n;
	uint32_t capacity;
	bool failed;
};

static void received(struct daemon *d, const struct flow_key *key,
		     const uint8_t *buf, uint32_t size_bytes)
{
	uint64_t now_ns = daemon_catch_up(d);
	struct message msg;

	if (coap_wire_parse(buf, size_bytes, &msg)) {
		d->dropped[DROP_CALLER_FORMAT]++;
		return;
	}
	entry_caller(d->entry, key, &msg, now_ns, &d->actions);
	act(d);
}

static void fabric_received(uv_udp_t *socket, ssize_t n, const uv_buf_t *buf,
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
	received(d, &key, bytes + header_bytes, (uint32_t)(n - header_bytes));
}

static void vip_received(uv_udp_t *socket, ssize_t n, const uv_buf_t *buf,
			 const struct sockaddr *from, unsigned int flags)
{
	const struct vip_socket *v = socket->data;
	struct flow_key key = { .vip = v->vip };

	(void)flags;
	if (n <= 0 || !from)
		return;
	key.caller = addr_of(from);
	received(socket->loop->data, &key, (const uint8_t *)buf->base,
		 (uint32_t)n);
}

/**
 * callers_open() - be ready for callers
 * @d: daemon
 *
 * Return: 0 or a negative error number. In direct mode the sockets follow the
 * configuration.
 */
int callers_open(struct daemon *d)
{
	char text[32];
	int err;

	d->vips = calloc(1, sizeof(*d->vips));
	if (!d->vips)
		return UV_ENOMEM;
	if (d->settings.callers_mode == CALLERS_DIRECT)
		return 0;
	err = datagram_open(d, &d->fabric_socket, d->settings.callers_listen,
			    fabric_received);
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

/* First VIP that isn't below @vip. */
static uint32_t vip_place(const struct vip_sockets *s, uint64_t vip)
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
	v->wanted = true;
	err = datagram_open(d, &v->socket, vip, vip_received);
	v->socket.data = v;
	if (!err && vip_insert(d->vips, at, v))
		return;
	d->vips->failed = true;
	log_line(LOG_ERROR, "callers.bind", addr_text(vip, text, sizeof(text)),
		 "%s", uv_strerror(err ? err : UV_ENOMEM));
	vip_close(v);
}

static void vip_want(struct daemon *d, uint64_t vip)
{
	uint32_t at = vip_place(d->vips, vip);

	if (at < d->vips->n && d->vips->list[at]->vip == vip)
		d->vips->list[at]->wanted = true;
	else
		vip_open(d, at, vip);
}

static void vips_close_unwanted(struct vip_sockets *s)
{
	uint32_t kept = 0;

	for (uint32_t i = 0; i < s->n; i++) {
		if (s->list[i]->wanted)
			s->list[kept++] = s->list[i];
		else
			vip_close(s->list[i]);
	}
	s->n = kept;
}

/**
 * callers_config() - bind the VIPs of the configuration, and no others
 * @d: daemon
 */
void callers_config(struct daemon *d)
{
	struct vip_sockets *s = d->vips;

	if (d->settings.callers_mode != CALLERS_DIRECT)
		return;
	s->failed = false;
	for (uint32_t i = 0; i < s->n; i++)
		s->list[i]->wanted = false;
	for (uint32_t i = 0; i < d->config.n_accounts; i++) {
		const struct account_conf *a = &d->config.accounts[i];

		for (uint32_t k = 0; k < a->n_services; k++)
			vip_want(d, a->services[k].vip);
	}
	vips_close_unwanted(s);
}

/**
 * callers_retry() - bind the VIPs again that could not be bound
 * @d: daemon
 *
 * The address may have been held by another process, or not have been given
 * to the VM yet.
 */
void callers_retry(struct daemon *d)
{
	if (d->vips->failed)
		callers_config(d);
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
 * The VIP's own socket, so that the caller sees the address it sent to. In
 * fabric mode the header carries it.
 */
static bool vip_send(struct daemon *d, const struct flow_key *key,
		     const uint8_t *buf, uint32_t size_bytes)
{
	uint32_t at = vip_place(d->vips, key->vip);

	if (at == d->vips->n || d->vips->list[at]->vip != key->vip)
		return false;
	return datagram_send(&d->vips->list[at]->socket, key->caller, buf,
			     size_bytes);
}

/**
 * callers_send() - send a datagram to a caller
 * @d: daemon
 * @key: flow
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
 * callers_lost() - datagrams of callers that came while a socket was full
 * @d: daemon
 *
 * Return: number, without those of VIPs that were closed since.
 */
uint64_t callers_lost(const struct daemon *d)
{
	uint64_t lost = datagram_lost(&d->fabric_socket);

	for (uint32_t i = 0; i < d->vips->n; i++)
		lost += datagram_lost(&d->vips->list[i]->socket);
	return lost;
}

/**
 * callers_close() - close the VIPs
 * @d: daemon
 */
void callers_close(struct daemon *d)
{
	if (!d->vips)
		return;
	for (uint32_t i = 0; i < d->vips->n; i++)
		vip_close(d->vips->list[i]);
	free(d->vips->list);
	free(d->vips);
	d->vips = NULL;
}
