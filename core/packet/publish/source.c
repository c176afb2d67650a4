#include "source.h"

/*
 * Of those that know each other the first in rank reads, and the others have it
 * from there soon after; the next in rank waits for as long as a listing takes,
 * a second at most.
 */
#define YOUNG_STEP_NS (60 * NS_PER_MS)
#define YOUNG_WAIT_MAX_NS NS_PER_S
/*
 * Who hears of so many others before it has read anything waits for one of
 * them: when all start together the first few have read before the rest could,
 * since the platform's link is shared by all that read.
 */
#define CROWD 12
#define CROWD_WAIT_NS (400 * NS_PER_MS)
/* A rank counts when heartbeats had time to tell of all that live. */
#define RANK_KNOWN_NS (500 * NS_PER_MS)
/* Ranks stand in one after the other, not all at once. */
#define RANK_STEP_NS (300 * NS_PER_MS)
/*
 * Changes that come in a row are read in one call. Pages of a listing follow
 * each other at once: a pause after each that brought something new would keep an
 * entry that starts from serving.
 */
#define BATCH_NS (300 * NS_PER_MS)
/* One data centre reads for all; another one reads as well, since a watch may
 * have gone silent, but seldom: a change that only it sees is known after a
 * second, and in force everywhere half a second later, of 3 s. */
#define READING_ZONES 2
#define SECOND_BATCH_NS NS_PER_S
/*
 * An answer that takes longer to come fills this VM's link. A watch brings every
 * value that a document had: in a row of changes of a large configuration each
 * answer would be longer than the one before, and news of targets come behind
 * it. A listing brings the last value alone.
 */
#define SLOW_ANSWER_NS (500 * NS_PER_MS)
#define RETRY_FIRST_NS (100 * NS_PER_MS)
#define RETRY_DOUBLINGS 3
/* Then the listing's first page may be older than the platform's history. */
#define LISTING_FAILURES 8
/* A process that knows nothing yet serves nobody, so it asks more often. */
#define RETRY_DOUBLINGS_FIRST 1

/*
 * Answers of others stand in the way of a connection to the platform for as long
 * as they will in the way of our answer. Of hundreds that start at once all would
 * have theirs together, and last. With the link left to some of them at a time,
 * the first ones have theirs soon, and the rest have it from these. Where the way
 * to the platform takes that long anyhow, nobody gives way more than a few times.
 */
#define BUSY_CONNECT_NS (12 * NS_PER_MS)
#define GIVE_WAY_NS (50 * NS_PER_MS)
#define GIVE_WAY_SPREAD_NS (200 * NS_PER_MS)
#define GIVE_WAY_MOST 4

static uint64_t young_wait_ns(const struct source_view *v)
{
	uint64_t wait_ns = v->rank * YOUNG_STEP_NS;

	if (v->peers >= CROWD)
		wait_ns += CROWD_WAIT_NS;
	if (wait_ns > YOUNG_WAIT_MAX_NS)
		wait_ns = YOUNG_WAIT_MAX_NS;
	return v->policy->young_wait_ns + wait_ns;
}

/* A peer that is being asked answers sooner than the platform, or not at all. */
static uint64_t first_ns(const struct source *s, const struct source_view *v)
{
	return s->start_ns +
	       (v->fetching ? v->policy->young_wait_ns + YOUNG_WAIT_MAX_NS
			    : young_wait_ns(v));
}

static bool wanted(const struct source *s, const struct source_view *v)
{
	uint64_t patience_ns = v->rank * RANK_STEP_NS;

	if (s->listing)
		return true;
	if (!v->through)
		return v->now_ns >= first_ns(s, v);
	if (!v->policy->one_reader)
		return true;
	if (v->readers_before >= READING_ZONES)
		return false;
	if (!v->rank && (v->now_ns > s->start_ns + RANK_KNOWN_NS ||
			 v->now_ns > v->others_ns + SOURCE_CONTACT_NS))
		return true;
	return v->now_ns > v->others_ns + SOURCE_CONTACT_NS + patience_ns;
}

/**
 * source_next() - the next call, if one is due
 * @s: state
 * @v: what the decision goes by
 *
 * Return: SOURCE_WAIT, or the call to make after source_begin().
 */
enum source_step source_next(const struct source *s,
			     const struct source_view *v)
{
	if (s->calling || v->now_ns < s->next_ns || !wanted(s, v))
		return SOURCE_WAIT;
	return s->listing || s->relist || !v->known ? SOURCE_LIST
						    : SOURCE_WATCH;
}

/**
 * source_wait_ns() - how long a watch may wait for a change
 * @v: what the decision goes by
 *
 * Return: time; none after a listing that may be old: what came since is
 * wanted at once, also when it is nothing.
 */
uint64_t source_wait_ns(const struct source_view *v)
{
	return v->through ? SOURCE_WATCH_MS * NS_PER_MS : 0;
}

/**
 * source_begin() - a call was started
 * @s: state
 * @step: which
 */
void source_begin(struct source *s, enum source_step step)
{
	s->calling = true;
	s->relist = false;
	s->listing = step == SOURCE_LIST;
}

/**
 * source_connected() - whether to ask over a connection that has just been made
 * @s: state
 * @v: what the decision goes by
 * @took_ns: time that it took
 *
 * Return: whether; false when others are being answered, before a first
 * listing. The call ends with SOURCE_BUSY then.
 */
bool source_connected(const struct source *s, const struct source_view *v,
		      uint64_t took_ns)
{
	return v->known || took_ns < BUSY_CONNECT_NS ||
	       s->gave_way >= GIVE_WAY_MOST;
}

/**
 * source_needless() - a peer brought what a first listing was to bring
 * @s: state
 *
 * The page on its way, if any, is not waited for.
 */
void source_needless(struct source *s)
{
	s->calling = s->calling && !s->listing;
	s->listing = false;
}

/* The next call after an answer that brought changes. */
static void go_on(struct source *s, const struct source_view *v)
{
	if (s->came_ns > SLOW_ANSWER_NS) {
		s->relist = true;
		s->exact = true;
		return;
	}
	s->next_ns += v->readers_before ? SECOND_BATCH_NS : BATCH_NS;
}

static void list_anew(struct source *s)
{
	s->relist = true;
	s->exact = true;
	s->listing = false;
}

/*
 * Listed at once when the history is gone. When the next watch is told the same
 * a listing does not help: without a pause it would be asked for as fast as the
 * platform answers.
 */
static uint64_t behind_wait_ns(struct source *s)
{
	uint32_t again = s->behind++;

	if (!again)
		return 0;
	again--;
	return RETRY_FIRST_NS
	       << (again < RETRY_DOUBLINGS ? again : RETRY_DOUBLINGS);
}

/**
 * source_end() - a call ended
 * @s: state
 * @outcome: how
 * @more: a listing goes on
 * @changed: a watch brought changes
 * @v: what the decision goes by
 */
void source_end(struct source *s, enum source_outcome outcome, bool more,
		bool changed, const struct source_view *v)
{
	uint32_t most = v->through ? RETRY_DOUBLINGS : RETRY_DOUBLINGS_FIRST;
	uint32_t doublings = s->failures < most ? s->failures : most;
	uint64_t now_ns = v->now_ns;

	s->calling = false;
	if (outcome == SOURCE_OK) {
		if (!s->listing)
			s->behind = 0;
		s->listing = s->listing && more;
		s->failures = 0;
		s->next_ns = now_ns;
		if (changed && !s->listing && v->through)
			go_on(s, v);
		return;
	}
	if (outcome == SOURCE_BUSY) {
		s->listing = false;
		s->gave_way++;
		s->next_ns =
			now_ns + GIVE_WAY_NS + v->chance % GIVE_WAY_SPREAD_NS;
		return;
	}
	if (outcome == SOURCE_BEHIND) {
		list_anew(s);
		s->next_ns = now_ns + behind_wait_ns(s);
		return;
	}
	/* A page that failed is asked for again: from the start, a listing of
	 * many pages would never end at a platform that refuses some calls. */
	s->failures++;
	if (s->listing && s->failures >= LISTING_FAILURES)
		list_anew(s);
	s->next_ns = now_ns + (RETRY_FIRST_NS << doublings);
}
