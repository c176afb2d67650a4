#include "read_claims.h"

/* Orders data centres independently of the plain hashes of their names. */
#define ORDER_SEED 0x6f72646572ULL

static struct read_claim *find(const struct read_claims *claims, uint32_t zone)
{
	for (uint32_t i = 0; i < claims->n; i++)
		if (claims->all[i].zone == zone)
			return (struct read_claim *)&claims->all[i];
	return NULL;
}

static bool is_later(const struct read_claim *a, const struct read_claim *b)
{
	int order = position_compare(a->position, b->position);

	if (order)
		return order > 0;
	if (a->seq != b->seq)
		return a->seq > b->seq;
	/* Two readers may begin at the same position with the same @seq.
	 * Without an order both would go on, each ignoring the claim of the
	 * other. */
	return a->reader > b->reader;
}

/**
 * read_claims_merge() - merge a claim that a peer relayed
 * @claims: claims of all known data centres
 * @update: the claim; copied
 *
 * Return: true when it is later than the known claim of its data centre. It is
 * ignored when READ_CLAIMS_MAX others are known.
 */
bool read_claims_merge(struct read_claims *claims,
		       const struct read_claim *update)
{
	struct read_claim *known = find(claims, update->zone);

	if (known && !is_later(update, known))
		return false;
	if (!known && claims->n == READ_CLAIMS_MAX)
		return false;
	if (!known)
		known = &claims->all[claims->n++];
	*known = *update;
	return true;
}

/**
 * read_claims_renew() - claim to read for a data centre, after an answer
 * @claims: claims of all known data centres
 * @zone: hash of the name of this VM's data centre
 * @self: address for peers of this VM
 * @position: position of the platform in the answer; revision 0 when it had
 *	none
 * @now_ns: current time
 */
void read_claims_renew(struct read_claims *claims, uint32_t zone, uint64_t self,
		       struct position position, uint64_t now_ns)
{
	const struct read_claim *known = find(claims, zone);
	struct read_claim own = { zone, self, position, 1, now_ns };

	if (known && !position_after(position, known->position)) {
		own.position = known->position;
		own.seq = known->seq + 1;
	}
	read_claims_merge(claims, &own);
}

/**
 * read_claims_withdraw() - shorten the claim of this VM after a failed call
 * @claims: claims of all known data centres
 * @zone: hash of the name of this VM's data centre
 * @self: address for peers of this VM
 * @contact_ns: the claim's contact is set back to this time, so that the VM
 *	next in rank reads soon
 *
 * Does nothing when another VM has the claim, or its contact is not later.
 */
void read_claims_withdraw(struct read_claims *claims, uint32_t zone,
			  uint64_t self, uint64_t contact_ns)
{
	struct read_claim *known = find(claims, zone);

	if (!known || known->reader != self || known->contact_ns <= contact_ns)
		return;
	known->contact_ns = contact_ns;
	known->seq++;
}

/**
 * read_claims_get() - the claim of a data centre
 * @claims: claims of all known data centres
 * @zone: hash of the name of the data centre
 *
 * Return: claim, owned by @claims; NULL when none is known.
 */
const struct read_claim *read_claims_get(const struct read_claims *claims,
					 uint32_t zone)
{
	return find(claims, zone);
}

/**
 * read_claims_last_contact_ns() - when the platform last answered any reader
 * @claims: claims of all known data centres
 *
 * Return: time in nanoseconds; 0 for never.
 */
uint64_t read_claims_last_contact_ns(const struct read_claims *claims)
{
	uint64_t latest_ns = 0;

	for (uint32_t i = 0; i < claims->n; i++)
		if (claims->all[i].contact_ns > latest_ns)
			latest_ns = claims->all[i].contact_ns;
	return latest_ns;
}

/**
 * read_claims_readers_before() - number of data centres with a reader that
 *	precede one
 * @claims: claims of all known data centres
 * @zone: hash of the name of that one; it need not have a claim
 * @since_ns: a data centre whose last contact is not later has no reader
 *
 * The order of data centres is the same at all entries.
 *
 * Return: number of data centres.
 */
uint32_t read_claims_readers_before(const struct read_claims *claims,
				    uint32_t zone, uint64_t since_ns)
{
	uint64_t own = hash_u64(zone, ORDER_SEED);
	uint32_t n = 0;

	for (uint32_t i = 0; i < claims->n; i++)
		n += claims->all[i].contact_ns > since_ns &&
		     hash_u64(claims->all[i].zone, ORDER_SEED) < own;
	return n;
}

static bool has_zone(const struct read_claim *out, uint32_t n, uint32_t zone)
{
	for (uint32_t i = 0; i < n; i++)
		if (out[i].zone == zone)
			return true;
	return false;
}

static const struct read_claim *latest_not_in(const struct read_claims *claims,
					      const struct read_claim *out,
					      uint32_t n)
{
	const struct read_claim *best = NULL;

	for (uint32_t i = 0; i < claims->n; i++) {
		const struct read_claim *k = &claims->all[i];

		if (!has_zone(out, n, k->zone) &&
		    (!best || k->contact_ns > best->contact_ns))
			best = k;
	}
	return best;
}

/**
 * read_claims_select() - select the claims for a heartbeat
 * @claims: claims of all known data centres
 * @zone: hash of the name of a data centre, whose claim comes first
 * @out: filled with copies, after that claim the ones with the latest contacts
 * @out_max: number of elements of @out
 *
 * Return: number of claims in @out.
 */
uint32_t read_claims_select(const struct read_claims *claims, uint32_t zone,
			    struct read_claim *out, uint32_t out_max)
{
	const struct read_claim *next = find(claims, zone);
	uint32_t n = 0;

	if (!next)
		next = latest_not_in(claims, out, n);
	while (next && n < out_max) {
		out[n++] = *next;
		next = latest_not_in(claims, out, n);
	}
	return n;
}
