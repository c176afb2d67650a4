#include "loadview.h"

/* A contradiction costs this much trust, agreement regains less. */
#define TRUST_LOSS 250
#define TRUST_GAIN 20
/* A request sent this recently may not be in the report. */
#define ON_THE_WAY_NS (20 * NS_PER_MS)

/**
 * view_init() - know nothing, trust
 * @v: view
 */
void view_init(struct load_view *v)
{
	*v = (struct load_view){ .trust = TRUST_FULL };
}

static void lose_trust(struct load_view *v)
{
	v->trust = v->trust > TRUST_LOSS ? v->trust - TRUST_LOSS : 0;
}

static void gain_trust(struct load_view *v)
{
	v->trust += TRUST_GAIN;
	if (v->trust > TRUST_FULL)
		v->trust = TRUST_FULL;
}

/* Judge the last report, once it is clear that no answer came with it. */
static void judge(struct load_view *v)
{
	if (!v->known)
		return;
	if (v->said < v->known)
		lose_trust(v);
	else
		gain_trust(v);
	v->known = 0;
}

/**
 * view_report() - take a report in
 * @v: view
 * @r: report
 * @inflight: requests this entry has at the target
 * @now_ns: time
 *
 * A target that tells of less than this entry alone has there is wrong,
 * whatever the reason. Believed, it would draw everybody's work onto itself.
 * Now and then a report crosses an answer, so that trust is lost by degrees.
 */
void view_report(struct load_view *v, const struct load_report *r,
		 uint32_t inflight, uint64_t now_ns)
{
	uint32_t busy = r->running + r->waiting;
	uint32_t others = busy > inflight ? busy - inflight : 0;

	judge(v);
	v->others_milli = (v->others_milli + others * 1000) / 2;
	v->busy = busy;
	v->said = busy;
	if (now_ns > v->sent_ns + ON_THE_WAY_NS)
		v->known = inflight;
	v->connections = r->connections;
	v->heard_ns = now_ns;
}

/**
 * view_sent() - this entry sent a request to the target
 * @v: view
 * @now_ns: time
 */
void view_sent(struct load_view *v, uint64_t now_ns)
{
	v->sent_ns = now_ns;
	v->busy++;
}

/**
 * view_ended() - a request of this entry ended at the target
 * @v: view
 * @outcome: how
 * @slots: slots of the target
 * @now_ns: time
 *
 * A target that sheds while its report shows an idle slot contradicts itself. A
 * report that came with the answer has left the ended request out already.
 */
void view_ended(struct load_view *v, enum outcome outcome, uint32_t slots,
		uint64_t now_ns)
{
	if (outcome == OUTCOME_SHED && view_usable(v, now_ns) &&
	    v->busy < slots)
		lose_trust(v);
	if (v->heard_ns == now_ns)
		v->known = 0;
	else if (v->busy)
		v->busy--;
}

/**
 * view_usable() - is there a fresh report worth believing
 * @v: view
 * @now_ns: time
 *
 * Return: true when there is.
 */
bool view_usable(const struct load_view *v, uint64_t now_ns)
{
	return v->heard_ns && now_ns < v->heard_ns + VIEW_FRESH_NS &&
	       v->trust >= TRUST_MIN;
}

/**
 * view_others_milli() - others' requests at the target, fading with age
 * @v: view
 * @now_ns: time
 *
 * Return: requests in 1/1000, 0 when nothing believable is known.
 */
uint32_t view_others_milli(const struct load_view *v, uint64_t now_ns)
{
	uint64_t left_ns;

	if (!view_usable(v, now_ns))
		return 0;
	left_ns = v->heard_ns + VIEW_FRESH_NS - now_ns;
	return (uint32_t)(v->others_milli * (left_ns / NS_PER_MS) /
			  (VIEW_FRESH_NS / NS_PER_MS));
}

/**
 * view_idle() - may the target have an idle slot
 * @v: view
 * @slots: slots of the target
 * @took_ns: mean time of a request there
 * @now_ns: time
 *
 * A report of full slots is out of date once a request's time has passed. Of a
 * target that can't be believed only this entry's own last send is known.
 *
 * Return: true when it may.
 */
bool view_idle(const struct load_view *v, uint32_t slots, uint64_t took_ns,
	       uint64_t now_ns)
{
	if (v->trust < TRUST_MIN)
		return now_ns > v->sent_ns + took_ns;
	return v->busy < slots || now_ns > v->heard_ns + took_ns;
}
