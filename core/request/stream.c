/*
 * Sends a bucket's claim history to an entry that joins its pair: the records
 * of its non-idempotent requests, and the numbers of the buckets whose history
 * is complete with them. Each receiver gets one message at a time,
 * retransmitted until it is acknowledged. Without the history, a second loss
 * within the cover time would leave no entry that knows which requests were
 * executed.
 */
#include "entry_state.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>

/*
 * One to each other entry of the largest data centre: when an entry leaves, the
 * pairs of all others change.
 */
#define STREAMS_MAX 512
#define STREAM_RETRY_NS (NS_PER_S / 5)
#define STREAM_SENDS_MAX 25
#define REFUSALS_MAX 50
#define CLAIM_BYTES 40
#define MESSAGE_OVERHEAD_BYTES 64
#define BUCKETS_PER_MESSAGE_MAX 640
#define BUCKET_NUMBER_BYTES 2

/**
 * struct stream - claim history to be sent to one receiver
 * @vm: receiver, ADDR_NONE when the slot is free
 * @seq: random number of the message in flight
 * @due: bit set of the buckets to be sent
 * @known: bit set: of @due, the buckets whose complete history this entry knew
 * @n_due: number of bits set in @due
 * @next_bucket: bucket to continue with
 * @next_record: slot of the claim record of that bucket to continue with
 * @in_bucket: @next_record is valid
 * @retry_ns: time of the next transmission
 * @in_flight: a message awaits its acknowledgement
 * @n_claims: number of @claims
 * @sends: transmissions since the last acknowledgement
 * @refusals: consecutive messages of which the receiver refused a part
 * @n_complete: number of @complete_numbers
 * @claims: records of the message in flight
 * @complete_numbers: buckets of the message in flight whose history is
 *	complete, 16 bits each, big endian
 */
struct stream {
	uint64_t vm;
	uint64_t seq;
	uint64_t *due;
	uint64_t *known;
	uint32_t n_due;
	uint32_t next_bucket;
	uint32_t next_record;
	bool in_bucket;
	uint64_t retry_ns;
	bool in_flight;
	uint8_t n_claims;
	uint8_t sends;
	uint8_t refusals;
	uint16_t n_complete;
	struct claim claims[CLAIMS_MAX];
	uint8_t complete_numbers[BUCKETS_PER_MESSAGE_MAX * BUCKET_NUMBER_BYTES];
};

static void bucket_number_put(uint8_t *numbers, uint32_t i, uint32_t bucket)
{
	numbers[i * BUCKET_NUMBER_BYTES] = (uint8_t)(bucket >> 8);
	numbers[i * BUCKET_NUMBER_BYTES + 1] = (uint8_t)bucket;
}

static uint32_t bucket_number_get(const uint8_t *numbers, uint32_t i)
{
	return (uint32_t)numbers[i * BUCKET_NUMBER_BYTES] << 8 |
	       numbers[i * BUCKET_NUMBER_BYTES + 1];
}

int streams_init(struct entry *entry)
{
	uint32_t words = (entry->conf.n_buckets + 63) / 64;

	entry->streams = calloc(STREAMS_MAX, sizeof(*entry->streams));
	entry->known_at_leave = calloc(words, sizeof(uint64_t));
	entry->refused_buckets =
		calloc(BUCKETS_PER_MESSAGE_MAX, BUCKET_NUMBER_BYTES);
	if (!entry->streams || !entry->known_at_leave ||
	    !entry->refused_buckets)
		return -ENOMEM;
	for (uint32_t i = 0; i < STREAMS_MAX; i++) {
		entry->streams[i].due = calloc(words, sizeof(uint64_t));
		entry->streams[i].known = calloc(words, sizeof(uint64_t));
		if (!entry->streams[i].due || !entry->streams[i].known)
			return -ENOMEM;
	}
	return 0;
}

void streams_free(struct entry *entry)
{
	free(entry->known_at_leave);
	free(entry->refused_buckets);
	if (!entry->streams)
		return;
	for (uint32_t i = 0; i < STREAMS_MAX; i++) {
		free(entry->streams[i].due);
		free(entry->streams[i].known);
	}
	free(entry->streams);
}

static struct stream *stream_to(struct entry *entry, uint64_t vm)
{
	struct stream *unused = NULL;

	for (uint32_t i = 0; i < STREAMS_MAX; i++) {
		if (entry->streams[i].vm == vm)
			return &entry->streams[i];
		if (entry->streams[i].vm == ADDR_NONE && !unused)
			unused = &entry->streams[i];
	}
	if (unused) {
		unused->vm = vm;
		entry->streams_open++;
	}
	return unused;
}

static void stream_close(struct entry *entry, struct stream *s)
{
	uint32_t words = (entry->conf.n_buckets + 63) / 64;

	memset(s->due, 0, words * sizeof(uint64_t));
	s->vm = ADDR_NONE;
	entry->streams_open--;
	s->n_due = 0;
	s->in_flight = false;
	s->in_bucket = false;
	s->sends = 0;
	s->refusals = 0;
}

static bool was_known_at_leave(const struct entry *entry, uint32_t bucket)
{
	return entry->known_at_leave[bucket / 64] >> (bucket % 64) & 1;
}

/**
 * history_known() - whether this entry knows all claims of a bucket
 * @entry: state of this entry
 * @bucket: number of the bucket
 *
 * Return: true if it has been in the bucket's pair for the cover time, or
 * received the history from an entry that knew it; also for buckets that it
 * held when it began to leave, since some entries still have it in their pairs.
 * False without a majority: claims of the other side of a partition are not
 * known.
 */
bool history_known(const struct entry *entry, uint32_t bucket)
{
	if (!member_has_majority(entry->members))
		return false;
	return was_known_at_leave(entry, bucket) ||
	       ring_history_known(entry->ring, bucket, entry->now_ns);
}

static void add_bucket(struct entry *entry, uint64_t vm, uint32_t bucket)
{
	struct stream *s = stream_to(entry, vm);
	uint64_t bit = 1ULL << (bucket % 64);

	if (!s || s->due[bucket / 64] & bit)
		return;
	s->due[bucket / 64] |= bit;
	s->known[bucket / 64] &= ~bit;
	if (history_known(entry, bucket))
		s->known[bucket / 64] |= bit;
	s->n_due++;
}

/**
 * streams_record_known() - record which buckets a leaving entry knows
 * @entry: state of this entry
 *
 * A leaving entry is out of its own ring at once, while the pairs that the
 * others settle on change more than once when several entries leave together.
 * So it sends the history of its buckets to each new member of their pairs
 * until it stops.
 */
void streams_record_known(struct entry *entry)
{
	uint64_t self = entry->conf.member.self;

	for (uint32_t i = 0; i < entry->conf.n_buckets; i++) {
		struct ring_pair p = ring_current_pair(entry->ring, i);

		if (p.owner != self && p.second != self)
			continue;
		if (ring_history_known(entry->ring, i, entry->now_ns))
			entry->known_at_leave[i / 64] |= 1ULL << (i % 64);
	}
}

/*
 * Whether this entry is the one that sends a bucket's history to new members.
 */
static bool is_history_sender(const struct entry *entry, uint32_t bucket,
			      struct ring_pair before)
{
	uint64_t self = entry->conf.member.self;

	if (was_known_at_leave(entry, bucket) || before.owner == self)
		return true;
	return before.second == self && !vm_is_serving(entry, before.owner);
}

/*
 * streams_pair_changed() - schedule the history for the new members of a pair.
 */
void streams_pair_changed(struct entry *entry, uint32_t bucket,
			  struct ring_pair before, struct ring_pair after)
{
	const uint64_t members[2] = { after.owner, after.second };

	if (!is_history_sender(entry, bucket, before))
		return;
	for (uint32_t i = 0; i < 2; i++) {
		if (members[i] == ADDR_NONE ||
		    members[i] == entry->conf.member.self ||
		    members[i] == before.owner || members[i] == before.second)
			continue;
		add_bucket(entry, members[i], bucket);
	}
}

static void finish_bucket(struct stream *s)
{
	uint64_t bit = 1ULL << (s->next_bucket % 64);

	if (s->known[s->next_bucket / 64] & bit)
		bucket_number_put(s->complete_numbers, s->n_complete++,
				  s->next_bucket);
	s->due[s->next_bucket / 64] &= ~bit;
	s->n_due--;
	s->in_bucket = false;
}

static void advance_to_due(const struct entry *entry, struct stream *s)
{
	while (!(s->due[s->next_bucket / 64] & 1ULL << (s->next_bucket % 64)))
		s->next_bucket = (s->next_bucket + 1) % entry->conf.n_buckets;
}

/*
 * Adds records of one bucket to the message, and its number after the last one.
 */
static void fill_bucket(struct entry *entry, struct stream *s)
{
	uint32_t slot = claims_newest(entry->claims, s->next_bucket);

	if (s->in_bucket && s->next_record != CLAIM_SLOT_NONE &&
	    claims_at(entry->claims, s->next_record)->bucket == s->next_bucket)
		slot = s->next_record;
	while (slot != CLAIM_SLOT_NONE && s->n_claims < CLAIMS_MAX) {
		const struct claim *c = claims_at(entry->claims, slot);

		/*
		 * Not granted yet; the receiver would take it for a granted
		 * claim.
		 */
		if (!claim_is_pending(entry, c))
			s->claims[s->n_claims++] = *c;
		slot = claims_next_older(entry->claims, slot);
	}
	s->next_record = slot;
	s->in_bucket = true;
	if (slot == CLAIM_SLOT_NONE)
		finish_bucket(s);
}

static void fill_message(struct entry *entry, struct stream *s)
{
	s->n_claims = 0;
	s->n_complete = 0;
	s->seq = rng_next(&entry->rng);
	while (s->n_due && s->n_claims < CLAIMS_MAX &&
	       s->n_complete < BUCKETS_PER_MESSAGE_MAX) {
		advance_to_due(entry, s);
		fill_bucket(entry, s);
	}
	s->in_flight = true;
}

static uint32_t stream_bytes(const struct stream *s)
{
	return MESSAGE_OVERHEAD_BYTES + s->n_claims * CLAIM_BYTES +
	       s->n_complete * BUCKET_NUMBER_BYTES;
}

static void send_message(struct entry *entry, struct stream *s)
{
	struct peer_msg *m = emit_peer(entry, s->vm, PEER_RECORD);

	m->seq = s->seq;
	m->n_claims = s->n_claims;
	memcpy(m->claims, s->claims, s->n_claims * sizeof(s->claims[0]));
	m->data = s->complete_numbers;
	m->size_bytes = s->n_complete * BUCKET_NUMBER_BYTES;
	s->sends++;
}

static void stream_advance(struct entry *entry, struct stream *s)
{
	if (entry->now_ns < s->retry_ns)
		return;
	if (s->sends > STREAM_SENDS_MAX || s->refusals > REFUSALS_MAX ||
	    !vm_may_own(entry, s->vm) || (!s->in_flight && !s->n_due)) {
		stream_close(entry, s);
		return;
	}
	if (!s->in_flight)
		fill_message(entry, s);
	s->retry_ns = entry->now_ns + STREAM_RETRY_NS;
	if (peer_budget_take(entry, stream_bytes(s)))
		send_message(entry, s);
}

/* streams_tick() - send the messages that are due. */
void streams_tick(struct entry *entry)
{
	if (!entry->streams_open)
		return;
	for (uint32_t i = 0; i < STREAMS_MAX && emit_has_capacity(entry); i++) {
		if (entry->streams[i].vm != ADDR_NONE)
			stream_advance(entry, &entry->streams[i]);
	}
}

static void store_record(struct entry *entry, const struct claim *claim)
{
	struct claim *c = claims_find(entry->claims, claim->request);

	if (!c)
		claims_put(entry->claims, claim, entry->now_ns);
	else if (c->state == CLAIM_NONE)
		*c = *claim;
	else
		claim_resolve_conflict(entry, c, claim);
}

/*
 * Marks a bucket's history as complete, if this entry is in its pair. The
 * sender may have learned of the change of the pair earlier than this entry.
 * Accepted too early, the mark would be lost, and after the next change no
 * entry would know the history.
 *
 * Return: false when the sender has to send it again later.
 */
static bool accept_history(struct entry *entry, uint32_t bucket)
{
	struct ring_pair pair;

	if (bucket >= entry->conf.n_buckets)
		return true;
	pair = ring_current_pair(entry->ring, bucket);
	if (pair.owner != entry->conf.member.self &&
	    pair.second != entry->conf.member.self)
		return false;
	ring_mark_history_known(entry->ring, bucket);
	return true;
}

/*
 * stream_received() - PEER_RECORD: claim history of buckets whose pair this
 * entry joined.
 */
void stream_received(struct entry *entry, const struct peer_msg *msg)
{
	struct peer_msg *m = emit_peer(entry, msg->from, PEER_HANDOVER);
	uint32_t refused = 0;

	for (uint8_t i = 0; i < msg->n_claims; i++) {
		if (msg->claims[i].bucket < entry->conf.n_buckets)
			store_record(entry, &msg->claims[i]);
	}
	for (uint32_t i = 0; i < msg->size_bytes / BUCKET_NUMBER_BYTES; i++) {
		uint32_t bucket = bucket_number_get(msg->data, i);

		if (refused < BUCKETS_PER_MESSAGE_MAX &&
		    !accept_history(entry, bucket))
			bucket_number_put(entry->refused_buckets, refused++,
					  bucket);
	}
	m->seq = msg->seq;
	m->data = entry->refused_buckets;
	m->size_bytes = refused * BUCKET_NUMBER_BYTES;
}

static void requeue_bucket(const struct entry *entry, struct stream *s,
			   uint32_t bucket)
{
	uint64_t bit = 1ULL << (bucket % 64);

	if (bucket >= entry->conf.n_buckets || s->due[bucket / 64] & bit)
		return;
	s->due[bucket / 64] |= bit;
	s->n_due++;
}

static void handle_ack(struct entry *entry, struct stream *s,
		       const struct peer_msg *msg)
{
	uint32_t refused = msg->size_bytes / BUCKET_NUMBER_BYTES;

	s->in_flight = false;
	s->sends = 0;
	s->retry_ns = entry->now_ns + (refused ? STREAM_RETRY_NS : 0);
	s->refusals = refused ? s->refusals + 1 : 0;
	for (uint32_t i = 0; i < refused; i++)
		requeue_bucket(entry, s, bucket_number_get(msg->data, i));
	stream_advance(entry, s);
}

/*
 * stream_ack_received() - PEER_HANDOVER: the receiver has the message in
 * flight.
 */
void stream_ack_received(struct entry *entry, const struct peer_msg *msg)
{
	for (uint32_t i = 0; i < STREAMS_MAX; i++) {
		struct stream *s = &entry->streams[i];

		if (s->vm == msg->from && s->in_flight && s->seq == msg->seq)
			handle_ack(entry, s, msg);
	}
}

uint32_t streams_pending(const struct entry *entry)
{
	uint32_t n = 0;

	for (uint32_t i = 0; i < STREAMS_MAX; i++)
		n += entry->streams[i].n_due + entry->streams[i].in_flight;
	return n;
}

bool streams_idle(const struct entry *entry)
{
	return streams_pending(entry) == 0;
}

uint64_t streams_next_ns(const struct entry *entry)
{
	uint64_t next = DEADLINE_NEVER;

	if (!entry->streams_open)
		return next;
	for (uint32_t i = 0; i < STREAMS_MAX; i++) {
		const struct stream *s = &entry->streams[i];

		if (s->vm != ADDR_NONE && s->retry_ns < next)
			next = s->retry_ns;
	}
	return next;
}
