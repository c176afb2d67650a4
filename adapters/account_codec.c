#include "account_codec.h"
#include "msgpack_bound.h"
#include "settings.h"

#include <errno.h>
#include <msgpack.h>
#include <stdlib.h>
#include <string.h>

#define ITEM_MAX_BYTES 256
/* Within these, msgpack's order of bytes is the order of numbers. */
#define ADDR_LEAST (1ULL << 32)
#define ADDR_LIMIT (1ULL << 48)
#define WEIGHT_MAX 1000
#define VM_LINE_MAX_BYTES 64

/*
 * First byte of each item, before an array of its fields, so that the items
 * of a content stand in the order of their kinds.
 */
enum item_kind { ITEM_HEADER = 1, ITEM_SERVICE, ITEM_TARGET, ITEM_VM };

#define HEADER_FIELDS 2
#define SERVICE_FIELDS 8
#define TARGET_FIELDS 6
#define VM_FIELDS 2

/* Items under construction, one behind the other in one buffer. */
struct item_list {
	msgpack_sbuffer bytes;
	msgpack_packer packer;
	uint32_t *ends;
	uint32_t n;
	uint32_t cap;
};

static int list_open(struct item_list *l, uint32_t cap)
{
	msgpack_sbuffer_init(&l->bytes);
	msgpack_packer_init(&l->packer, &l->bytes, msgpack_sbuffer_write);
	l->ends = calloc(cap, sizeof(*l->ends));
	l->n = 0;
	l->cap = cap;
	return l->ends ? 0 : -ENOMEM;
}

static void list_begin(struct item_list *l, enum item_kind kind,
		       uint32_t n_fields)
{
	msgpack_pack_uint8(&l->packer, kind);
	msgpack_pack_array(&l->packer, n_fields);
}

static void list_u64(struct item_list *l, uint64_t value)
{
	msgpack_pack_uint64(&l->packer, value);
}

static void list_end(struct item_list *l)
{
	l->ends[l->n++] = (uint32_t)l->bytes.size;
}

static int list_close(struct item_list *l, struct content **out)
{
	struct item *items = calloc(l->n + 1, sizeof(*items));
	uint32_t start = 0;

	*out = NULL;
	for (uint32_t i = 0; items && i < l->n; i++) {
		items[i].data = (const uint8_t *)l->bytes.data + start;
		items[i].size_bytes = l->ends[i] - start;
		start = l->ends[i];
	}
	if (items)
		*out = content_new(items, l->n);
	free(items);
	free(l->ends);
	msgpack_sbuffer_destroy(&l->bytes);
	return *out ? 0 : -ENOMEM;
}

static void list_header(struct item_list *l, uint64_t weight)
{
	list_begin(l, ITEM_HEADER, HEADER_FIELDS);
	list_u64(l, ACCOUNT_CODEC_VERSION);
	list_u64(l, weight);
	list_end(l);
}

static void list_service(struct item_list *l, const struct service_conf *s)
{
	list_begin(l, ITEM_SERVICE, SERVICE_FIELDS);
	list_u64(l, s->vip);
	msgpack_pack_str_with_body(&l->packer, s->name, strlen(s->name));
	list_u64(l, s->protocol);
	list_u64(l, s->class);
	list_u64(l, s->post_idempotent);
	list_u64(l, s->target_dedups);
	list_u64(l, s->request_timeout_ns);
	list_u64(l, s->queue_max);
	list_end(l);
}

static void list_target(struct item_list *l, uint64_t vip,
			const struct target_conf *t)
{
	list_begin(l, ITEM_TARGET, TARGET_FIELDS);
	list_u64(l, vip);
	list_u64(l, t->addr);
	list_u64(l, t->state);
	list_u64(l, t->weight);
	list_u64(l, t->slots);
	list_u64(l, t->connections);
	list_end(l);
}

int account_encode(const struct account_conf *a, struct content **out)
{
	struct item_list l;
	uint32_t n = 1 + a->n_services;

	for (uint32_t i = 0; i < a->n_services; i++)
		n += a->services[i].n_targets;
	if (list_open(&l, n))
		return -ENOMEM;
	list_header(&l, a->weight);
	for (uint32_t i = 0; i < a->n_services; i++) {
		const struct service_conf *s = &a->services[i];

		list_service(&l, s);
		for (uint32_t j = 0; j < s->n_targets; j++)
			list_target(&l, s->vip, &s->targets[j]);
	}
	return list_close(&l, out);
}

/* Fields of an item that was read. */
struct fields {
	const msgpack_object *f;
	uint8_t kind;
};

static bool field_u64(const struct fields *f, uint32_t i, uint64_t max,
		      uint64_t *out)
{
	if (f->f[i].type != MSGPACK_OBJECT_POSITIVE_INTEGER ||
	    f->f[i].via.u64 > max)
		return false;
	*out = f->f[i].via.u64;
	return true;
}

static bool field_addr(const struct fields *f, uint32_t i, uint64_t *out)
{
	return field_u64(f, i, ADDR_LIMIT - 1, out) && *out >= ADDR_LEAST;
}

static int item_read(const struct item *item, msgpack_unpacked *u,
		     struct fields *f)
{
	static const uint32_t n_fields[] = {
		[ITEM_HEADER] = HEADER_FIELDS,
		[ITEM_SERVICE] = SERVICE_FIELDS,
		[ITEM_TARGET] = TARGET_FIELDS,
		[ITEM_VM] = VM_FIELDS,
	};
	size_t used = 1;

	if (!item->size_bytes || item->size_bytes > ITEM_MAX_BYTES ||
	    msgpack_bound(item->data + 1, item->size_bytes - 1) ||
	    msgpack_unpack_next(u, (const char *)item->data, item->size_bytes,
				&used) != MSGPACK_UNPACK_SUCCESS ||
	    used != item->size_bytes || u->data.type != MSGPACK_OBJECT_ARRAY)
		return -EPROTO;
	f->f = u->data.via.array.ptr;
	f->kind = item->data[0];
	if (!f->kind || f->kind > ITEM_VM ||
	    u->data.via.array.size != n_fields[f->kind])
		return -EPROTO;
	return 0;
}

static int read_header(const struct fields *f, uint16_t *weight)
{
	uint64_t version, w;

	if (!field_u64(f, 0, UINT64_MAX, &version))
		return -EPROTO;
	if (version != ACCOUNT_CODEC_VERSION)
		return -EPROTONOSUPPORT;
	if (!field_u64(f, 1, WEIGHT_MAX, &w))
		return -EPROTO;
	*weight = (uint16_t)w;
	return 0;
}

static bool read_name(const msgpack_object *o, char name[NAME_MAX_BYTES])
{
	if (o->type != MSGPACK_OBJECT_STR || !o->via.str.size ||
	    o->via.str.size >= NAME_MAX_BYTES ||
	    memchr(o->via.str.ptr, 0, o->via.str.size))
		return false;
	memcpy(name, o->via.str.ptr, o->via.str.size);
	name[o->via.str.size] = 0;
	return true;
}

static int read_service(const struct fields *f, struct account_conf *a)
{
	struct service_conf *s = &a->services[a->n_services];
	uint64_t protocol, class, idempotent, dedups, queue_max;

	*s = (struct service_conf){ 0 };
	if (!field_addr(f, 0, &s->vip) || !read_name(&f->f[1], s->name) ||
	    !field_u64(f, 2, SERVICE_UDP, &protocol) ||
	    !field_u64(f, 3, CLASS_COUNT - 1, &class) ||
	    !field_u64(f, 4, 1, &idempotent) || !field_u64(f, 5, 1, &dedups) ||
	    !field_u64(f, 6, UINT64_MAX, &s->request_timeout_ns) ||
	    !field_u64(f, 7, UINT32_MAX, &queue_max))
		return -EPROTO;
	if (a->n_services && s[-1].vip >= s->vip)
		return -EPROTO;
	s->protocol = (uint8_t)protocol;
	s->class = (uint8_t) class;
	s->post_idempotent = idempotent;
	s->target_dedups = dedups;
	s->queue_max = (uint32_t)queue_max;
	a->n_services++;
	return 0;
}

/* Targets come in the order of their services, so the search goes on. */
static struct service_conf *find_vip(struct account_conf *a, uint64_t vip,
				     uint32_t *last)
{
	while (*last < a->n_services && a->services[*last].vip != vip)
		++*last;
	return *last < a->n_services ? &a->services[*last] : NULL;
}

/* Room doubles whenever the number of targets is a power of two. */
static int target_room(struct service_conf *s)
{
	uint32_t n = s->n_targets;
	struct target_conf *more;

	if (n == TARGETS_PER_SERVICE_MAX)
		return -EPROTO;
	if (n & (n - 1))
		return 0;
	more = realloc(s->targets, (n ? 2 * n : 1) * sizeof(*more));
	if (!more)
		return -ENOMEM;
	s->targets = more;
	return 0;
}

static int read_target(const struct fields *f, struct account_conf *a,
		       uint32_t *last)
{
	uint64_t vip, state, weight, slots, connections;
	struct target_conf t = { 0 };
	struct service_conf *s;
	int err;

	if (!field_addr(f, 0, &vip) || !field_addr(f, 1, &t.addr) ||
	    !field_u64(f, 2, TARGET_DRAINING, &state) ||
	    !field_u64(f, 3, WEIGHT_MAX, &weight) ||
	    !field_u64(f, 4, UINT16_MAX, &slots) ||
	    !field_u64(f, 5, UINT32_MAX, &connections))
		return -EPROTO;
	s = find_vip(a, vip, last);
	if (!s)
		return -EPROTO;
	if (s->n_targets && s->targets[s->n_targets - 1].addr >= t.addr)
		return -EPROTO;
	err = target_room(s);
	if (err)
		return err;
	t.state = (uint8_t)state;
	t.weight = (uint16_t)weight;
	t.slots = (uint16_t)slots;
	t.connections = (uint32_t)connections;
	s->targets[s->n_targets++] = t;
	return 0;
}

/* Items are sorted, so the header comes first, then services, then targets. */
static int read_items(const struct content *c, struct account_conf *a)
{
	msgpack_unpacked u;
	uint32_t last = 0;
	int err = c->n ? 0 : -EPROTO;

	msgpack_unpacked_init(&u);
	for (uint32_t i = 0; !err && i < c->n; i++) {
		struct fields f;

		err = item_read(&c->items[i], &u, &f);
		if (err)
			break;
		if ((i == 0) != (f.kind == ITEM_HEADER))
			err = -EPROTO;
		else if (f.kind == ITEM_HEADER)
			err = read_header(&f, &a->weight);
		else if (f.kind == ITEM_SERVICE)
			err = a->n_services == SERVICES_PER_ACCOUNT_MAX
				      ? -EPROTO
				      : read_service(&f, a);
		else if (f.kind == ITEM_TARGET)
			err = read_target(&f, a, &last);
		else
			err = -EPROTO;
	}
	msgpack_unpacked_destroy(&u);
	return err;
}

int account_decode(const char *name, uint64_t generation,
		   const struct content *c, struct account_conf **out)
{
	struct account_conf *a = calloc(1, sizeof(*a));
	uint32_t n = c->n < SERVICES_PER_ACCOUNT_MAX ? c->n
						     : SERVICES_PER_ACCOUNT_MAX;
	int err = -ENOMEM;

	*out = NULL;
	if (!a)
		return err;
	a->generation = generation;
	a->services = calloc(n + 1, sizeof(*a->services));
	if (a->services) {
		err = strlen(name) < NAME_MAX_BYTES ? 0 : -EPROTO;
		if (!err)
			strcpy(a->name, name);
	}
	if (!err)
		err = read_items(c, a);
	if (!err && !a->weight)
		err = -EPROTO;
	if (err)
		account_free(a);
	else
		*out = a;
	return err;
}

static int list_vm(struct item_list *l, const char *start, uint32_t size_bytes)
{
	char line[VM_LINE_MAX_BYTES], address[32], state[16];
	uint64_t addr;
	int used = 0;

	if (size_bytes >= sizeof(line))
		return -EPROTO;
	memcpy(line, start, size_bytes);
	line[size_bytes] = 0;
	if (sscanf(line, "%31s %15s %n", address, state, &used) != 2 ||
	    line[used] || addr_parse(address, &addr))
		return -EPROTO;
	if (strcmp(state, "live") && strcmp(state, "leaving"))
		return -EPROTO;
	list_begin(l, ITEM_VM, VM_FIELDS);
	list_u64(l, addr);
	list_u64(l, !strcmp(state, "leaving"));
	list_end(l);
	return 0;
}

static uint32_t count_lines(const char *text, uint32_t size_bytes)
{
	uint32_t n = 1;

	for (uint32_t i = 0; i < size_bytes; i++)
		n += text[i] == '\n';
	return n;
}

int roster_encode(const char *text, uint32_t size_bytes, struct content **out)
{
	const char *end = text + size_bytes;
	struct item_list l;
	int err, made;

	*out = NULL;
	err = list_open(&l, 1 + count_lines(text, size_bytes));
	if (!err)
		list_header(&l, 0);
	while (!err && text < end) {
		const char *newline = memchr(text, '\n', end - text);
		const char *stop = newline ? newline : end;

		if (stop > text)
			err = list_vm(&l, text, (uint32_t)(stop - text));
		text = stop + 1;
	}
	made = list_close(&l, out);
	if (!err && !made)
		return 0;
	content_free(*out);
	*out = NULL;
	return err ? err : made;
}

static int read_vm(const struct fields *f, uint64_t *addr, uint64_t *leaving)
{
	if (f->kind != ITEM_VM || !field_addr(f, 0, addr) ||
	    !field_u64(f, 1, 1, leaving))
		return -EPROTO;
	return 0;
}

int32_t roster_decode(const struct content *c, uint64_t *vms, uint32_t cap)
{
	msgpack_unpacked u;
	uint32_t n = 0;
	uint16_t weight;
	int err = c->n ? 0 : -EPROTO;

	msgpack_unpacked_init(&u);
	for (uint32_t i = 0; !err && i < c->n; i++) {
		uint64_t addr, leaving;
		struct fields f;

		err = item_read(&c->items[i], &u, &f);
		if (err || i == 0) {
			if (!err)
				err = f.kind == ITEM_HEADER
					      ? read_header(&f, &weight)
					      : -EPROTO;
			continue;
		}
		err = read_vm(&f, &addr, &leaving);
		if (err || leaving)
			continue;
		if (n == cap)
			err = -ENOSPC;
		else
			vms[n++] = addr;
	}
	msgpack_unpacked_destroy(&u);
	return err ? err : (int32_t)n;
}
