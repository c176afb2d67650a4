#include "source.h"

/*
 * A new process asks its peers first; they answer within milliseconds. When all
 * restart together nobody can, and each further wait is a wait of all clients.
 * The spread lets the first answers reach those who have not asked yet.
 */
#define PEERS_FIRST_NS (30 * NS_PER_MS)
#define PEERS_SPREAD_NS (40 * NS_PER_MS)
/* Ranks stand in one after the other, not all at once. */
#define RANK_STEP_NS (300 * NS_PER_MS)
/* A reader that waits in a watch is answered at least this often. */
#define CONTACT_NS ((SOURCE_WATCH_MS + 400) * NS_PER_MS)
/* Changes that come in a row are read in one call. */
#define BATCH_NS (100 * NS_PER_MS)
#define RETRY_FIRST_NS (150 * NS_PER_MS)
#define RETRY_DOUBLINGS 3

static bool wanted(const struct source *s, const struct source_view *v)
{
	uint64_t patience_ns = v->rank * RANK_STEP_NS;

	if (s->listing)
		return true;
	if (!v->through)
		return v->now_ns >= s->start_ns + PEERS_FIRST_NS +
					    s->spread * PEERS_SPREAD_NS / 256;
	if (!v->rank)
		return true;
	return v->now_ns > v->others_ns + CONTACT_NS + patience_ns;
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
	return s->listing || s->relist || !v->through ? SOURCE_LIST
						      : SOURCE_WATCH;
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
 * source_end() - a call ended
 * @s: state
 * @outcome: how
 * @more: a listing goes on
 * @changed: a watch brought changes
 * @now_ns: time
 */
void source_end(struct source *s, enum source_outcome outcome, bool more,
		bool changed, uint64_t now_ns)
{
	uint32_t doublings = s->failures;

	s->calling = false;
	if (outcome == SOURCE_OK) {
		s->listing = s->listing && more;
		s->failures = 0;
		s->next_ns = changed ? now_ns + BATCH_NS : now_ns;
		return;
	}
	s->relist = s->listing || outcome == SOURCE_BEHIND;
	s->listing = false;
	if (outcome == SOURCE_BEHIND) {
		s->next_ns = now_ns;
		return;
	}
	s->failures++;
	if (doublings > RETRY_DOUBLINGS)
		doublings = RETRY_DOUBLINGS;
	s->next_ns = now_ns + (RETRY_FIRST_NS << doublings);
}
