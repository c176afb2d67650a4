#include "source.h"

/*
 * Of the new processes that know each other, the first in rank reads and the
 * others fetch from it soon after. Each further rank waits longer, together at
 * most for as long as a listing takes.
 */
#define NEW_STEP_NS (60 * NS_PER_MS)
#define NEW_WAIT_MAX_NS NS_PER_S
/*
 * A process that knows this many others before it has read anything waits for
 * one of them to finish. All of them share the platform's link, so when all
 * start together the first few finish before the rest could.
 */
#define MASS_START_PEERS 12
#define MASS_START_WAIT_NS (400 * NS_PER_MS)
/* Until then heartbeats may not have named all live peers, and the rank is not
 * reliable. */
#define RANK_KNOWN_NS (500 * NS_PER_MS)
/* The ranks take over from a silent reader one after the other. */
#define RANK_STEP_NS (300 * NS_PER_MS)
/*
 * Pause after an answer with changes, so that changes in a row are read in one
 * call. There is no pause between the pages of a listing: one after each page
 * with something new would delay an entry that starts.
 */
#define BATCH_NS (300 * NS_PER_MS)
/* One data centre reads for all. A second one reads as well, since the watch of
 * the first may have lost its connection, but less often: a change that only
 * the second sees is known after 1 s and in force everywhere 0.5 s later,
 * within the limit of 3 s. */
#define READING_ZONES 2
#define SECOND_BATCH_NS NS_PER_S
/*
 * An answer whose transfer takes longer than this fills the VM's link. A watch
 * returns every value that a document had, so while a large configuration
 * changes repeatedly each answer would be longer than the one before, and
 * changes of targets would queue behind it. A listing returns the last value
 * only.
 */
#define SLOW_ANSWER_NS (500 * NS_PER_MS)
#define RETRY_FIRST_NS (100 * NS_PER_MS)
#define RETRY_DOUBLINGS 3
/* After this many failures the first page of the listing may be older than the
 * history that the platform keeps, and the listing begins again. */
#define LISTING_FAILURES 8
/* After this many failures in a row, an entry that peers are ahead of reads the
 * platform itself: it may run another release, and not understand them. */
#define FETCH_FAILURES 3
/* An entry without documents serves no client, so it retries more often. */
#define RETRY_DOUBLINGS_FIRST 1

/*
 * When a connection to the platform takes longer than this, answers to others
 * fill the platform's link, and would delay our answer as well. Of hundreds of
 * entries that start at once, all would get their answers together at the end.
 * With only some of them reading at a time, the first ones finish soon and the
 * rest fetch from these. Where the platform is that far away in any case, an
 * entry defers its call a few times only.
 */
#define BUSY_CONNECT_NS (12 * NS_PER_MS)
#define DEFER_NS (50 * NS_PER_MS)
#define DEFER_JITTER_NS (200 * NS_PER_MS)
#define DEFERRALS_MAX 4

static uint64_t new_process_wait_ns(const struct source_view *view)
{
	uint64_t wait_ns = view->rank * NEW_STEP_NS;

	if (view->live_peers >= MASS_START_PEERS)
		wait_ns += MASS_START_WAIT_NS;
	if (wait_ns > NEW_WAIT_MAX_NS)
		wait_ns = NEW_WAIT_MAX_NS;
	return view->policy->young_wait_ns + wait_ns;
}

/* Earliest time of the first call. A peer that is being asked either answers
 * sooner than the platform or not at all. */
static uint64_t first_call_ns(const struct source *source,
			      const struct source_view *view)
{
	return source->start_ns +
	       (view->fetching ? view->policy->young_wait_ns + NEW_WAIT_MAX_NS
			       : new_process_wait_ns(view));
}

static bool has_to_read(const struct source *source,
			const struct source_view *view)
{
	uint64_t rank_wait_ns = view->rank * RANK_STEP_NS;

	if (source->listing)
		return true;
	if (!view->synced)
		return view->now_ns >= first_call_ns(source, view);
	if (!view->policy->one_reader)
		return true;
	if (view->fetch_failures >= FETCH_FAILURES)
		return true;
	if (view->readers_before >= READING_ZONES)
		return false;
	if (!view->rank &&
	    (view->now_ns > source->start_ns + RANK_KNOWN_NS ||
	     view->now_ns > view->others_contact_ns + SOURCE_CONTACT_NS))
		return true;
	return view->now_ns >
	       view->others_contact_ns + SOURCE_CONTACT_NS + rank_wait_ns;
}

/**
 * source_next() - decide on the next call
 * @source: state of the reads
 * @view: input of the decision
 *
 * Return: SOURCE_WAIT when no call is due; otherwise the call to make, after
 * source_begin().
 */
enum source_step source_next(const struct source *source,
			     const struct source_view *view)
{
	if (source->calling || view->now_ns < source->next_ns ||
	    !has_to_read(source, view))
		return SOURCE_WAIT;
	return source->listing || source->relist || !view->complete
		       ? SOURCE_LIST
		       : SOURCE_WATCH;
}

/**
 * source_watch_wait_ns() - how long a watch may wait for a change
 * @view: input of the decision
 *
 * Return: time in nanoseconds; 0 after a listing that may be stale, since the
 * changes since then are needed at once, even if there are none.
 */
uint64_t source_watch_wait_ns(const struct source_view *view)
{
	return view->synced ? SOURCE_WATCH_WAIT_MS * NS_PER_MS : 0;
}

/**
 * source_begin() - record that a call was started
 * @source: state of the reads
 * @step: SOURCE_LIST or SOURCE_WATCH
 */
void source_begin(struct source *source, enum source_step step)
{
	source->calling = true;
	source->relist = false;
	source->listing = step == SOURCE_LIST;
}

/**
 * source_may_send() - whether to send the request over a connection just made
 * @source: state of the reads
 * @view: input of the decision
 * @connect_ns: time that the connection took
 *
 * Return: false before the first listing while the platform is busy with
 * answers to others; the call then ends with SOURCE_DEFERRED.
 */
bool source_may_send(const struct source *source,
		     const struct source_view *view, uint64_t connect_ns)
{
	return view->complete || connect_ns < BUSY_CONNECT_NS ||
	       source->deferrals >= DEFERRALS_MAX;
}

/**
 * source_cancel_listing() - end a listing that a peer's documents made
 *	unnecessary
 * @source: state of the reads
 *
 * A call for a page of it no longer counts as in progress; a watch does.
 */
void source_cancel_listing(struct source *source)
{
	source->calling = source->calling && !source->listing;
	source->listing = false;
}

/* Schedules the next call after an answer with changes. */
static void schedule_after_changes(struct source *source,
				   const struct source_view *view)
{
	if (source->transfer_ns > SLOW_ANSWER_NS) {
		source->relist = true;
		source->exact = true;
		return;
	}
	source->next_ns += view->readers_before ? SECOND_BATCH_NS : BATCH_NS;
}

static void restart_listing(struct source *source)
{
	source->relist = true;
	source->exact = true;
	source->listing = false;
}

/*
 * Replace the request whose answer was unreadable by the other kind: a watch by
 * a listing, which has the last value of each document only, and a listing by a
 * watch.
 */
static void change_step(struct source *source)
{
	if (source->listing)
		source->listing = false;
	else
		restart_listing(source);
}

/*
 * Pause before the listing that follows a SOURCE_GONE: none at first. When the
 * next watch fails in the same way, a listing does not help, and without a
 * pause it would be repeated as fast as the platform answers.
 */
static uint64_t gone_wait_ns(struct source *source)
{
	uint32_t repeats = source->gone_count++;

	if (!repeats)
		return 0;
	repeats--;
	return RETRY_FIRST_NS
	       << (repeats < RETRY_DOUBLINGS ? repeats : RETRY_DOUBLINGS);
}

/**
 * source_end() - record that a call ended and schedule the next one
 * @source: state of the reads
 * @outcome: how the call ended
 * @has_more: the listing has further pages; only with SOURCE_OK
 * @changed: the answer contained changes
 * @view: input of the decision, after the answer was processed
 */
void source_end(struct source *source, enum source_outcome outcome,
		bool has_more, bool changed, const struct source_view *view)
{
	uint32_t doublings_max =
		view->synced ? RETRY_DOUBLINGS : RETRY_DOUBLINGS_FIRST;
	uint32_t doublings = source->failures < doublings_max ? source->failures
							      : doublings_max;
	uint64_t now_ns = view->now_ns;

	source->calling = false;
	if (outcome == SOURCE_OK) {
		if (!source->listing)
			source->gone_count = 0;
		source->listing = source->listing && has_more;
		source->failures = 0;
		source->next_ns = now_ns;
		if (changed && !source->listing && view->synced)
			schedule_after_changes(source, view);
		return;
	}
	if (outcome == SOURCE_DEFERRED) {
		source->listing = false;
		source->deferrals++;
		source->next_ns =
			now_ns + DEFER_NS + view->random % DEFER_JITTER_NS;
		return;
	}
	if (outcome == SOURCE_GONE) {
		restart_listing(source);
		source->next_ns = now_ns + gone_wait_ns(source);
		return;
	}
	if (outcome == SOURCE_UNREADABLE &&
	    (!source->listing || view->complete)) {
		change_step(source);
		source->next_ns = now_ns;
		if (source->failures++)
			source->next_ns += RETRY_FIRST_NS << doublings;
		return;
	}
	/* Only the failed page is requested again. If the listing began anew,
	 * one of many pages would never end at a platform that refuses some
	 * calls. */
	source->failures++;
	if (source->listing && source->failures >= LISTING_FAILURES)
		restart_listing(source);
	source->next_ns = now_ns + (RETRY_FIRST_NS << doublings);
}
