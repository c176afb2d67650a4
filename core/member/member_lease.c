/*
 * Lease: whether this entry may act on its view. A pause, a partition and an
 * update on its own death end it; acks of later pings renew it.
 */
#include "member_impl.h"

/**
 * member_record_probe_outcome() - record the outcome of a probe of a live
 *	member
 * @m: membership
 * @answered: the member was heard before the probe timed out
 */
void member_record_probe_outcome(struct membership *m, bool answered)
{
	m->outcomes = m->outcomes << 1 | answered;
	if (m->n_outcomes < OUTCOMES_MAX)
		m->n_outcomes++;
}

/**
 * member_require_validation() - suspend the lease until enough members have
 *	acked pings sent from now on
 * @m: membership
 */
void member_require_validation(struct membership *m)
{
	m->validation_seq = m->seq;
	m->n_validators = 0;
}

static void record_validator(struct membership *m, uint64_t vm, uint64_t seq)
{
	uint32_t k;

	if (seq <= m->validation_seq || m->n_validators == VALIDATORS_MAX)
		return;
	for (k = 0; k < m->n_validators; k++)
		if (m->validators[k] == vm)
			return;
	m->validators[m->n_validators++] = vm;
}

/**
 * member_renew_lease() - renew the lease for an ack
 * @m: membership
 * @vm: sender of the ack
 * @p: probe that it answers
 *
 * The lease counts from when the ping was sent, because the others do so too:
 * they declare this entry dead a suspect timeout after the last ping from it.
 */
void member_renew_lease(struct membership *m, uint64_t vm,
			const struct probe *p)
{
	uint64_t lease_ns = m->conf.lease_ns;

	record_validator(m, vm, p->seq);
	if (m->conf.suspect_timeout_ns < lease_ns)
		lease_ns = m->conf.suspect_timeout_ns;
	if (p->sent_ns + lease_ns > m->ack_deadline_ns)
		m->ack_deadline_ns = p->sent_ns + lease_ns;
}

static bool is_validated(const struct membership *m)
{
	uint32_t needed = m->conf.probes_per_period;

	if (needed > VALIDATORS_MAX)
		needed = VALIDATORS_MAX;
	if (needed > m->n_live)
		needed = m->n_live;
	return m->n_validators >= needed;
}

/*
 * Partitioned from the others: no ack for as long as it takes them to declare
 * this entry dead, or acks of less than half of the probes, as on the smaller
 * side of a partition.
 */
static bool is_partitioned(const struct membership *m, uint64_t now_ns)
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
 * member_track_majority() - delay the lease after a majority was won again; to
 *	be called after each change of members
 * @m: membership
 * @now_ns: current time
 *
 * A member may move to this side of a partition. This side counts it at once,
 * and the old side still does until its lease expires or it declares the member
 * dead; meanwhile both sides would act. The first majority of a process needs
 * no delay: it joins a settle time later, and claims another settle time after
 * that.
 */
void member_track_majority(struct membership *m, uint64_t now_ns)
{
	if (m->majority && !m->majority_before) {
		if (m->majority_won_once)
			m->majority_valid_from_ns = now_ns + m->conf.lease_ns +
						    m->conf.suspect_timeout_ns;
		m->majority_won_once = true;
	}
	m->majority_before = m->majority;
}

/**
 * member_lease_valid() - whether this entry may act on its view
 * @m: membership
 * @now_ns: current time, read from the clock and not from the last tick
 *
 * The lease is not valid after a pause of conf.lease_ns or an update on this
 * entry's own death, until enough members have acked pings sent since then;
 * while most probes are not answered; and for some time after a majority was
 * won again.
 *
 * Return: true when it may.
 */
bool member_lease_valid(const struct membership *m, uint64_t now_ns)
{
	if (m->majority && now_ns < m->majority_valid_from_ns)
		return false;
	return now_ns < m->run_deadline_ns && is_validated(m) &&
	       !is_partitioned(m, now_ns);
}
