/* Emulated store: keys with revisions, listings and watches. */
#include "world_state.h"

#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define EVACUATION_PREFIX "evacuated/"
#define WATCH_NS (SOURCE_WATCH_WAIT_MS * NS_PER_MS)
#define LIST_TIMEOUT_NS (1500 * NS_PER_MS)
/* Keys on one page of a listing. */
#define PAGE_KEYS 50
/* Age that an answer to a call may have which allows stale answers. */
#define STALE_COPY_NS (2 * NS_PER_S)
#define PERCENT 100

static struct store_key *find_or_add_key(struct world *w, const char *name)
{
	struct store_key *k;

	for (uint32_t i = 0; i < w->n_keys; i++)
		if (!strcmp(w->keys[i].d.key, name))
			return &w->keys[i];
	if (w->n_keys == STORE_KEYS_MAX)
		abort(); /* bug in the emulator */
	k = &w->keys[w->n_keys++];
	snprintf(k->d.key, sizeof(k->d.key), "%s", name);
	k->d.deleted = true;
	return k;
}

/* Update the copy that is the source of stale answers. */
static void update_stale_copy(struct world *w)
{
	if (w->now_ns < w->stale_copy_ns + STALE_COPY_NS && w->stale_keys)
		return;
	if (!w->stale_keys)
		w->stale_keys = calloc(STORE_KEYS_MAX, sizeof(*w->stale_keys));
	if (!w->stale_keys)
		abort();
	w->stale_copy_ns = w->now_ns;
	w->stale_revision = w->revision;
	w->stale_epoch = w->epoch;
	w->n_stale_keys = w->n_keys;
	memcpy(w->stale_keys, w->keys, w->n_keys * sizeof(*w->keys));
}

static bool reachable(const struct world *w, const struct sim_entry *e)
{
	return w->now_ns >= w->store_down_until_ns &&
	       w->partitioned_until_ns[e->zone] <= w->now_ns;
}

/* How the store handles an entry's calls now. */
enum store_mode store_mode_of(const struct world *w, uint32_t entry)
{
	const struct sim_entry *e = &w->entries[entry];

	if (!reachable(w, e))
		return STORE_SILENT;
	return e->store_mode_until_ns > w->now_ns ? e->store_mode
						  : STORE_ANSWERS;
}

static uint32_t index_of(const struct world *w, const struct sim_entry *e)
{
	return (uint32_t)(e - w->entries);
}

static struct store_key *copy_keys(struct store_key *to,
				   const struct store_key *from, uint32_t n)
{
	if (!to)
		to = calloc(STORE_KEYS_MAX, sizeof(*to));
	if (!to)
		abort();
	memcpy(to, from, n * sizeof(*to));
	return to;
}

/* Make the copy that store_restore_copy() restores. */
void store_save_copy(struct world *w)
{
	w->copied_keys = copy_keys(w->copied_keys, w->keys, w->n_keys);
	w->n_copied_keys = w->n_keys;
	w->copied_revision = w->revision;
}

/*
 * Restore the store from its copy under a new epoch. Values written since the
 * copy are lost, and their revisions are assigned again.
 */
void store_restore_copy(struct world *w)
{
	copy_keys(w->keys, w->copied_keys, w->n_copied_keys);
	w->n_keys = w->n_copied_keys;
	for (uint32_t i = 0; i < w->n_keys; i++)
		w->keys[i].d.value =
			w->keys[i].d.deleted ? NULL : w->keys[i].value;
	w->revision = w->copied_revision;
	w->epoch++;
}

/* Answer an entry's call with a page of the store, or of the stale copy. */
static void answer_page(struct world *w, uint32_t entry, uint32_t from,
			bool stale)
{
	struct sim_entry *e = &w->entries[entry];
	const struct store_key *keys = stale ? w->stale_keys : w->keys;
	uint32_t n = stale ? w->n_stale_keys : w->n_keys;
	struct answer_head head = {
		.revision = stale ? w->stale_revision : w->revision,
		.more = from + PAGE_KEYS < n,
	};

	if (!node_answer_begin(e->node, stale ? w->stale_epoch : w->epoch,
			       w->now_ns)) {
		node_answer_end(e->node, SOURCE_GONE, &head, w->now_ns);
		return;
	}
	for (uint32_t i = from; i < n && i < from + PAGE_KEYS; i++) {
		struct document d = keys[i].d;

		memcpy(head.last_key, d.key, sizeof(head.last_key));
		d.value = (uint8_t *)keys[i].value;
		if (!d.deleted)
			node_take_listed(e->node, &d);
	}
	node_answer_end(e->node, SOURCE_OK, &head, w->now_ns);
}

/* Answer an entry's watch with the changes after a revision. */
static void answer_watch(struct world *w, uint32_t entry, uint64_t after,
			 enum source_outcome outcome)
{
	struct sim_entry *e = &w->entries[entry];
	struct answer_head head = { .revision = w->revision };

	e->watching = false;
	if (outcome == SOURCE_OK &&
	    !node_answer_begin(e->node, w->epoch, w->now_ns))
		outcome = SOURCE_GONE;
	for (uint32_t i = 0; outcome == SOURCE_OK && i < w->n_keys; i++) {
		const struct document *d = &w->keys[i].d;

		if (d->revision > after)
			node_take_changed(e->node, d);
	}
	node_answer_end(e->node, outcome, &head, w->now_ns);
}

static bool same_process(const struct world *w, uint32_t entry, uint64_t boot)
{
	const struct sim_entry *e = &w->entries[entry];

	return e->up && !e->frozen && e->boot == boot;
}

/* How a listing is answered; packed into an event's argument with the index of
 * the first key. */
enum list_outcome { LIST_EXACT, LIST_STALE, LIST_FAILED, LIST_OUTCOMES };

static void on_listed(struct world *w, const struct event *e)
{
	uint32_t entry = (uint32_t)e->arg0;

	if (!same_process(w, entry, e->arg1) ||
	    w->entries[entry].list_answer_ns != w->now_ns)
		return;
	if (e->arg2 % LIST_OUTCOMES == LIST_FAILED)
		answer_watch(w, entry, 0, SOURCE_FAILED);
	else
		answer_page(w, entry, (uint32_t)(e->arg2 / LIST_OUTCOMES),
			    e->arg2 % LIST_OUTCOMES == LIST_STALE);
}

/* Outcome of a watch. The store has no history after its newest revision. */
static enum source_outcome watch_outcome(const struct world *w, uint32_t entry)
{
	const struct sim_entry *s = &w->entries[entry];

	if (store_mode_of(w, entry) != STORE_ANSWERS ||
	    s->watch_epoch != w->epoch)
		return SOURCE_FAILED; /* its connection was lost */
	return s->watch_after > w->revision ? SOURCE_GONE : SOURCE_OK;
}

static void on_watch_timeout(struct world *w, const struct event *e)
{
	struct sim_entry *s = &w->entries[e->arg0];

	if (same_process(w, (uint32_t)e->arg0, e->arg1) && s->watching &&
	    s->watch_after == e->arg2)
		answer_watch(w, (uint32_t)e->arg0, e->arg2,
			     watch_outcome(w, (uint32_t)e->arg0));
}

static void on_watch_change(struct world *w, const struct event *e)
{
	struct sim_entry *s = &w->entries[e->arg0];

	if (same_process(w, (uint32_t)e->arg0, e->arg1) && s->watching &&
	    watch_outcome(w, (uint32_t)e->arg0) != SOURCE_FAILED)
		answer_watch(w, (uint32_t)e->arg0, s->watch_after,
			     watch_outcome(w, (uint32_t)e->arg0));
}

static uint64_t store_answer_ns(const struct world *w)
{
	return w->now_ns < w->store_slow_until_ns ? w->store_slow_ns
						  : STORE_ANSWER_NS;
}

void store_list(void *ctx, const char *after_key, bool exact)
{
	struct port_ctx *c = ctx;
	enum store_mode mode = store_mode_of(c->w, index_of(c->w, c->entry));
	enum list_outcome outcome = exact ? LIST_EXACT : LIST_STALE;
	uint64_t wait_ns = store_answer_ns(c->w);
	uint64_t from = after_key
				? (uint64_t)(find_or_add_key(c->w, after_key) -
					     c->w->keys) +
					  1
				: 0;

	if (mode == STORE_SILENT)
		wait_ns = LIST_TIMEOUT_NS;
	c->w->report.store_calls++;
	c->entry->list_answer_ns = c->w->now_ns + wait_ns;
	world_schedule(c->w, wait_ns, on_listed, index_of(c->w, c->entry),
		       c->entry->boot,
		       from * LIST_OUTCOMES +
			       (mode == STORE_ANSWERS ? outcome : LIST_FAILED));
}

void store_watch(void *ctx, uint64_t after, uint64_t wait_ns)
{
	struct port_ctx *c = ctx;
	enum store_mode mode = store_mode_of(c->w, index_of(c->w, c->entry));

	if (mode == STORE_SILENT)
		wait_ns = WATCH_NS;
	if (mode == STORE_REFUSES || wait_ns < store_answer_ns(c->w))
		wait_ns = store_answer_ns(c->w);
	c->w->report.store_calls++;
	c->entry->watching = true;
	c->entry->watch_after = after;
	c->entry->watch_epoch = c->w->epoch;
	world_schedule(c->w, wait_ns, on_watch_timeout,
		       index_of(c->w, c->entry), c->entry->boot, after);
	if (mode == STORE_ANSWERS && c->w->revision != after)
		world_schedule(c->w, store_answer_ns(c->w), on_watch_change,
			       index_of(c->w, c->entry), c->entry->boot, 0);
}

static void write_key(struct world *w, struct store_key *k, const void *value,
		      uint32_t size_bytes)
{
	update_stale_copy(w);
	k->d.revision = ++w->revision;
	if (k->d.deleted)
		k->d.created = k->d.revision;
	k->d.deleted = !value;
	if (value)
		memcpy(k->value, value, size_bytes);
	k->d.value = value ? k->value : NULL;
	k->d.size_bytes = size_bytes;
	for (uint32_t i = 0; i < w->n_entries; i++)
		if (w->entries[i].watching)
			world_schedule(w, STORE_ANSWER_NS, on_watch_change, i,
				       w->entries[i].boot, 0);
}

static void write_routes(struct world *w)
{
	const struct site *s = &w->conf.site;
	struct routes_value v = { .version = w->version,
				  .n_routes = s->n_classes + w->extra_route,
				  .n_services = s->n_services };

	for (uint32_t i = 0; i < s->n_services; i++) {
		v.cold_per_s[i] = s->services[i].cold_per_s;
		v.cold_ms[i] = (uint32_t)(s->services[i].cold_ns / NS_PER_MS);
		memcpy(v.services[i], s->services[i].name,
		       sizeof(v.services[i]));
	}
	for (uint32_t i = 0; i < v.n_routes; i++)
		v.routes[i] = (struct route_value){
			w->classes[i].service,
			w->classes[i].other_service,
			w->classes[i].other_percent,
			w->classes[i].kind,
			w->classes[i].priority,
			(uint32_t)(w->classes[i].deadline_ns / NS_PER_MS),
			(uint32_t)(w->classes[i].objective_ns / NS_PER_MS),
		};
	write_key(w, find_or_add_key(w, "routes"), &v, sizeof(v));
}

void store_publish_routes(struct world *w)
{
	w->version++;
	write_routes(w);
}

static struct store_key *evacuation_key(struct world *w, uint32_t zone)
{
	char key[sizeof(EVACUATION_PREFIX) + SITE_NAME_BYTES];

	snprintf(key, sizeof(key), EVACUATION_PREFIX "%s",
		 w->conf.site.zones[zone].name);
	return find_or_add_key(w, key);
}

static bool has_evacuation(struct world *w, uint32_t zone)
{
	return !evacuation_key(w, zone)->d.deleted;
}

/* Write the evacuation of a data centre, or delete it. */
void store_set_evacuation(struct world *w, uint32_t zone, bool on)
{
	struct store_key *k = evacuation_key(w, zone);

	if (on)
		write_key(w, k, "", 0);
	else if (!k->d.deleted)
		write_key(w, k, NULL, 0);
}

static void target_key(uint64_t id, char *out, size_t n)
{
	snprintf(out, n, "target/%llu", (unsigned long long)id);
}

/* Write a record of a target, valid or not. */
void store_write_target(struct world *w, uint64_t id,
			const struct target_value *v)
{
	char key[64];

	target_key(id, key, sizeof(key));
	write_key(w, find_or_add_key(w, key), v, sizeof(*v));
}

/* Fill in the record that a target publishes. */
void store_target_value(const struct world *w, const struct sim_target *t,
			struct target_value *v)
{
	*v = (struct target_value){ .advertised = t->advertised };
	memcpy(v->service, w->conf.site.services[t->service].name,
	       sizeof(v->service));
	memcpy(v->zone, w->conf.site.zones[t->zone].name, sizeof(v->zone));
}

/* Publish a target's record. */
void store_publish_target(struct world *w, struct sim_target *t)
{
	struct target_value v;

	t->advertised.sequence++;
	t->advertised.cold_ms =
		t->cold_until_ns > w->now_ns
			? (uint32_t)((t->cold_until_ns - w->now_ns) / NS_PER_MS)
			: 0;
	store_target_value(w, t, &v);
	store_write_target(w, t->advertised.id, &v);
}

void store_delete_target(struct world *w, const struct sim_target *t)
{
	struct store_key *k;
	char key[64];

	target_key(t->advertised.id, key, sizeof(key));
	k = find_or_add_key(w, key);
	if (!k->d.deleted)
		write_key(w, k, NULL, 0);
}

/* Whether the store has the target's newest record. */
static bool has_current_target(struct world *w, const struct sim_target *t)
{
	const struct target_value *v;
	const struct store_key *k;
	char key[64];

	target_key(t->advertised.id, key, sizeof(key));
	k = find_or_add_key(w, key);
	v = (const struct target_value *)k->value;
	return !k->d.deleted &&
	       v->advertised.leaving == t->advertised.leaving &&
	       v->advertised.started_ms == t->advertised.started_ms;
}

/* Write again what the store lost, as the operator and the targets do. */
void store_republish_lost(struct world *w)
{
	const struct store_key *routes = find_or_add_key(w, "routes");

	if (((const struct routes_value *)routes->value)->version != w->version)
		write_routes(w);
	for (uint32_t z = 0; z < w->conf.site.n_zones; z++)
		if (w->evacuated_ns[z] &&
		    w->evacuated[z] != has_evacuation(w, z))
			store_set_evacuation(w, z, w->evacuated[z]);
	for (uint32_t i = 0; i < w->n_targets; i++) {
		if (!w->targets[i].alive)
			store_delete_target(w, &w->targets[i]);
		else if (!has_current_target(w, &w->targets[i]))
			store_publish_target(w, &w->targets[i]);
	}
}

static void decode_shares(const struct routes_value *v, uint32_t route,
			  struct directory *names, struct route *out)
{
	const struct route_value *r = &v->routes[route];

	out->n_shares = r->other_percent ? 2 : 1;
	out->shares[0] = (struct route_share){
		directory_find_service(names, v->services[r->service]),
		r->other_percent ? PERCENT - r->other_percent : 1
	};
	out->shares[1] = (struct route_share){
		directory_find_service(names, v->services[r->other_service]),
		r->other_percent
	};
}

/*
 * Decode a configuration. The decoder has no state, so that kinds and services
 * of the site are part of the value. The last route is the extra one, if any.
 */
static int decode_routes(const struct routes_value *v, struct directory *names,
			 struct decoded_document *out)
{
	struct route_table *t = calloc(1, sizeof(*t));

	t->version = v->version;
	t->n_routes = v->n_routes;
	t->routes = calloc(t->n_routes + 1, sizeof(*t->routes));
	t->n_cold = v->n_services;
	t->cold = calloc(t->n_cold, sizeof(*t->cold));
	for (uint32_t i = 0; i < v->n_services; i++)
		t->cold[i] = (struct service_cold){
			directory_add_service(names, v->services[i]),
			v->cold_ms[i], (float)v->cold_per_s[i]
		};
	for (uint32_t i = 0; i < t->n_routes; i++) {
		struct route *r = &t->routes[i];

		r->vip = route_vip(i);
		r->kind = v->routes[i].kind;
		r->priority = v->routes[i].priority;
		r->timeout_ms = v->routes[i].timeout_ms;
		r->objective_ms = v->routes[i].objective_ms;
		t->load_control = t->load_control || r->kind == ROUTE_DOWNLOAD;
		decode_shares(v, i, names, r);
	}
	out->kind = DOCUMENT_ROUTES;
	out->routes = t;
	return 0;
}

/* Whether a target can have the address: a unicast one, and a port. */
static bool is_endpoint(uint64_t addr)
{
	return ADDR_PORT(addr) && ADDR_IP(addr) >> 24 &&
	       ADDR_IP(addr) >> 24 < 224;
}

int store_decode(const struct document *d, struct directory *names,
		 struct decoded_document *out, const char **problem)
{
	struct target_value v = { 0 };

	*problem = "";
	*out = (struct decoded_document){ 0 };
	if (!strcmp(d->key, "routes"))
		return decode_routes((const struct routes_value *)d->value,
				     names, out);
	if (!strncmp(d->key, EVACUATION_PREFIX, strlen(EVACUATION_PREFIX))) {
		out->kind = DOCUMENT_EVACUATION;
		snprintf(out->data_centre, sizeof(out->data_centre), "%s",
			 d->key + strlen(EVACUATION_PREFIX));
		return 0;
	}
	out->kind = DOCUMENT_TARGET;
	out->target.id = strtoull(strchr(d->key, '/') + 1, NULL, 10);
	out->target.key_hash = hash_text(d->key);
	if (!d->value)
		return 0;
	memcpy(&v, d->value, sizeof(v));
	*problem = "not a target's";
	if (v.defect && v.defect != DEFECT_NO_START_TIME)
		return v.defect == DEFECT_SERVICE ? -ENOENT : -EPROTO;
	if (!is_endpoint(v.advertised.addr))
		return -EPROTO;
	v.advertised.id = out->target.id;
	v.advertised.key_hash = out->target.key_hash;
	out->target = v.advertised;
	out->target.service = directory_find_service(names, v.service);
	out->target.zone = (uint32_t)hash_text(v.zone);
	out->target.created = (struct position){ d->epoch, d->created };
	return 0;
}
