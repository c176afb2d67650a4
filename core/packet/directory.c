#include "directory.h"

#include "index.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>

#define COOKIE_SEED 0x636f6f6b6965ULL

/* Targets of one service, in the order they were learned. */
struct service {
	struct target **targets;
	uint32_t n;
	uint32_t capacity;
};

struct directory {
	struct directory_conf conf;
	struct route_table *table;
	struct target *slots[DIRECTORY_TARGETS_MAX];
	uint32_t n_slots;
	struct index *by_cookie;
	struct index *by_id;
	struct service services[DIRECTORY_SERVICES_MAX];
	char *names[DIRECTORY_SERVICES_MAX];
	uint32_t n_names;
	struct index *by_name;
};

/**
 * target_cookie() - routing cookie of a target
 * @id: its id
 *
 * An id is longer than the 32 bits that a packet carries, so the cookie is a
 * hash of it; every entry computes the same.
 *
 * Return: cookie, never 0.
 */
uint32_t target_cookie(uint64_t id)
{
	uint32_t cookie = (uint32_t)hash_u64(id, COOKIE_SEED);

	return cookie ? cookie : 1;
}

/**
 * directory_new() - an empty directory
 * @conf: settings
 *
 * Return: directory, or NULL without memory.
 */
struct directory *directory_new(const struct directory_conf *conf)
{
	struct directory *d = calloc(1, sizeof(*d));

	if (!d)
		return NULL;
	d->conf = *conf;
	d->by_cookie = index_new(DIRECTORY_TARGETS_MAX);
	d->by_id = index_new(DIRECTORY_TARGETS_MAX);
	d->by_name = index_new(DIRECTORY_SERVICES_MAX);
	if (d->by_cookie && d->by_id && d->by_name)
		return d;
	directory_free(d);
	return NULL;
}

void directory_free(struct directory *d)
{
	if (!d)
		return;
	for (uint32_t i = 0; i < d->n_slots; i++)
		free(d->slots[i]);
	for (uint32_t i = 0; i < d->n_names; i++) {
		free(d->services[i].targets);
		free(d->names[i]);
	}
	route_table_free(d->table);
	index_free(d->by_cookie);
	index_free(d->by_id);
	index_free(d->by_name);
	free(d);
}

/**
 * directory_name() - number of a service's or data centre's name
 * @d: directory
 * @name: name
 *
 * Return: its number, new when the name is; DIRECTORY_NAME_NONE when there
 * are too many names.
 */
uint32_t directory_name(struct directory *d, const char *name)
{
	uint64_t hash = hash_text(name);
	uint32_t i = index_get(d->by_name, hash);

	if (i != INDEX_NONE)
		return i;
	if (d->n_names == DIRECTORY_SERVICES_MAX)
		return DIRECTORY_NAME_NONE;
	d->names[d->n_names] = strdup(name);
	index_put(d->by_name, hash, d->n_names);
	return d->n_names++;
}

const char *directory_name_text(const struct directory *d, uint32_t name)
{
	return name < d->n_names && d->names[name] ? d->names[name] : "";
}

/**
 * directory_routes() - put a configuration in force
 * @d: directory
 * @take: table; taken in any case
 * @now_ns: time
 *
 * Return: 0; -EALREADY when a version as high is in force; -ENOMEM.
 */
int directory_routes(struct directory *d, struct route_table *take,
		     uint64_t now_ns)
{
	int err;

	if (d->table && take->version <= d->table->version) {
		route_table_free(take);
		return -EALREADY;
	}
	err = route_table_index(take);
	if (err) {
		route_table_free(take);
		return err;
	}
	route_table_inherit(take, d->table, now_ns, d->conf.flow_lifetime_ns);
	route_table_free(d->table);
	d->table = take;
	return 0;
}

const struct route_table *directory_table(const struct directory *d)
{
	return d->table;
}

static int service_add(struct service *s, struct target *t)
{
	struct target **grown = s->targets;

	if (s->n == s->capacity) {
		s->capacity = s->capacity ? s->capacity * 2 : 16;
		grown = realloc(s->targets, s->capacity * sizeof(*grown));
		if (!grown)
			return -ENOMEM;
		s->targets = grown;
	}
	s->targets[s->n++] = t;
	return 0;
}

static void service_remove(struct service *s, const struct target *t)
{
	for (uint32_t i = 0; i < s->n; i++) {
		if (s->targets[i] != t)
			continue;
		s->targets[i] = s->targets[--s->n];
		return;
	}
}

static bool older(const struct target *a, const struct target *b)
{
	if (a->news.created != b->news.created)
		return a->news.created < b->news.created;
	return a->news.id < b->news.id;
}

/* Put @t among the targets of its cookie, the oldest first. */
static void cookie_add(struct directory *d, struct target *t)
{
	uint32_t head = index_get(d->by_cookie, t->cookie);
	struct target **at, *first;

	if (head == INDEX_NONE) {
		index_put(d->by_cookie, t->cookie, t->slot);
		return;
	}
	first = d->slots[head];
	at = &first;
	while (*at && older(*at, t))
		at = &(*at)->twin;
	t->twin = *at;
	*at = t;
	if (first->slot != head) {
		index_del(d->by_cookie, t->cookie, head);
		index_put(d->by_cookie, t->cookie, first->slot);
	}
}

static void cookie_remove(struct directory *d, struct target *t)
{
	uint32_t head = index_get(d->by_cookie, t->cookie);
	struct target **at, *first = d->slots[head];

	at = &first;
	while (*at && *at != t)
		at = &(*at)->twin;
	if (*at)
		*at = t->twin;
	index_del(d->by_cookie, t->cookie, head);
	if (first)
		index_put(d->by_cookie, t->cookie, first->slot);
}

/*
 * An address has one target at a time: who had it before has ended. Entries
 * are learned in any order, so @t may be the earlier one.
 */
static void end_earlier(struct directory *d, struct target *t)
{
	for (uint32_t i = 0; i < d->n_slots; i++) {
		struct target *o = d->slots[i];

		if (o == t || o->news.addr != t->news.addr)
			continue;
		if (older(o, t))
			o->health = HEALTH_DEAD;
		else
			t->health = HEALTH_DEAD;
	}
}

static struct target *add(struct directory *d, const struct target_news *news,
			  uint64_t now_ns)
{
	struct target *t;

	if (d->n_slots == DIRECTORY_TARGETS_MAX ||
	    news->service >= DIRECTORY_SERVICES_MAX)
		return NULL;
	t = calloc(1, sizeof(*t));
	if (!t || service_add(&d->services[news->service], t)) {
		free(t);
		return NULL;
	}
	t->news = *news;
	t->cookie = target_cookie(news->id);
	t->slot = d->n_slots;
	t->mean_ns = now_ns;
	d->slots[d->n_slots++] = t;
	index_put(d->by_id, news->id, t->slot);
	cookie_add(d, t);
	end_earlier(d, t);
	return t;
}

/**
 * directory_target() - take what was published of a target
 * @d: directory
 * @news: its entry
 * @now_ns: time
 *
 * Return: the target, or NULL when there is no room for it.
 */
struct target *directory_target(struct directory *d,
				const struct target_news *news, uint64_t now_ns)
{
	struct target *t = directory_by_id(d, news->id);
	uint64_t created;

	if (!t)
		t = add(d, news, now_ns);
	if (!t)
		return NULL;
	/* An entry that came back after a lapse is the same target. */
	created = t->news.created;
	t->news.leaving = news->leaving;
	t->news.slots = news->slots;
	t->news.zone = news->zone;
	t->news.created = created;
	t->stage = news->leaving ? TARGET_LEAVING : TARGET_SERVING;
	if (news->cold_ns)
		t->cold_until_ns = now_ns + news->cold_ns;
	return t;
}

/**
 * directory_absent() - a target's entry vanished from the platform
 * @d: directory
 * @id: target
 * @now_ns: time
 * @trouble_ns: when the platform was last seen in trouble; 0 for never
 *
 * While the platform is away the entries of live targets run out. They are
 * presumed to live until it has answered after it was back for long enough to
 * renew them; taking them as gone would leave a service without targets.
 *
 * Return: the target, or NULL.
 */
struct target *directory_absent(struct directory *d, uint64_t id,
				uint64_t now_ns, uint64_t trouble_ns)
{
	struct target *t = directory_by_id(d, id);

	if (!t || t->stage == TARGET_ABSENT)
		return t;
	t->absent_ns = now_ns;
	t->forget_ns = now_ns + d->conf.flow_lifetime_ns;
	t->presumed = trouble_ns && t->stage == TARGET_SERVING &&
		      trouble_ns + d->conf.return_ns > now_ns;
	t->presumed_until_ns = trouble_ns + d->conf.return_ns;
	t->stage = TARGET_ABSENT;
	return t;
}

static void forget(struct directory *d, struct target *t)
{
	struct target *last = d->slots[d->n_slots - 1];

	cookie_remove(d, t);
	index_del(d->by_id, t->news.id, t->slot);
	service_remove(&d->services[t->news.service], t);
	if (last != t) {
		uint32_t head = index_get(d->by_cookie, last->cookie);

		index_del(d->by_id, last->news.id, last->slot);
		if (head == last->slot)
			index_del(d->by_cookie, last->cookie, head);
		index_put(d->by_id, last->news.id, t->slot);
		if (head == last->slot)
			index_put(d->by_cookie, last->cookie, t->slot);
		last->slot = t->slot;
		d->slots[t->slot] = last;
	}
	d->n_slots--;
	free(t);
}

/*
 * Time alone ends no presumption: who is cut off from the platform in the
 * meantime can't see the entries that came back.
 */
static void presume(const struct directory *d, struct target *t,
		    const struct directory_clock *c)
{
	uint64_t until_ns = c->trouble_ns + d->conf.return_ns;

	if (!t->presumed)
		return;
	if (until_ns > t->presumed_until_ns)
		t->presumed_until_ns = until_ns;
	if (c->now_ns >= t->presumed_until_ns &&
	    c->contact_ns >= t->presumed_until_ns)
		t->presumed = false;
	t->forget_ns = c->now_ns + d->conf.flow_lifetime_ns;
}

/**
 * directory_tick() - forget departed targets, end presumptions
 * @d: directory
 * @c: what they go by
 *
 * A target that flows of the cache point at is kept.
 */
void directory_tick(struct directory *d, const struct directory_clock *c)
{
	for (uint32_t i = d->n_slots; i-- > 0;) {
		struct target *t = d->slots[i];

		if (t->stage != TARGET_ABSENT)
			continue;
		presume(d, t, c);
		if (c->now_ns >= t->forget_ns && !t->held && !t->probing)
			forget(d, t);
	}
}

/**
 * directory_by_cookie() - target that a cookie names
 * @d: directory
 * @cookie: cookie
 *
 * Of several targets with one cookie it is the oldest, by the revision of its
 * entry's creation, which all entries see alike; place_target() gives the
 * others no flows.
 *
 * Return: target, or NULL.
 */
struct target *directory_by_cookie(const struct directory *d, uint32_t cookie)
{
	uint32_t slot = index_get(d->by_cookie, cookie);

	return slot == INDEX_NONE ? NULL : d->slots[slot];
}

struct target *directory_by_id(const struct directory *d, uint64_t id)
{
	uint32_t slot = index_get(d->by_id, id);

	return slot == INDEX_NONE ? NULL : d->slots[slot];
}

struct target *directory_slot(const struct directory *d, uint32_t slot)
{
	return slot < d->n_slots ? d->slots[slot] : NULL;
}

uint32_t directory_slots(const struct directory *d)
{
	return d->n_slots;
}

/**
 * directory_of_service() - targets of a service, departed ones too
 * @d: directory
 * @service: number of its name
 * @out: set to them
 *
 * Return: how many.
 */
uint32_t directory_of_service(const struct directory *d, uint32_t service,
			      struct target *const **out)
{
	if (service >= DIRECTORY_SERVICES_MAX)
		return 0;
	*out = d->services[service].targets;
	return d->services[service].n;
}
