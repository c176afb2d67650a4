/*
 * Handing a bucket's history to an entry that joins its pair: the records of
 * its non-idempotent requests, and the numbers of the buckets whose history is
 * whole with them. One message at a time to each receiver, repeated until
 * acknowledged. Without it a second loss within the time in which callers
 * repeat would leave nobody who knows what ran.
 */
#include "entry_state.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>

/* One to each other entry of the largest data centre: a leave touches all. */
#define STREAMS_MAX 512
#define STREAM_RETRY_NS (NS_PER_S / 5)
#define STREAM_TRIES_MAX 25
#define REFUSED_MAX 50
#define LINE_BYTES 40
#define MESSAGE_BYTES 64
#define NAMED_MAX 640
#define NAME_BYTES 2

/**
 * struct stream - what one receiver still has to be told
 * @vm: receiver, ADDR_NONE when free
 * @seq: number of the message under way
 * @due: buckets, a bit each
 * @whole: of these, the ones whose whole history this entry knew
 * @n_due: how many
 * @scan: bucket to go on with
 * @cursor: record of that bucket to go on with, CLAIM_SLOT_NONE at its start
 * @in_bucket: @cursor is valid
 * @retry_ns: when to repeat the message under way
 * @under_way: a message is out
 * @n_lines: its records
 * @tries: times it was sent
 * @refused: messages in a row of which the receiver refused a part
 * @lines: records
 * @n_named: buckets named as whole
 * @named: their numbers, 16 bits each, big endian
 */
struct stream {
	uint64_t vm;
	uint64_t seq;
	uint64_t *due;
	uint64_t *whole;
	uint32_t n_due;
	uint32_t scan;
	uint32_t cursor;
	bool in_bucket;
	uint64_t retry_ns;
	bool under_way;
	uint8_t n_lines;
	uint8_t tries;
	uint8_t refused;
	uint16_t n_named;
	struct claim lines[CLAIMS_MAX];
	uint8_t named[NAMED_MAX * NAME_BYTES];
};

static void name_put(uint8_t *names, uint32_t i, uint32_t bucket)
{
	names[i * NAME_BYTES] = (uint8_t)(bucket >> 8);
	names[i * NAME_BYTES + 1] = (uint8_t)bucket;
}

static uint32_t name_get(const uint8_t *names, uint32_t i)
{
	return (uint32_t)names[i * NAME_BYTES] << 8 | names[i * NAME_BYTES + 1];
}

int streams_init(struct entry *e)
{
	uint32_t words = (e->conf.n_buckets + 63) / 64;

	e->streams = calloc(STREAMS_MAX, sizeof(*e->streams));
	e->held_when_leaving = calloc(words, sizeof(uint64_t));
	e->refused_names = calloc(NAMED_MAX, NAME_BYTES);
	if (!e->streams || !e->held_when_leaving || !e->refused_names)
		return -ENOMEM;
	for (uint32_t i = 0; i < STREAMS_MAX; i++) {
		e->streams[i].due = calloc(words, sizeof(uint64_t));
		e->streams[i].whole = calloc(words, sizeof(uint64_t));
		if (!e->streams[i].due || !e->streams[i].whole)
			return -ENOMEM;
	}
	return 0;
}

void streams_free(struct entry *e)
{
	free(e->held_when_leaving);
	free(e->refused_names);
	if (!e->streams)
		return;
	for (uint32_t i = 0; i < STREAMS_MAX; i++) {
		free(e->streams[i].due);
		free(e->streams[i].whole);
	}
	free(e->streams);
}

static struct stream *stream_to(struct entry *e, uint64_t vm)
{
	struct stream *unused = NULL;

	for (uint32_t i = 0; i < STREAMS_MAX; i++) {
		if (e->streams[i].vm == vm)
			return &e->streams[i];
		if (e->streams[i].vm == ADDR_NONE && !unused)
			unused = &e->streams[i];
	}
	if (unused) {
		unused->vm = vm;
		e->streams_open++;
	}
	return unused;
}

static void stream_close(struct entry *e, struct stream *s)
{
	uint32_t words = (e->conf.n_buckets + 63) / 64;

	memset(s->due, 0, words * sizeof(uint64_t));
	s->vm = ADDR_NONE;
	e->streams_open--;
	s->n_due = 0;
	s->under_way = false;
	s->in_bucket = false;
	s->tries = 0;
	s->refused = 0;
}

static bool held(const struct entry *e, uint32_t bucket)
{
	return e->held_when_leaving[bucket / 64] >> (bucket % 64) & 1;
}

/**
 * history_known() - whether this entry knows all that ran in a bucket
 * @e: entry
 * @bucket: bucket
 *
 * Return: true in its pair for the cover time, or told by one that was; also
 * for what a leaving entry held, since some still have it in their pairs. On
 * the smaller side of a partition what the other side ran is not known.
 */
bool history_known(const struct entry *e, uint32_t bucket)
{
	if (!member_has_majority(e->members))
		return false;
	return held(e, bucket) || ring_is_covered(e->ring, bucket, e->now_ns);
}

static void add(struct entry *e, uint64_t vm, uint32_t bucket)
{
	struct stream *s = stream_to(e, vm);
	uint64_t bit = 1ULL << (bucket % 64);

	if (!s || s->due[bucket / 64] & bit)
		return;
	s->due[bucket / 64] |= bit;
	s->whole[bucket / 64] &= ~bit;
	if (history_known(e, bucket))
		s->whole[bucket / 64] |= bit;
	s->n_due++;
}

/**
 * streams_leave() - note what this entry knows as it begins to leave
 * @e: entry
 *
 * A leaving entry is out of its own ring at once, while the pairs that the
 * others settle on change more than once when several leave together. So it
 * owes the history of its buckets to every newcomer until it is gone.
 */
void streams_leave(struct entry *e)
{
	uint64_t self = e->conf.member.self;

	for (uint32_t i = 0; i < e->conf.n_buckets; i++) {
		struct ring_pair p = ring_current_pair(e->ring, i);

		if (p.owner != self && p.second != self)
			continue;
		if (ring_is_covered(e->ring, i, e->now_ns))
			e->held_when_leaving[i / 64] |= 1ULL << (i % 64);
	}
}

/* Whether it is this entry that tells newcomers to a bucket its history. */
static bool teller(const struct entry *e, uint32_t bucket,
		   struct ring_pair before)
{
	uint64_t self = e->conf.member.self;

	if (held(e, bucket) || before.owner == self)
		return true;
	return before.second == self && !vm_serves(e, before.owner);
}

/* streams_pair_changed() - tell a newcomer to a bucket's pair its history. */
void streams_pair_changed(struct entry *e, uint32_t bucket,
			  struct ring_pair before, struct ring_pair after)
{
	const uint64_t now[2] = { after.owner, after.second };

	if (!teller(e, bucket, before))
		return;
	for (uint32_t i = 0; i < 2; i++) {
		if (now[i] == ADDR_NONE || now[i] == e->conf.member.self ||
		    now[i] == before.owner || now[i] == before.second)
			continue;
		add(e, now[i], bucket);
	}
}

static void bucket_done(struct stream *s)
{
	uint64_t bit = 1ULL << (s->scan % 64);

	if (s->whole[s->scan / 64] & bit)
		name_put(s->named, s->n_named++, s->scan);
	s->due[s->scan / 64] &= ~bit;
	s->n_due--;
	s->in_bucket = false;
}

static void next_due(const struct entry *e, struct stream *s)
{
	while (!(s->due[s->scan / 64] & 1ULL << (s->scan % 64)))
		s->scan = (s->scan + 1) % e->conf.n_buckets;
}

/* Records of one bucket into the message, and its name when these are all. */
static void fill_bucket(struct entry *e, struct stream *s)
{
	uint32_t slot = claims_first(e->claims, s->scan);

	if (s->in_bucket && s->cursor != CLAIM_SLOT_NONE &&
	    claims_at(e->claims, s->cursor)->bucket == s->scan)
		slot = s->cursor;
	while (slot != CLAIM_SLOT_NONE && s->n_lines < CLAIMS_MAX) {
		const struct claim *c = claims_at(e->claims, slot);

		/* Not granted yet: taken for a grant it would become one. */
		if (!claim_is_out(e, c))
			s->lines[s->n_lines++] = *c;
		slot = claims_after(e->claims, slot);
	}
	s->cursor = slot;
	s->in_bucket = true;
	if (slot == CLAIM_SLOT_NONE)
		bucket_done(s);
}

static void fill(struct entry *e, struct stream *s)
{
	s->n_lines = 0;
	s->n_named = 0;
	s->seq = rng_next(&e->rng);
	while (s->n_due && s->n_lines < CLAIMS_MAX && s->n_named < NAMED_MAX) {
		next_due(e, s);
		fill_bucket(e, s);
	}
	s->under_way = true;
}

static uint32_t stream_bytes(const struct stream *s)
{
	return MESSAGE_BYTES + s->n_lines * LINE_BYTES +
	       s->n_named * NAME_BYTES;
}

static void send_message(struct entry *e, struct stream *s)
{
	struct peer_msg *m = emit_peer(e, s->vm, PEER_RECORD);

	m->seq = s->seq;
	m->n_claims = s->n_lines;
	memcpy(m->claims, s->lines, s->n_lines * sizeof(s->lines[0]));
	m->data = s->named;
	m->size_bytes = s->n_named * NAME_BYTES;
	s->tries++;
}

static void stream_go_on(struct entry *e, struct stream *s)
{
	if (e->now_ns < s->retry_ns)
		return;
	if (s->tries > STREAM_TRIES_MAX || s->refused > REFUSED_MAX ||
	    !vm_owns(e, s->vm) || (!s->under_way && !s->n_due)) {
		stream_close(e, s);
		return;
	}
	if (!s->under_way)
		fill(e, s);
	s->retry_ns = e->now_ns + STREAM_RETRY_NS;
	if (allowance_take(e, stream_bytes(s)))
		send_message(e, s);
}

/* streams_tick() - send what is due to each receiver. */
void streams_tick(struct entry *e)
{
	if (!e->streams_open)
		return;
	for (uint32_t i = 0; i < STREAMS_MAX && emit_room(e); i++) {
		if (e->streams[i].vm != ADDR_NONE)
			stream_go_on(e, &e->streams[i]);
	}
}

static void take_record(struct entry *e, const struct claim *line)
{
	struct claim *c = claims_find(e->claims, line->request);

	if (!c)
		claims_put(e->claims, line, e->now_ns);
	else if (c->state == CLAIM_NONE)
		*c = *line;
	else
		claim_overruled(e, c, line);
}

/*
 * The word that a bucket's history is whole counts only for a member of its
 * pair. The sender may have heard of the change before us: taken now, the word
 * would be lost, and after the next change nobody would know the history.
 *
 * Return: false when it has to be said again, later.
 */
static bool take_name(struct entry *e, uint32_t bucket)
{
	struct ring_pair pair;

	if (bucket >= e->conf.n_buckets)
		return true;
	pair = ring_current_pair(e->ring, bucket);
	if (pair.owner != e->conf.member.self &&
	    pair.second != e->conf.member.self)
		return false;
	ring_mark_covered(e->ring, bucket);
	return true;
}

/* stream_received() - PEER_RECORD: history of buckets that we joined. */
void stream_received(struct entry *e, const struct peer_msg *msg)
{
	struct peer_msg *m = emit_peer(e, msg->from, PEER_HANDOVER);
	uint32_t refused = 0;

	for (uint8_t i = 0; i < msg->n_claims; i++) {
		if (msg->claims[i].bucket < e->conf.n_buckets)
			take_record(e, &msg->claims[i]);
	}
	for (uint32_t i = 0; i < msg->size_bytes / NAME_BYTES; i++) {
		uint32_t bucket = name_get(msg->data, i);

		if (refused < NAMED_MAX && !take_name(e, bucket))
			name_put(e->refused_names, refused++, bucket);
	}
	m->seq = msg->seq;
	m->data = e->refused_names;
	m->size_bytes = refused * NAME_BYTES;
}

static void due_again(const struct entry *e, struct stream *s, uint32_t bucket)
{
	uint64_t bit = 1ULL << (bucket % 64);

	if (bucket >= e->conf.n_buckets || s->due[bucket / 64] & bit)
		return;
	s->due[bucket / 64] |= bit;
	s->n_due++;
}

static void acked(struct entry *e, struct stream *s, const struct peer_msg *msg)
{
	uint32_t refused = msg->size_bytes / NAME_BYTES;

	s->under_way = false;
	s->tries = 0;
	s->retry_ns = e->now_ns + (refused ? STREAM_RETRY_NS : 0);
	s->refused = refused ? s->refused + 1 : 0;
	for (uint32_t i = 0; i < refused; i++)
		due_again(e, s, name_get(msg->data, i));
	stream_go_on(e, s);
}

/* stream_acked() - PEER_HANDOVER: the receiver has the message under way. */
void stream_acked(struct entry *e, const struct peer_msg *msg)
{
	for (uint32_t i = 0; i < STREAMS_MAX; i++) {
		struct stream *s = &e->streams[i];

		if (s->vm == msg->from && s->under_way && s->seq == msg->seq)
			acked(e, s, msg);
	}
}

uint32_t stream_lines_pending(const struct entry *e)
{
	uint32_t n = 0;

	for (uint32_t i = 0; i < STREAMS_MAX; i++)
		n += e->streams[i].n_due + e->streams[i].under_way;
	return n;
}

bool streams_idle(const struct entry *e)
{
	return stream_lines_pending(e) == 0;
}

uint64_t streams_next_ns(const struct entry *e)
{
	uint64_t next = DEADLINE_NEVER;

	if (!e->streams_open)
		return next;
	for (uint32_t i = 0; i < STREAMS_MAX; i++) {
		const struct stream *s = &e->streams[i];

		if (s->vm != ADDR_NONE && s->retry_ns < next)
			next = s->retry_ns;
	}
	return next;
}
