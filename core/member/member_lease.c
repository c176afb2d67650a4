/*
 * Whether this entry may act on what it believes: lost by a pause, by a cut,
 * and by news of its own death; won back by fresh answers.
 */
#include "member_impl.h"

/**
 * member_note_outcome() - a probe of a live member ended
 * @m: membership
 * @answered: how
 */
void member_note_outcome(struct membership *m, bool answered)
{
	m->outcomes = m->outcomes << 1 | answered;
	if (m->n_outcomes < OUTCOMES_MAX)
		m->n_outcomes++;
}

/**
 * member_revalidate() - believe no ack to a ping sent up to now
 * @m: membership
 */
void member_revalidate(struct membership *m)
{
	m->fresh_seq = m->seq;
	m->n_validators = 0;
}

static void validated_by(struct membership *m, uint64_t vm, uint64_t seq)
{
	uint32_t k;

	if (seq <= m->fresh_seq || m->n_validators == VALIDATORS_MAX)
		return;
	for (k = 0; k < m->n_validators; k++)
		if (m->validators[k] == vm)
			return;
	m->validators[m->n_validators++] = vm;
}

/**
 * member_acked() - an ack renews the lease, from when its ping was sent
 * @m: membership
 * @vm: who sent the ack
 * @p: the probe that it answers
 *
 * The others count from then too: they declare this entry dead a time of
 * suspicion after the last ping they got.
 */
void member_acked(struct membership *m, uint64_t vm, const struct probe *p)
{
	uint64_t lease_ns = m->conf.lease_ns;

	validated_by(m, vm, p->seq);
	if (m->conf.suspect_timeout_ns < lease_ns)
		lease_ns = m->conf.suspect_timeout_ns;
	if (p->sent_ns + lease_ns > m->ack_deadline_ns)
		m->ack_deadline_ns = p->sent_ns + lease_ns;
}

static bool validated(const struct membership *m)
{
	uint32_t need = m->conf.probes;

	if (need > VALIDATORS_MAX)
		need = VALIDATORS_MAX;
	if (need > m->n_live)
		need = m->n_live;
	return m->n_validators >= need;
}

/*
 * Cut off: no answer for as long as it takes the others to declare this entry
 * dead, or fewer answers than not, since this is the smaller side.
 */
static bool cut_off(const struct membership *m, uint64_t now_ns)
{
	uint32_t mask = (1U << m->n_outcomes) - 1;
	uint32_t answered = __builtin_popcount(m->outcomes & mask);

	if (!m->n_live)
		return false;
	if (now_ns >= m->ack_deadline_ns)
		return true;
	return m->n_outcomes >= OUTCOMES_MIN && 2 * answered < m->n_outcomes;
}

/**
 * member_watch_majority() - after each change: a majority just won waits
 * @m: membership
 * @now_ns: now
 *
 * When a member can be reached from the other side of a cut than before, this
 * side may count it while the old side still does, until that side's lease
 * runs out or it declares the member dead. Both would act. The first majority
 * of a process doesn't wait here: it joins a settle time later, and claims
 * after another.
 */
void member_watch_majority(struct membership *m, uint64_t now_ns)
{
	if (m->majority && !m->had_majority) {
		if (m->won_majority)
			m->majority_deadline_ns = now_ns + m->conf.lease_ns +
						  m->conf.suspect_timeout_ns;
		m->won_majority = true;
	}
	m->had_majority = m->majority;
}

/**
 * member_lease_valid() - whether this entry may act on what it believes
 * @m: membership
 * @now_ns: now, from the clock and not from the last tick
 *
 * False after a pause of the lease time, or once it heard itself declared
 * dead, until enough members have answered pings sent since; while most probes
 * go unanswered; and for a while after a majority was won.
 *
 * Return: true when it may.
 */
bool member_lease_valid(const struct membership *m, uint64_t now_ns)
{
	if (m->majority && now_ns < m->majority_deadline_ns)
		return false;
	return now_ns < m->run_deadline_ns && validated(m) &&
	       !cut_off(m, now_ns);
}
