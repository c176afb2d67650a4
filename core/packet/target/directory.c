#include "cold.h"
#include "directory_impl.h"

#include "index.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>

#define ADDR_SEED 0x61646472ULL

/**
 * directory_new() - create an empty directory
 * @conf: settings, copied
 *
 * Return: directory, to be freed with directory_free(); NULL when out of
 * memory.
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
	for (uint32_t i = 0; i < d->n_targets; i++)
		free(d->targets[i]);
	for (uint32_t i = 0; i < d->n_services; i++) {
		free(d->services[i].targets);
		free(d->service_names[i]);
	}
	route_table_free(d->routes);
	index_free(d->by_cookie);
	index_free(d->by_id);
	index_free(d->by_addr);
	index_free(d->by_name);
	free(d);
}

static int append_target(struct directory_service *s, struct target *t)
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

static void remove_target(struct directory_service *s, const struct target *t)
{
	for (uint32_t i = 0; i < s->n; i++) {
		if (s->targets[i] != t)
			continue;
		s->targets[i] = s->targets[--s->n];
		return;
	}
}

static void mark_superseded(struct target *t, uint64_t now_ns)
{
	if (!t->successor_ns)
		t->successor_ns = now_ns;
}

static struct target *latest_at_addr(const struct directory *d, uint64_t addr)
{
	uint32_t i = index_get(d->by_addr, hash_u64(addr, ADDR_SEED));

	return i == INDEX_NONE ? NULL : d->targets[i];
}

static void addr_index_add(struct directory *d, const struct target *t)
{
	index_put(d->by_addr, hash_u64(t->advertised.addr, ADDR_SEED),
		  t->index);
}

static void addr_index_remove(struct directory *d, const struct target *t)
{
	if (latest_at_addr(d, t->advertised.addr) == t)
		index_del(d->by_addr, hash_u64(t->advertised.addr, ADDR_SEED),
			  t->index);
}

/*
 * Makes @t the latest process at its address, unless a later one is known.
 *
 * An address has one process at a time: when a later one is published there,
 * the earlier one has ended and gets no new flows. It counts as dead only after
 * it also left a packet unanswered: otherwise a record written by somebody else
 * that merely names the address of a target would reset all its flows. Records
 * arrive in any order, so @t may be the earlier process.
 */
static void claim_address(struct directory *d, struct target *t,
			  uint64_t now_ns)
{
	struct target *latest = latest_at_addr(d, t->advertised.addr);

	if (latest == t)
		return;
	if (latest && latest->stage != TARGET_ABSENT &&
	    target_is_older(t, latest)) {
		mark_superseded(t, now_ns);
		return;
	}
	if (latest) {
		mark_superseded(latest, now_ns);
		addr_index_remove(d, latest);
	}
	addr_index_add(d, t);
}

static struct target *add_target(struct directory *d,
				 const struct target_advertisement *a,
				 uint64_t now_ns)
{
	struct target *t;

	if (d->n_targets == DIRECTORY_TARGETS_MAX ||
	    a->service >= DIRECTORY_SERVICES_MAX)
		return NULL;
	t = calloc(1, sizeof(*t));
	if (!t || append_target(&d->services[a->service], t)) {
		free(t);
		return NULL;
	}
	t->advertised = *a;
	t->cookie = target_cookie(a->id);
	t->index = d->n_targets;
	t->means_updated_ns = now_ns;
	d->targets[d->n_targets++] = t;
	index_put(d->by_id, a->id, t->index);
	cookie_add(d, t);
	return t;
}

static bool change_service(struct directory *d, struct target *t,
			   uint32_t service)
{
	if (service == t->advertised.service)
		return true;
	if (service >= DIRECTORY_SERVICES_MAX ||
	    append_target(&d->services[service], t))
		return false;
	remove_target(&d->services[t->advertised.service], t);
	return true;
}

/* Discards what was observed of the previous process of a target. */
static void reset_process_state(struct target *t)
{
	t->health = HEALTH_GOOD;
	t->last_alive_ns = 0;
	t->successor_ns = 0;
	t->next_probe_ns = 0;
	t->leaving_refused_ns = 0;
	t->probe_misses = 0;
	t->failures = 0;
	t->ejected_until_ns = 0;
	t->ejections = 0;
	t->cold_until_ns = 0;
	t->cold_presumed = false;
	t->recovered_ns = 0;
}

/* Returns above 0 when @a is later than the known advertisement of @t. */
static int compare_advertisement(const struct target *t,
				 const struct target_advertisement *a)
{
	const struct target_advertisement *known = &t->advertised;

	if (a->started_ms != known->started_ms)
		return a->started_ms > known->started_ms ? 1 : -1;
	return (a->sequence > known->sequence) -
	       (a->sequence < known->sequence);
}

/*
 * A delayed write to the platform may complete after a later one by the same
 * process or the next, and bring an older advertisement back.
 */
static bool is_outdated(const struct target *t,
			const struct target_advertisement *a)
{
	return compare_advertisement(t, a) < 0;
}

/* Entries under two keys may have one id; the one created first owns it. */
static bool id_is_taken(const struct target *t,
			const struct target_advertisement *a)
{
	if (a->key_hash == t->advertised.key_hash || t->stage == TARGET_ABSENT)
		return false;
	return position_after(a->created, t->advertised.created);
}

static enum target_change
replace_advertisement(struct directory *d, struct target *t,
		      const struct target_advertisement *a)
{
	bool restarted = a->started_ms != t->advertised.started_ms;
	bool same_record = a->key_hash == t->advertised.key_hash;
	struct position created = t->advertised.created;

	if (!change_service(d, t, a->service))
		return TARGET_NO_CAPACITY;
	addr_index_remove(d, t);
	if (restarted)
		cookie_remove(d, t);
	t->advertised = *a;
	if (restarted) {
		reset_process_state(t);
		cookie_add(d, t);
		return TARGET_RESTARTED;
	}
	/* A record created again after a lapse is of the same process. */
	if (same_record)
		t->advertised.created = created;
	return TARGET_UPDATED;
}

/**
 * directory_update_target() - add a target or apply its latest advertisement
 * @d: directory
 * @a: advertisement, copied
 * @now_ns: current time
 * @change: set to the effect, also when the advertisement is rejected
 *
 * Return: the target with the id of @a, owned by the directory; NULL when a new
 * one cannot be added.
 */
struct target *directory_update_target(struct directory *d,
				       const struct target_advertisement *a,
				       uint64_t now_ns,
				       enum target_change *change)
{
	struct target *t = directory_by_id(d, a->id);

	if (!t) {
		t = add_target(d, a, now_ns);
		*change = t ? TARGET_NEW : TARGET_NO_CAPACITY;
	} else if (id_is_taken(t, a)) {
		*change = TARGET_ID_CONFLICT;
	} else if (a->key_hash == t->advertised.key_hash && is_outdated(t, a)) {
		*change = TARGET_OUTDATED;
	} else {
		*change = replace_advertisement(d, t, a);
	}
	if (*change >= TARGET_NO_CAPACITY)
		return t;
	t->stage = a->leaving ? TARGET_LEAVING : TARGET_SERVING;
	if (!t->cold_presumed)
		cold_begin(t, now_ns + a->cold_ms * NS_PER_MS, now_ns);
	claim_address(d, t, now_ns);
	return t;
}

/**
 * directory_compare_advertisement() - order an advertisement against the known
 *	one of its target
 * @d: directory
 * @a: advertisement
 *
 * Return: above 0 when @a is later, below 0 when it is earlier; 0 when they are
 * equal, the target is unknown or its record has another key.
 */
int directory_compare_advertisement(const struct directory *d,
				    const struct target_advertisement *a)
{
	const struct target *t = directory_by_id(d, a->id);

	return t && t->advertised.key_hash == a->key_hash
		       ? compare_advertisement(t, a)
		       : 0;
}

/**
 * directory_mark_absent() - record that a target has no record on the platform
 *	any more, or only one that is not valid
 * @d: directory
 * @a: id and key hash of the record, other members are unused
 * @now_ns: current time
 * @platform_failed_ns: when the platform last failed to answer; 0 for never,
 *	and for a record that exists but is not valid
 *
 * During an outage of the platform the records of live targets lapse. Such
 * targets are presumed alive until the platform answers at a time when it has
 * been available for long enough that they could renew their records. Treating
 * them as gone would leave a service without targets.
 *
 * Return: target with the id, NULL when unknown. It is unchanged when its record
 * has another key.
 */
struct target *directory_mark_absent(struct directory *d,
				     const struct target_advertisement *a,
				     uint64_t now_ns,
				     uint64_t platform_failed_ns)
{
	struct target *t = directory_by_id(d, a->id);

	if (!t || t->advertised.key_hash != a->key_hash)
		return t;
	t->presumed_alive = t->presumed_alive && platform_failed_ns;
	if (t->stage == TARGET_ABSENT)
		return t;
	t->absent_ns = now_ns;
	t->forget_ns = now_ns + d->conf.flow_lifetime_ns;
	t->presumed_alive = platform_failed_ns && t->stage == TARGET_SERVING &&
			    platform_failed_ns + d->conf.recovery_ns > now_ns;
	t->presumed_until_ns = platform_failed_ns + d->conf.recovery_ns;
	t->stage = TARGET_ABSENT;
	return t;
}

static void delete_target(struct directory *d, struct target *t)
{
	struct target *last = d->targets[d->n_targets - 1];
	bool latest;

	cookie_remove(d, t);
	addr_index_remove(d, t);
	index_del(d->by_id, t->advertised.id, t->index);
	remove_target(&d->services[t->advertised.service], t);
	if (last != t) {
		index_del(d->by_id, last->advertised.id, last->index);
		index_put(d->by_id, last->advertised.id, t->index);
		cookie_set_index(d, last, t->index);
		latest = latest_at_addr(d, last->advertised.addr) == last;
		if (latest)
			addr_index_remove(d, last);
		last->index = t->index;
		if (latest)
			addr_index_add(d, last);
		d->targets[t->index] = last;
	}
	d->n_targets--;
	free(t);
}

/*
 * Ends the presumption that an absent target is alive. Requires an answer of
 * the platform, not only time: an entry that is partitioned from the platform
 * cannot see the records that were renewed.
 */
static void update_presumption(const struct directory *d, struct target *t,
			       const struct directory_tick_times *times)
{
	uint64_t until_ns = times->platform_failed_ns + d->conf.recovery_ns;

	if (!t->presumed_alive)
		return;
	if (until_ns > t->presumed_until_ns)
		t->presumed_until_ns = until_ns;
	if (times->now_ns >= t->presumed_until_ns &&
	    times->platform_answered_ns >= t->presumed_until_ns)
		t->presumed_alive = false;
	t->forget_ns = times->now_ns + d->conf.flow_lifetime_ns;
}

/**
 * directory_tick() - delete absent targets whose time is over, update the state
 *	of the others
 * @d: directory
 * @times: current time and state of the platform
 *
 * Keeps targets that flows of the cache refer to or that have a probe pending.
 */
void directory_tick(struct directory *d,
		    const struct directory_tick_times *times)
{
	uint32_t present = 0, with_start = 0;

	for (uint32_t i = d->n_targets; i-- > 0;) {
		struct target *t = d->targets[i];

		present += t->stage != TARGET_ABSENT;
		with_start +=
			t->stage != TARGET_ABSENT && t->advertised.started_ms;
		if (t->stage != TARGET_ABSENT)
			continue;
		update_presumption(d, t, times);
		if (times->now_ns >= t->forget_ns && !t->cached_flows &&
		    !t->probe_pending)
			delete_target(d, t);
	}
	d->start_times_published = with_start * 2 > present;
}

/**
 * directory_start_times_published() - whether targets publish their start time
 * @d: directory
 *
 * Return: true when most do. A record without a start time is then taken for
 * one that no target wrote, and gets no new flows.
 */
bool directory_start_times_published(const struct directory *d)
{
	return d->start_times_published;
}

struct target *directory_by_id(const struct directory *d, uint64_t id)
{
	uint32_t i = index_get(d->by_id, id);

	return i == INDEX_NONE ? NULL : d->targets[i];
}

/**
 * directory_target_at() - target by its position in the directory
 * @d: directory
 * @index: from 0 to directory_target_count() - 1; the index of a target changes
 *	when another one is deleted
 *
 * Return: target, owned by the directory; NULL beyond the last one.
 */
struct target *directory_target_at(const struct directory *d, uint32_t index)
{
	return index < d->n_targets ? d->targets[index] : NULL;
}

uint32_t directory_target_count(const struct directory *d)
{
	return d->n_targets;
}

/**
 * directory_service_targets() - targets of a service, absent ones included
 * @d: directory
 * @service: number of the service
 * @targets: set to an array owned by the directory and valid until its next
 *	change; not set for a number out of range
 *
 * Return: length of the array.
 */
uint32_t directory_service_targets(const struct directory *d, uint32_t service,
				   struct target *const **targets)
{
	if (service >= DIRECTORY_SERVICES_MAX)
		return 0;
	*targets = d->services[service].targets;
	return d->services[service].n;
}

/**
 * directory_is_serving() - whether a target may be given new flows
 * @d: directory
 * @t: target
 *
 * Return: true when it is published as serving or presumed alive, its process
 * is not known to have ended, its record has a start time if most records have,
 * and its data centre is not evacuated.
 */
bool directory_is_serving(const struct directory *d, const struct target *t)
{
	return target_is_serving(d, t);
}
