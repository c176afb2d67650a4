#include "cold.h"
#include "directory_impl.h"

#include "index.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>

#define ADDR_SEED 0x61646472ULL

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
	d->by_addr = index_new(DIRECTORY_TARGETS_MAX);
	d->by_name = index_new(DIRECTORY_SERVICES_MAX);
	if (d->by_cookie && d->by_id && d->by_addr && d->by_name)
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
	index_free(d->by_addr);
	index_free(d->by_name);
	free(d);
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

static void note_successor(struct target *t, uint64_t now_ns)
{
	if (!t->successor_ns)
		t->successor_ns = now_ns;
}

static struct target *latest_at(const struct directory *d, uint64_t addr)
{
	uint32_t slot = index_get(d->by_addr, hash_u64(addr, ADDR_SEED));

	return slot == INDEX_NONE ? NULL : d->slots[slot];
}

static void index_addr(struct directory *d, const struct target *t)
{
	index_put(d->by_addr, hash_u64(t->news.addr, ADDR_SEED), t->slot);
}

static void unindex_addr(struct directory *d, const struct target *t)
{
	if (latest_at(d, t->news.addr) == t)
		index_del(d->by_addr, hash_u64(t->news.addr, ADDR_SEED),
			  t->slot);
}

/*
 * An address has one process at a time: when a later one is published there,
 * the earlier one has ended. It gets no new flows. That it is dead takes a
 * packet that goes unanswered, too: an entry by somebody else, who only names
 * the address of a target, would cut all flows of it. Entries are learned in
 * any order, so @t may be the earlier one.
 */
static void take_address(struct directory *d, struct target *t, uint64_t now_ns)
{
	struct target *o = latest_at(d, t->news.addr);

	if (o == t)
		return;
	if (o && o->stage != TARGET_ABSENT && target_older(t, o)) {
		note_successor(t, now_ns);
		return;
	}
	if (o) {
		note_successor(o, now_ns);
		unindex_addr(d, o);
	}
	index_addr(d, t);
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
	return t;
}

static bool move_service(struct directory *d, struct target *t,
			 uint32_t service)
{
	if (service == t->news.service)
		return true;
	if (service >= DIRECTORY_SERVICES_MAX ||
	    service_add(&d->services[service], t))
		return false;
	service_remove(&d->services[t->news.service], t);
	return true;
}

/* Nothing that was learned of the process before holds for the next one. */
static void forget_process(struct target *t)
{
	t->health = HEALTH_GOOD;
	t->alive_ns = 0;
	t->successor_ns = 0;
	t->probe_ns = 0;
	t->refused_ns = 0;
	t->misses = 0;
	t->failures = 0;
	t->ejected_until_ns = 0;
	t->ejections = 0;
	t->cold_until_ns = 0;
	t->cold_presumed = false;
	t->returned_ns = 0;
}

/* Above 0 when @news is later than what is known of the target. */
static int compare(const struct target *t, const struct target_news *news)
{
	const struct target_news *known = &t->news;

	if (news->started_ms != known->started_ms)
		return news->started_ms > known->started_ms ? 1 : -1;
	return (news->sequence > known->sequence) -
	       (news->sequence < known->sequence);
}

/*
 * Whether an entry is older than what is known: a write that was held up may
 * be done after the one that followed it, by the same process or the next.
 */
static bool outdated(const struct target *t, const struct target_news *news)
{
	return compare(t, news) < 0;
}

/* Two keys may name one id; the entry that was created first has it. */
static bool foreign(const struct target *t, const struct target_news *news)
{
	if (news->entry == t->news.entry || t->stage == TARGET_ABSENT)
		return false;
	return position_after(news->created, t->news.created);
}

static enum target_change take(struct directory *d, struct target *t,
			       const struct target_news *news)
{
	bool restarted = news->started_ms != t->news.started_ms;
	bool same_entry = news->entry == t->news.entry;
	struct position created = t->news.created;

	if (!move_service(d, t, news->service))
		return TARGET_NO_ROOM;
	unindex_addr(d, t);
	if (restarted)
		cookie_remove(d, t);
	t->news = *news;
	if (restarted) {
		forget_process(t);
		cookie_add(d, t);
		return TARGET_RESTARTED;
	}
	/* An entry that came back after a lapse is of the same process. */
	if (same_entry)
		t->news.created = created;
	return TARGET_UPDATED;
}

/**
 * directory_target() - take what was published of a target
 * @d: directory
 * @news: its entry
 * @now_ns: time
 * @change: set to what it meant, enum target_change
 *
 * Return: the target, or NULL when there is no room for it.
 */
struct target *directory_target(struct directory *d,
				const struct target_news *news, uint64_t now_ns,
				enum target_change *change)
{
	struct target *t = directory_by_id(d, news->id);

	if (!t) {
		t = add(d, news, now_ns);
		*change = t ? TARGET_NEW : TARGET_NO_ROOM;
	} else if (foreign(t, news)) {
		*change = TARGET_FOREIGN;
	} else if (news->entry == t->news.entry && outdated(t, news)) {
		*change = TARGET_OUTDATED;
	} else {
		*change = take(d, t, news);
	}
	if (*change >= TARGET_NO_ROOM)
		return t;
	t->stage = news->leaving ? TARGET_LEAVING : TARGET_SERVING;
	if (!t->cold_presumed)
		cold_begin(t, now_ns + news->cold_ms * NS_PER_MS, now_ns);
	take_address(d, t, now_ns);
	return t;
}

/**
 * directory_compare() - the order of an entry and what is known of its target
 * @d: directory
 * @news: entry
 *
 * Return: above 0 when @news is the later one, below 0 when it is the earlier
 * one, 0 for the same, an unknown target, and another key's entry.
 */
int directory_compare(const struct directory *d, const struct target_news *news)
{
	const struct target *t = directory_by_id(d, news->id);

	return t && t->news.entry == news->entry ? compare(t, news) : 0;
}

/**
 * directory_absent() - a target's entry vanished from the platform, or names
 *	no target any more
 * @d: directory
 * @news: its id and key
 * @now_ns: time
 * @trouble_ns: when the platform was last seen in trouble; 0 for never, and for
 *	an entry that still stands
 *
 * While the platform is away the entries of live targets run out. They are
 * presumed to live until it has answered after it was back for long enough to
 * renew them; taking them as gone would leave a service without targets.
 *
 * Return: the target, or NULL.
 */
struct target *directory_absent(struct directory *d,
				const struct target_news *news, uint64_t now_ns,
				uint64_t trouble_ns)
{
	struct target *t = directory_by_id(d, news->id);

	if (!t || t->news.entry != news->entry)
		return t;
	t->presumed = t->presumed && trouble_ns;
	if (t->stage == TARGET_ABSENT)
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
	bool latest;

	cookie_remove(d, t);
	unindex_addr(d, t);
	index_del(d->by_id, t->news.id, t->slot);
	service_remove(&d->services[t->news.service], t);
	if (last != t) {
		index_del(d->by_id, last->news.id, last->slot);
		index_put(d->by_id, last->news.id, t->slot);
		cookie_renumber(d, last, t->slot);
		latest = latest_at(d, last->news.addr) == last;
		if (latest)
			unindex_addr(d, last);
		last->slot = t->slot;
		if (latest)
			index_addr(d, last);
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
	uint32_t present = 0, told = 0;

	for (uint32_t i = d->n_slots; i-- > 0;) {
		struct target *t = d->slots[i];

		present += t->stage != TARGET_ABSENT;
		told += t->stage != TARGET_ABSENT && t->news.started_ms;
		if (t->stage != TARGET_ABSENT)
			continue;
		presume(d, t, c);
		if (c->now_ns >= t->forget_ns && !t->held && !t->probing)
			forget(d, t);
	}
	d->starts_told = told * 2 > present;
}

/**
 * directory_starts_told() - whether targets here tell when they started
 * @d: directory
 *
 * Return: whether most do. Then an entry that does not is somebody else's.
 */
bool directory_starts_told(const struct directory *d)
{
	return d->starts_told;
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

/**
 * directory_serving() - whether a target may be given new flows at all
 * @d: directory
 * @t: target
 *
 * Return: whether it is published as serving, or presumed to be, nothing says
 * that its process has ended or that it never was one, and its data centre is
 * not evacuated.
 */
bool directory_serving(const struct directory *d, const struct target *t)
{
	return target_serving(d, t);
}
