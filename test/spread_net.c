#include "spread_net.h"

#include "reader.h"
#include "spread.h"
#include "spread_codec.h"

#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define TICK_NS (5 * NET_MS)
#define CALL_NS (5 * NET_MS)
#define WATCH_NS (20 * NET_S)
#define KEYS_MAX 64
/* Greatest size of a value of the platform. */
#define TEXT_MAX (1 << 20)
#define ITEMS_MAX 32768
#define CHANGES_MAX 4096
#define VMS_MAX 512
#define VM_BASE 0x7f280100U
#define VM_PORT 7000
#define VMS_KEY "vms/dc"

struct document {
	char key[PUBLISHED_KEY_MAX_BYTES];
	uint64_t revision;
	char *text;
};

struct view {
	struct document documents[KEYS_MAX];
	uint32_t n;
	uint64_t revision;
};

struct change {
	uint64_t revision;
	char key[PUBLISHED_KEY_MAX_BYTES];
};

struct call {
	bool active;
	enum reader_call kind;
	char key[PUBLISHED_KEY_MAX_BYTES];
	uint64_t after;
	uint64_t due_ns;
	uint64_t end_ns;
};

struct version_in_force {
	char key[PUBLISHED_KEY_MAX_BYTES];
	struct version version;
};

/**
 * struct vm - a cb-watch and the entry beside it
 * @side: VMs on different sides do not reach each other
 * @spread: NULL while the cb-watch is stopped
 * @call: call to the platform in progress
 * @template: name of the template read last; empty for none
 * @template_text: its text, or NULL
 * @watch_versions: versions that the cb-watch put in force since its start
 * @entry_versions: versions in force at the entry, which is never restarted
 * @bytes: bytes sent
 */
struct vm {
	struct net *net;
	uint32_t index;
	uint32_t side;
	bool paused;
	bool roster_known;
	struct spread *spread;
	struct reader *reader;
	struct call call;
	char template[NAME_MAX_BYTES];
	char *template_text;
	struct version_in_force watch_versions[KEYS_MAX];
	struct version_in_force entry_versions[KEYS_MAX];
	uint64_t bytes;
};

struct frame {
	uint32_t from;
	uint32_t to;
	uint64_t due_ns;
	uint8_t *data;
	uint32_t size_bytes;
};

struct net {
	uint64_t now_ns;
	struct rng rng;
	uint32_t n;
	uint32_t readers;
	struct vm *vms;
	struct frame *frames;
	uint32_t n_frames;
	uint32_t cap_frames;
	struct spread_auth auth;
	struct view live;
	struct view stale;
	struct change changes[CHANGES_MAX];
	uint32_t n_changes;
	enum net_platform platform;
	uint32_t frame_loss_one_in;
	uint32_t regressions;
	uint32_t rewritten_contents;
	uint64_t platform_calls;
	uint64_t current_second;
	uint64_t calls_in_current_second;
	uint64_t platform_calls_max_per_s;
};

static uint64_t vm_address(uint32_t index)
{
	return ADDR(VM_BASE + index, VM_PORT);
}

/* Platform. */

static struct document *view_find(struct view *v, const char *key)
{
	for (uint32_t i = 0; i < v->n; i++)
		if (!strcmp(v->documents[i].key, key))
			return &v->documents[i];
	return NULL;
}

static void view_clear(struct view *v)
{
	for (uint32_t i = 0; i < v->n; i++)
		free(v->documents[i].text);
	v->n = 0;
}

static void record_change(struct net *net, const char *key)
{
	struct change *c = &net->changes[net->n_changes++ % CHANGES_MAX];

	c->revision = net->live.revision;
	snprintf(c->key, sizeof(c->key), "%s", key);
}

void net_publish(struct net *net, const char *key, const char *text)
{
	struct document *d = view_find(&net->live, key);

	net->live.revision++;
	if (!d) {
		d = &net->live.documents[net->live.n++];
		snprintf(d->key, sizeof(d->key), "%s", key);
		d->text = NULL;
	}
	free(d->text);
	d->text = strdup(text);
	d->revision = net->live.revision;
	record_change(net, key);
}

void net_delete(struct net *net, const char *key)
{
	struct document *d = view_find(&net->live, key);

	if (!d)
		return;
	net->live.revision++;
	free(d->text);
	*d = net->live.documents[--net->live.n];
	record_change(net, key);
}

void net_set_platform(struct net *net, enum net_platform state)
{
	net->platform = state;
}

void net_snapshot_platform(struct net *net)
{
	view_clear(&net->stale);
	net->stale = net->live;
	for (uint32_t i = 0; i < net->stale.n; i++)
		net->stale.documents[i].text =
			strdup(net->live.documents[i].text);
}

static void publish_vms(struct net *net);

void net_reset_platform(struct net *net)
{
	view_clear(&net->live);
	net->live.revision = 0;
	net->n_changes = 0;
	publish_vms(net);
}

static void publish_vms(struct net *net)
{
	char text[16 * VMS_MAX] = "";
	size_t length = 0;

	for (uint32_t i = 0; i < net->n; i++)
		if (net->vms[i].spread)
			length += snprintf(text + length, sizeof(text) - length,
					   "%s%u", length ? "|" : "", i);
	net_publish(net, VMS_KEY, text);
}

/* Callbacks of the reader. */

static void port_start_call(void *ctx, enum reader_call kind, const char *key,
			    uint64_t after)
{
	struct vm *vm = ctx;
	struct net *net = vm->net;

	net->platform_calls++;
	if (net->now_ns / NET_S != net->current_second) {
		net->current_second = net->now_ns / NET_S;
		net->calls_in_current_second = 0;
	}
	if (++net->calls_in_current_second > net->platform_calls_max_per_s)
		net->platform_calls_max_per_s = net->calls_in_current_second;
	vm->call = (struct call){
		.active = true,
		.kind = kind,
		.after = after,
		.due_ns = net->now_ns + CALL_NS,
		.end_ns = net->now_ns + WATCH_NS,
	};
	snprintf(vm->call.key, sizeof(vm->call.key), "%s", key);
}

static void port_cancel_call(void *ctx)
{
	struct vm *vm = ctx;

	vm->call.active = false;
}

static const struct version *port_find_version(void *ctx, const char *key)
{
	struct vm *vm = ctx;

	return spread_version(vm->spread, key);
}

static void set_roster(struct vm *vm, const struct content *c)
{
	uint64_t vms[VMS_MAX];
	uint32_t n = 0;

	for (uint32_t i = 0; c && i < c->n; i++) {
		char text[16] = "";

		memcpy(text, c->items[i].data, c->items[i].size_bytes);
		vms[n++] = vm_address((uint32_t)atoi(text));
	}
	vm->roster_known = true;
	spread_set_roster(vm->spread, vms, n, vm->net->now_ns);
}

static uint32_t split(char *text, struct item *items, uint32_t n)
{
	char *rest = text;
	char *part;

	while ((part = strsep(&rest, "|")) && n < ITEMS_MAX) {
		items[n].data = (const uint8_t *)part;
		items[n++].size_bytes = (uint32_t)strlen(part);
	}
	return n;
}

/* Render "GENERATION|@TEMPLATE|ITEM": the items of the template are added. */
static int render(struct vm *vm, char *text, char *template_copy,
		  struct content **out, uint64_t *generation, char *wanted)
{
	static struct item items[ITEMS_MAX];
	uint32_t n = split(text, items, 0);
	const char *name;

	*generation = strtoull(text, NULL, 10);
	if (!*generation)
		return -EINVAL;
	if (n > 1 && items[1].data[0] == '@') {
		name = (const char *)items[1].data + 1;
		if (strcmp(name, vm->template) && wanted) {
			strcpy(wanted, name);
			return -ENOENT;
		}
		if (!vm->template_text)
			return -EINVAL;
		strcpy(template_copy, vm->template_text);
		items[1] = items[n - 1];
		n = split(template_copy, items, n - 1);
	}
	*out = content_new(items + 1, n - 1);
	return 0;
}

static int port_accept_document(void *ctx, const char *key, const char *text,
				uint32_t size_bytes, uint64_t revision,
				char *template)
{
	struct vm *vm = ctx;
	static char copy[TEXT_MAX + 1], template_copy[TEXT_MAX + 1];
	static struct item items[ITEMS_MAX];
	struct content *c = NULL;
	uint64_t generation = revision;
	int err = 0;

	memcpy(copy, text, size_bytes);
	copy[size_bytes] = 0;
	if (template)
		vm->template[0] = 0;
	if (!strcmp(key, VMS_KEY))
		c = content_new(items, split(copy, items, 0));
	else
		err = render(vm, copy, template_copy, &c, &generation,
			     template);
	if (err)
		return err;
	err = spread_publish(vm->spread, key, generation, revision, c,
			     vm->net->now_ns);
	content_free(c);
	return err;
}

static void port_accept_template(void *ctx, const char *name, const char *text,
				 uint32_t size_bytes)
{
	struct vm *vm = ctx;

	free(vm->template_text);
	vm->template_text = text ? strndup(text, size_bytes) : NULL;
	strcpy(vm->template, name);
}

static void port_report_missing(void *ctx, const char *key, uint64_t revision)
{
	struct vm *vm = ctx;

	if (!strcmp(key, VMS_KEY) && !vm->roster_known)
		set_roster(vm, NULL);
	else if (strcmp(key, VMS_KEY))
		spread_withdraw(vm->spread, key, revision, vm->net->now_ns);
}

static const char *port_key_at(void *ctx, uint32_t index)
{
	struct vm *vm = ctx;
	const struct content *content;
	const struct version *version;
	const char *key;

	return spread_next_key(vm->spread, index, &key, &version, &content)
		       ? key
		       : NULL;
}

static void port_report_state(void *ctx, bool ok, bool caught_up)
{
	struct vm *vm = ctx;

	spread_set_platform_state(vm->spread, ok, caught_up, vm->net->now_ns);
}

/* Callbacks of spread. */

static void port_send(void *ctx, uint64_t to, const struct spread_msg *msg)
{
	struct vm *vm = ctx;
	struct net *net = vm->net;
	struct frame f = {
		.from = vm->index,
		.to = ADDR_IP(to) - VM_BASE,
		.due_ns = net->now_ns + TICK_NS,
	};

	if (spread_encode(msg, &net->auth, &f.data, &f.size_bytes))
		abort();
	vm->bytes += f.size_bytes;
	if (net->frame_loss_one_in &&
	    rng_next(&net->rng) % net->frame_loss_one_in == 0) {
		free(f.data);
		return;
	}
	if (net->n_frames == net->cap_frames) {
		net->cap_frames = net->cap_frames ? 2 * net->cap_frames : 1024;
		net->frames = realloc(net->frames, net->cap_frames * sizeof(f));
	}
	net->frames[net->n_frames++] = f;
}

static int port_check_content(void *ctx, const char *key,
			      const struct content *c)
{
	static const char unreadable[] = "unreadable";

	(void)ctx;
	(void)key;
	for (uint32_t i = 0; i < c->n; i++)
		if (c->items[i].size_bytes == strlen(unreadable) &&
		    !memcmp(c->items[i].data, unreadable, strlen(unreadable)))
			return -EPROTO;
	return 0;
}

static struct version_in_force *
in_force_find_or_add(struct version_in_force *list, const char *key)
{
	for (uint32_t i = 0; i < KEYS_MAX; i++) {
		if (!list[i].key[0])
			strcpy(list[i].key, key);
		if (!strcmp(list[i].key, key))
			return &list[i];
	}
	abort();
}

static const struct version_in_force *
in_force_find(const struct version_in_force *list, const char *key)
{
	for (uint32_t i = 0; i < KEYS_MAX; i++)
		if (!strcmp(list[i].key, key))
			return &list[i];
	return NULL;
}

static void record_in_force(struct net *net, struct version_in_force *list,
			    const char *key, const struct version *v)
{
	struct version_in_force *f = in_force_find_or_add(list, key);
	const struct version *old = &f->version;
	bool same = v->generation == old->generation;

	net->regressions += v->generation < old->generation;
	net->regressions +=
		same && version_is_withdrawn(old) && !version_is_withdrawn(v);
	net->rewritten_contents +=
		same && v->generation && v->hash != old->hash;
	f->version = *v;
}

/*
 * The entry beside the cb-watch accepts only newer versions, as
 * adapters/link.c.
 */
static void port_put_in_force(void *ctx, const char *key,
			      const struct version *version,
			      const struct content *content)
{
	struct vm *vm = ctx;

	struct version joined =
		in_force_find_or_add(vm->entry_versions, key)->version;

	record_in_force(vm->net, vm->watch_versions, key, version);
	if (version_adds_to(version, &joined)) {
		version_merge(&joined, version);
		record_in_force(vm->net, vm->entry_versions, key, &joined);
	}
	if (content && !strcmp(key, VMS_KEY))
		set_roster(vm, content);
}

/* VMs. */

static void vm_start(struct vm *vm)
{
	struct net *net = vm->net;
	struct spread_conf conf = { vm_address(vm->index), net->readers,
				    VMS_KEY };
	struct spread_port port = { vm, port_send, port_check_content,
				    port_put_in_force };
	struct reader_port read = {
		vm,
		port_start_call,
		port_cancel_call,
		port_find_version,
		port_accept_document,
		port_accept_template,
		port_report_missing,
		port_key_at,
		port_report_state,
	};
	struct rng rng = { rng_next(&net->rng) | 1 };

	vm->spread = spread_new(&conf, port, rng, net->now_ns);
	rng.state = rng_next(&net->rng) | 1;
	vm->reader = reader_new("dc", read, rng, net->now_ns);
	vm->paused = false;
	vm->roster_known = false;
	vm->call.active = false;
	memset(vm->watch_versions, 0, sizeof(vm->watch_versions));
}

static void vm_stop(struct vm *vm)
{
	reader_free(vm->reader);
	spread_free(vm->spread);
	free(vm->template_text);
	vm->template_text = NULL;
	vm->template[0] = 0;
	vm->paused = false;
	vm->reader = NULL;
	vm->spread = NULL;
}

static void vm_run_due(struct vm *vm)
{
	uint64_t now_ns = vm->net->now_ns;
	enum reader_mode mode = READER_OFF;

	if (now_ns >= spread_next_ns(vm->spread))
		spread_tick(vm->spread, now_ns);
	if (spread_is_reader(vm->spread))
		mode = READER_ALL;
	else if (!vm->roster_known)
		mode = READER_ROSTER;
	reader_set_mode(vm->reader, mode, now_ns);
	reader_tick(vm->reader, now_ns);
}

static void answer_watch(struct net *net, struct vm *vm, struct view *v,
			 struct reader_answer *a, char *body)
{
	size_t length = 0;
	uint32_t first =
		net->n_changes > CHANGES_MAX ? net->n_changes - CHANGES_MAX : 0;

	for (uint32_t i = first; i < net->n_changes; i++) {
		const struct change *c = &net->changes[i % CHANGES_MAX];

		if (c->revision > vm->call.after && c->revision <= v->revision)
			length += snprintf(body + length, TEXT_MAX - length,
					   "%lu %s\n", c->revision, c->key);
	}
	a->body = body;
	a->size_bytes = (uint32_t)length;
	a->revision = v->revision;
	a->status = 200;
}

static void answer_list(struct view *v, struct reader_answer *a, char *body)
{
	size_t length = 0;

	for (uint32_t i = 0; i < v->n; i++)
		length +=
			snprintf(body + length, TEXT_MAX - length, "%lu %s\n",
				 v->documents[i].revision, v->documents[i].key);
	a->body = body;
	a->size_bytes = (uint32_t)length;
	a->revision = v->revision;
	a->status = 200;
}

static void answer_get(struct view *v, const char *key, struct reader_answer *a)
{
	const struct document *d = view_find(v, key);

	a->status = d ? 200 : 404;
	a->revision = d ? d->revision : v->revision;
	a->body = d ? d->text : "";
	a->size_bytes = (uint32_t)strlen(a->body);
}

static void platform_answer_due(struct net *net, struct vm *vm)
{
	struct view *v = net->platform == NET_STALE ? &net->stale : &net->live;
	bool reached = net->platform != NET_DOWN && vm->side == 0;
	struct reader_answer a = { 0 };
	struct call call = vm->call;
	static char body[TEXT_MAX];

	body[0] = 0;
	if (!call.active || net->now_ns < call.due_ns)
		return;
	if (reached && call.kind == CALL_WATCH && v->revision <= call.after &&
	    net->now_ns < call.end_ns)
		return;
	vm->call.active = false;
	if (reached && call.kind == CALL_WATCH)
		answer_watch(net, vm, v, &a, body);
	else if (reached && call.kind == CALL_LIST)
		answer_list(v, &a, body);
	else if (reached)
		answer_get(v, call.key, &a);
	reader_handle_answer(vm->reader, &a, net->now_ns);
}

static void deliver(struct net *net, struct frame *f)
{
	struct vm *vm = &net->vms[f->to];
	struct spread_msg m;

	if (vm->spread && vm->side == net->vms[f->from].side &&
	    !spread_decode(f->data, f->size_bytes, &net->auth, &m)) {
		spread_receive(vm->spread, &m, net->now_ns);
		spread_msg_clear(&m);
	}
	free(f->data);
}

static void deliver_due(struct net *net)
{
	struct frame *frames = net->frames;
	uint32_t n = net->n_frames;

	net->frames = NULL;
	net->n_frames = 0;
	net->cap_frames = 0;
	for (uint32_t i = 0; i < n; i++) {
		struct frame *f = &frames[i];

		if (f->to >= net->n) {
			free(f->data);
		} else if (net->vms[f->to].paused) {
			if (net->n_frames == net->cap_frames) {
				net->cap_frames = 2 * net->cap_frames + 64;
				net->frames =
					realloc(net->frames,
						net->cap_frames * sizeof(*f));
			}
			net->frames[net->n_frames++] = *f;
		} else {
			deliver(net, f);
		}
	}
	free(frames);
}

void net_run(struct net *net, uint64_t for_ns)
{
	uint64_t end_ns = net->now_ns + for_ns;

	while (net->now_ns < end_ns) {
		net->now_ns += TICK_NS;
		deliver_due(net);
		for (uint32_t i = 0; i < net->n; i++) {
			struct vm *vm = &net->vms[i];

			if (!vm->spread || vm->paused)
				continue;
			platform_answer_due(net, vm);
			vm_run_due(vm);
		}
	}
}

struct net *net_new(uint32_t n, uint32_t readers, uint64_t seed)
{
	static const uint8_t key[SPREAD_AUTH_BYTES] = { 7 };
	struct net *net = calloc(1, sizeof(*net));

	net->now_ns = 1000 * NET_S;
	net->rng.state = seed | 1;
	net->n = n;
	net->readers = readers;
	net->vms = calloc(n, sizeof(*net->vms));
	spread_auth_derive(key, "dc", &net->auth);
	for (uint32_t i = 0; i < n; i++) {
		net->vms[i].net = net;
		net->vms[i].index = i;
		vm_start(&net->vms[i]);
	}
	publish_vms(net);
	return net;
}

void net_free(struct net *net)
{
	for (uint32_t i = 0; i < net->n; i++)
		vm_stop(&net->vms[i]);
	for (uint32_t i = 0; i < net->n_frames; i++)
		free(net->frames[i].data);
	view_clear(&net->live);
	view_clear(&net->stale);
	free(net->frames);
	free(net->vms);
	free(net);
}

void net_kill(struct net *net, uint32_t vm)
{
	vm_stop(&net->vms[vm]);
}

void net_start(struct net *net, uint32_t vm)
{
	vm_start(&net->vms[vm]);
}

void net_pause(struct net *net, uint32_t vm, bool paused)
{
	net->vms[vm].paused = paused;
}

void net_set_side(struct net *net, uint32_t vm, uint32_t side)
{
	net->vms[vm].side = side;
}

void net_set_frame_loss(struct net *net, uint32_t one_in)
{
	net->frame_loss_one_in = one_in;
}

uint64_t net_generation(const struct net *net, uint32_t vm, const char *key)
{
	const struct version_in_force *f =
		in_force_find(net->vms[vm].entry_versions, key);

	return f ? f->version.generation : 0;
}

uint64_t net_content_hash(const struct net *net, uint32_t vm, const char *key)
{
	const struct version_in_force *f =
		in_force_find(net->vms[vm].entry_versions, key);

	return f ? f->version.hash : 0;
}

bool net_is_withdrawn(const struct net *net, uint32_t vm, const char *key)
{
	const struct version_in_force *f =
		in_force_find(net->vms[vm].entry_versions, key);

	return f && version_is_withdrawn(&f->version);
}

bool net_is_running(const struct net *net, uint32_t vm)
{
	return net->vms[vm].spread;
}

bool net_is_serving(const struct net *net, uint32_t vm)
{
	return net->vms[vm].spread && spread_is_serving(net->vms[vm].spread);
}

bool net_is_reader(const struct net *net, uint32_t vm)
{
	return net->vms[vm].spread && spread_is_reader(net->vms[vm].spread);
}

uint32_t net_reader_count(const struct net *net)
{
	uint32_t n = 0;

	for (uint32_t i = 0; i < net->n; i++)
		n += net_is_reader(net, i);
	return n;
}

uint64_t net_store_digest(const struct net *net, uint32_t vm)
{
	return spread_store_digest(net->vms[vm].spread);
}

bool net_is_converged(const struct net *net)
{
	uint64_t root = 0;

	for (uint32_t i = 0; i < net->n; i++) {
		if (!net_is_running(net, i))
			continue;
		if (!net_is_serving(net, i))
			return false;
		if (root && net_store_digest(net, i) != root)
			return false;
		root = net_store_digest(net, i);
	}
	return true;
}

uint32_t net_regressions(const struct net *net)
{
	return net->regressions;
}

uint32_t net_rewritten_contents(const struct net *net)
{
	return net->rewritten_contents;
}

uint64_t net_platform_calls(const struct net *net)
{
	return net->platform_calls;
}

uint64_t net_platform_calls_max_per_s(const struct net *net)
{
	return net->platform_calls_max_per_s;
}

uint64_t net_bytes_sent(const struct net *net)
{
	uint64_t bytes = 0;

	for (uint32_t i = 0; i < net->n; i++)
		bytes += net->vms[i].bytes;
	return bytes;
}

uint64_t net_bytes_sent_max(const struct net *net)
{
	uint64_t most = 0;

	for (uint32_t i = 0; i < net->n; i++)
		if (net->vms[i].bytes > most)
			most = net->vms[i].bytes;
	return most;
}

void net_reset_bytes_sent(struct net *net)
{
	for (uint32_t i = 0; i < net->n; i++)
		net->vms[i].bytes = 0;
}

uint64_t net_conflicts(const struct net *net)
{
	uint64_t n = 0;

	for (uint32_t i = 0; i < net->n; i++)
		if (net->vms[i].spread)
			n += spread_counters(net->vms[i].spread)->conflicts;
	return n;
}

uint64_t net_documents_refused(const struct net *net, uint32_t vm)
{
	return reader_counters(net->vms[vm].reader)->documents_refused;
}

uint64_t net_joined_alone(const struct net *net, uint32_t vm)
{
	return spread_counters(net->vms[vm].spread)->joined_alone;
}

uint64_t net_whole_contents_sent(const struct net *net)
{
	uint64_t n = 0;

	for (uint32_t i = 0; i < net->n; i++)
		if (net->vms[i].spread)
			n += spread_counters(net->vms[i].spread)->wholes_sent;
	return n;
}
