#include "read_claims.h"

/* Another order of data centres than that of their names' hashes. */
#define ORDER_SEED 0x6f72646572ULL

static struct read_claim *find(const struct read_claims *c, uint32_t zone)
{
	for (uint32_t i = 0; i < c->n; i++)
		if (c->all[i].zone == zone)
			return (struct read_claim *)&c->all[i];
	return NULL;
}

static bool newer(const struct read_claim *a, const struct read_claim *b)
{
	int order = position_compare(a->at, b->at);

	if (order)
		return order > 0;
	if (a->number != b->number)
		return a->number > b->number;
	/* Two that began together: otherwise each goes on, and neither hears
	 * of the other. */
	return a->by > b->by;
}

/**
 * read_claims_take() - take a claim that a peer passed on
 * @c: claims
 * @news: claim
 *
 * Return: whether it was newer than what was known.
 */
bool read_claims_take(struct read_claims *c, const struct read_claim *news)
{
	struct read_claim *known = find(c, news->zone);

	if (known && !newer(news, known))
		return false;
	if (!known && c->n == READ_CLAIMS_MAX)
		return false;
	if (!known)
		known = &c->all[c->n++];
	*known = *news;
	return true;
}

/**
 * read_claims_contact() - the platform answered this VM
 * @c: claims
 * @zone: its data centre
 * @self: its address
 * @at: position of the platform; of revision 0 when the answer told none
 * @now_ns: time
 */
void read_claims_contact(struct read_claims *c, uint32_t zone, uint64_t self,
			 struct position at, uint64_t now_ns)
{
	const struct read_claim *known = find(c, zone);
	struct read_claim own = { zone, self, at, 1, now_ns };

	if (known && !position_after(at, known->at)) {
		own.at = known->at;
		own.number = known->number + 1;
	}
	read_claims_take(c, &own);
}

/**
 * read_claims_withdraw() - the platform did not answer this VM: if it was the one
 *	that claimed for its data centre, the next in rank has to read soon
 * @c: claims
 * @zone: its data centre
 * @self: its address
 * @contact_ns: no later contact is claimed from now on
 */
void read_claims_withdraw(struct read_claims *c, uint32_t zone, uint64_t self,
			  uint64_t contact_ns)
{
	struct read_claim *known = find(c, zone);

	if (!known || known->by != self || known->contact_ns <= contact_ns)
		return;
	known->contact_ns = contact_ns;
	known->number++;
}

/**
 * read_claims_of() - the claim of a data centre
 * @c: claims
 * @zone: data centre
 *
 * Return: claim, or NULL.
 */
const struct read_claim *read_claims_of(const struct read_claims *c,
					uint32_t zone)
{
	return find(c, zone);
}

/**
 * read_claims_latest_ns() - when the platform last answered anybody
 * @c: claims
 *
 * Return: time; 0 for never.
 */
uint64_t read_claims_latest_ns(const struct read_claims *c)
{
	uint64_t latest_ns = 0;

	for (uint32_t i = 0; i < c->n; i++)
		if (c->all[i].contact_ns > latest_ns)
			latest_ns = c->all[i].contact_ns;
	return latest_ns;
}

/**
 * read_claims_before() - how many data centres read that come before one
 * @c: claims
 * @zone: that one
 * @since_ns: who was not answered since does not read
 *
 * Return: how many.
 */
uint32_t read_claims_before(const struct read_claims *c, uint32_t zone,
			    uint64_t since_ns)
{
	uint64_t own = hash_u64(zone, ORDER_SEED);
	uint32_t n = 0;

	for (uint32_t i = 0; i < c->n; i++)
		n += c->all[i].contact_ns > since_ns &&
		     hash_u64(c->all[i].zone, ORDER_SEED) < own;
	return n;
}

static bool told(const struct read_claim *out, uint32_t n, uint32_t zone)
{
	for (uint32_t i = 0; i < n; i++)
		if (out[i].zone == zone)
			return true;
	return false;
}

static const struct read_claim *latest_untold(const struct read_claims *c,
					      const struct read_claim *out,
					      uint32_t n)
{
	const struct read_claim *best = NULL;

	for (uint32_t i = 0; i < c->n; i++) {
		const struct read_claim *k = &c->all[i];

		if (!told(out, n, k->zone) &&
		    (!best || k->contact_ns > best->contact_ns))
			best = k;
	}
	return best;
}

/**
 * read_claims_newest() - the claims worth passing on
 * @c: claims
 * @zone: this one's first
 * @out: filled, then with the latest contacts
 * @out_max: room in @out
 *
 * Return: how many.
 */
uint32_t read_claims_newest(const struct read_claims *c, uint32_t zone,
			    struct read_claim *out, uint32_t out_max)
{
	const struct read_claim *next = find(c, zone);
	uint32_t n = 0;

	if (!next)
		next = latest_untold(c, out, n);
	while (next && n < out_max) {
		out[n++] = *next;
		next = latest_untold(c, out, n);
	}
	return n;
}
