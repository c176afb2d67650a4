#include "account_codec.h"
#include "item_codec.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>

static void encode_service(struct item_list *list, const struct service_conf *s)
{
	item_begin(list, ITEM_SERVICE, SERVICE_FIELDS);
	item_add_u64(list, s->vip);
	msgpack_pack_str_with_body(&list->packer, s->name, strlen(s->name));
	item_add_u64(list, s->protocol);
	item_add_u64(list, s->class);
	item_add_u64(list, s->post_idempotent);
	item_add_u64(list, s->target_dedups);
	item_add_u64(list, s->request_timeout_ns);
	item_add_u64(list, s->queue_max);
	item_end(list);
}

static void encode_target(struct item_list *list, uint64_t vip,
			  const struct target_conf *t)
{
	item_begin(list, ITEM_TARGET, TARGET_FIELDS);
	item_add_u64(list, vip);
	item_add_u64(list, t->addr);
	item_add_u64(list, t->state);
	item_add_u64(list, t->weight);
	item_add_u64(list, t->slots);
	item_add_u64(list, t->connections);
	item_end(list);
}

int account_encode(const struct account_conf *account, struct content **out)
{
	struct item_list list;
	uint32_t n = 1 + account->n_services;

	for (uint32_t i = 0; i < account->n_services; i++)
		n += account->services[i].n_targets;
	if (item_list_open(&list, n))
		return -ENOMEM;
	item_add_header(&list, account->weight);
	for (uint32_t i = 0; i < account->n_services; i++) {
		const struct service_conf *s = &account->services[i];

		encode_service(&list, s);
		for (uint32_t j = 0; j < s->n_targets; j++)
			encode_target(&list, s->vip, &s->targets[j]);
	}
	return item_list_finish(&list, out);
}

static bool decode_name(const msgpack_object *o, char name[NAME_MAX_BYTES])
{
	if (o->type != MSGPACK_OBJECT_STR || !o->via.str.size ||
	    o->via.str.size >= NAME_MAX_BYTES ||
	    memchr(o->via.str.ptr, 0, o->via.str.size))
		return false;
	memcpy(name, o->via.str.ptr, o->via.str.size);
	name[o->via.str.size] = 0;
	return true;
}

static int decode_service(const struct item_fields *fields,
			  struct account_conf *account)
{
	struct service_conf *s = &account->services[account->n_services];
	uint64_t protocol, class, idempotent, dedups, queue_max;

	*s = (struct service_conf){ 0 };
	if (!item_field_addr(fields, 0, &s->vip) ||
	    !decode_name(&fields->values[1], s->name) ||
	    !item_field_u64(fields, 2, SERVICE_UDP, &protocol) ||
	    !item_field_u64(fields, 3, CLASS_COUNT - 1, &class) ||
	    !item_field_u64(fields, 4, 1, &idempotent) ||
	    !item_field_u64(fields, 5, 1, &dedups) ||
	    !item_field_u64(fields, 6, UINT64_MAX, &s->request_timeout_ns) ||
	    !item_field_u64(fields, 7, UINT32_MAX, &queue_max))
		return -EPROTO;
	if (account->n_services && s[-1].vip >= s->vip)
		return -EPROTO;
	s->protocol = (uint8_t)protocol;
	s->class = (uint8_t) class;
	s->post_idempotent = idempotent;
	s->target_dedups = dedups;
	s->queue_max = (uint32_t)queue_max;
	account->n_services++;
	return 0;
}

/*
 * Targets are sorted by service, so each search starts at the service of the
 * target before: @service_index is read and written.
 */
static struct service_conf *find_service(struct account_conf *account,
					 uint64_t vip, uint32_t *service_index)
{
	while (*service_index < account->n_services &&
	       account->services[*service_index].vip != vip)
		++*service_index;
	return *service_index < account->n_services
		       ? &account->services[*service_index]
		       : NULL;
}

/*
 * Ensures space for one more target; the array is enlarged to twice its size
 * whenever the number of targets is a power of two.
 */
static int reserve_target(struct service_conf *s)
{
	uint32_t n = s->n_targets;
	struct target_conf *grown;

	if (n == TARGETS_PER_SERVICE_MAX)
		return -EPROTO;
	if (n & (n - 1))
		return 0;
	grown = realloc(s->targets, (n ? 2 * n : 1) * sizeof(*grown));
	if (!grown)
		return -ENOMEM;
	s->targets = grown;
	return 0;
}

static int decode_target(const struct item_fields *fields,
			 struct account_conf *account, uint32_t *service_index)
{
	uint64_t vip, state, weight, slots, connections;
	struct target_conf t = { 0 };
	struct service_conf *s;
	int err;

	if (!item_field_addr(fields, 0, &vip) ||
	    !item_field_addr(fields, 1, &t.addr) ||
	    !item_field_u64(fields, 2, TARGET_DRAINING, &state) ||
	    !item_field_u64(fields, 3, WEIGHT_MAX, &weight) ||
	    !item_field_u64(fields, 4, UINT16_MAX, &slots) ||
	    !item_field_u64(fields, 5, UINT32_MAX, &connections))
		return -EPROTO;
	s = find_service(account, vip, service_index);
	if (!s)
		return -EPROTO;
	if (s->n_targets && s->targets[s->n_targets - 1].addr >= t.addr)
		return -EPROTO;
	err = reserve_target(s);
	if (err)
		return err;
	t.state = (uint8_t)state;
	t.weight = (uint16_t)weight;
	t.slots = (uint16_t)slots;
	t.connections = (uint32_t)connections;
	s->targets[s->n_targets++] = t;
	return 0;
}

/* Items are sorted by kind: the header first, then services, then targets. */
static int decode_items(const struct content *content,
			struct account_conf *account)
{
	msgpack_unpacked unpacked;
	uint32_t service_index = 0;
	int err = content->n ? 0 : -EPROTO;

	msgpack_unpacked_init(&unpacked);
	for (uint32_t i = 0; !err && i < content->n; i++) {
		struct item_fields fields;

		err = item_decode(&content->items[i], &unpacked, &fields);
		if (err)
			break;
		if ((i == 0) != (fields.kind == ITEM_HEADER))
			err = -EPROTO;
		else if (fields.kind == ITEM_HEADER)
			err = item_decode_header(&fields, &account->weight);
		else if (fields.kind == ITEM_SERVICE)
			err = account->n_services == SERVICES_PER_ACCOUNT_MAX
				      ? -EPROTO
				      : decode_service(&fields, account);
		else if (fields.kind == ITEM_TARGET)
			err = decode_target(&fields, account, &service_index);
		else
			err = -EPROTO;
	}
	msgpack_unpacked_destroy(&unpacked);
	return err;
}

int account_decode(const char *name, uint64_t generation,
		   const struct content *content, struct account_conf **out)
{
	struct account_conf *account = calloc(1, sizeof(*account));
	uint32_t n = content->n < SERVICES_PER_ACCOUNT_MAX
			     ? content->n
			     : SERVICES_PER_ACCOUNT_MAX;
	int err = -ENOMEM;

	*out = NULL;
	if (!account)
		return err;
	account->generation = generation;
	account->services = calloc(n + 1, sizeof(*account->services));
	if (account->services) {
		err = strlen(name) < NAME_MAX_BYTES ? 0 : -EPROTO;
		if (!err)
			strcpy(account->name, name);
	}
	if (!err)
		err = decode_items(content, account);
	if (!err && !account->weight)
		err = -EPROTO;
	if (err)
		account_free(account);
	else
		*out = account;
	return err;
}
