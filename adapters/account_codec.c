#include "account_codec.h"
#include "item_codec.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>

static void list_service(struct item_list *l, const struct service_conf *s)
{
	item_begin(l, ITEM_SERVICE, SERVICE_FIELDS);
	item_add_u64(l, s->vip);
	msgpack_pack_str_with_body(&l->packer, s->name, strlen(s->name));
	item_add_u64(l, s->protocol);
	item_add_u64(l, s->class);
	item_add_u64(l, s->post_idempotent);
	item_add_u64(l, s->target_dedups);
	item_add_u64(l, s->request_timeout_ns);
	item_add_u64(l, s->queue_max);
	item_end(l);
}

static void list_target(struct item_list *l, uint64_t vip,
			const struct target_conf *t)
{
	item_begin(l, ITEM_TARGET, TARGET_FIELDS);
	item_add_u64(l, vip);
	item_add_u64(l, t->addr);
	item_add_u64(l, t->state);
	item_add_u64(l, t->weight);
	item_add_u64(l, t->slots);
	item_add_u64(l, t->connections);
	item_end(l);
}

int account_encode(const struct account_conf *a, struct content **out)
{
	struct item_list l;
	uint32_t n = 1 + a->n_services;

	for (uint32_t i = 0; i < a->n_services; i++)
		n += a->services[i].n_targets;
	if (item_list_open(&l, n))
		return -ENOMEM;
	item_add_header(&l, a->weight);
	for (uint32_t i = 0; i < a->n_services; i++) {
		const struct service_conf *s = &a->services[i];

		list_service(&l, s);
		for (uint32_t j = 0; j < s->n_targets; j++)
			list_target(&l, s->vip, &s->targets[j]);
	}
	return item_list_finish(&l, out);
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

static int read_service(const struct item_fields *f, struct account_conf *a)
{
	struct service_conf *s = &a->services[a->n_services];
	uint64_t protocol, class, idempotent, dedups, queue_max;

	*s = (struct service_conf){ 0 };
	if (!item_field_addr(f, 0, &s->vip) || !read_name(&f->f[1], s->name) ||
	    !item_field_u64(f, 2, SERVICE_UDP, &protocol) ||
	    !item_field_u64(f, 3, CLASS_COUNT - 1, &class) ||
	    !item_field_u64(f, 4, 1, &idempotent) ||
	    !item_field_u64(f, 5, 1, &dedups) ||
	    !item_field_u64(f, 6, UINT64_MAX, &s->request_timeout_ns) ||
	    !item_field_u64(f, 7, UINT32_MAX, &queue_max))
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

static int read_target(const struct item_fields *f, struct account_conf *a,
		       uint32_t *last)
{
	uint64_t vip, state, weight, slots, connections;
	struct target_conf t = { 0 };
	struct service_conf *s;
	int err;

	if (!item_field_addr(f, 0, &vip) || !item_field_addr(f, 1, &t.addr) ||
	    !item_field_u64(f, 2, TARGET_DRAINING, &state) ||
	    !item_field_u64(f, 3, WEIGHT_MAX, &weight) ||
	    !item_field_u64(f, 4, UINT16_MAX, &slots) ||
	    !item_field_u64(f, 5, UINT32_MAX, &connections))
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
		struct item_fields f;

		err = item_decode(&c->items[i], &u, &f);
		if (err)
			break;
		if ((i == 0) != (f.kind == ITEM_HEADER))
			err = -EPROTO;
		else if (f.kind == ITEM_HEADER)
			err = item_decode_header(&f, &a->weight);
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
