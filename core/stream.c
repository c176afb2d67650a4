/*
 * Handing a bucket's history to an entry that joins its pair: the records of
 * its non-idempotent requests and then, as a line without a state, the word
 * that these were all. One message at a time to each receiver, repeated until
 * acknowledged. Without it a second loss within the time in which callers
 * repeat would leave nobody who knows what ran.
 */
#include "entry_state.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>

#define STREAMS_MAX 32
#define STREAM_RETRY_NS (NS_PER_S / 5)
#define STREAM_TRIES_MAX 25
#define REFUSED_MAX 50
#define LINE_BYTES 40

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
 * @n_lines: its lines; 0 when none is under way
 * @tries: times it was sent
 * @refused: messages in a row of which the receiver refused a part
 * @lines: the lines
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
	uint8_t n_lines;
	uint8_t tries;
	uint8_t refused;
	struct claim lines[CLAIMS_MAX];
};

int streams_init(struct entry *e)
{
	uint32_t words = (e->conf.n_buckets + 63) / 64;

	e->streams = calloc(STREAMS_MAX, sizeof(*e->streams));
	if (!e->streams)
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
	if (unused)
		unused->vm = vm;
	return unused;
}

static void stream_close(struct entry *e, struct stream *s)
{
	uint32_t words = (e->conf.n_buckets + 63) / 64;

	memset(s->due, 0, words * sizeof(uint64_t));
	s->vm = ADDR_NONE;
	s->n_due = 0;
	s->n_lines = 0;
	s->in_bucket = false;
	s->tries = 0;
	s->refused = 0;
}

static void add(struct entry *e, uint64_t vm, uint32_t bucket)
{
	struct stream *s = stream_to(e, vm);
	uint64_t bit = 1ULL << (bucket % 64);

	if (!s || s->due[bucket / 64] & bit)
		return;
	s->due[bucket / 64] |= bit;
	s->whole[bucket / 64] &= ~bit;
	if (ring_covered(e->ring, bucket, e->now_ns))
		s->whole[bucket / 64] |= bit;
	s->n_due++;
}

/* streams_pair_changed() - tell a newcomer to a bucket's pair its history. */
void streams_pair_changed(struct entry *e, uint32_t bucket,
			  struct ring_pair before, struct ring_pair after)
{
	uint64_t self = e->conf.member.self;
	const uint64_t now[2] = { after.owner, after.second };

	if (before.owner != self && before.second != self)
		return;
	if (before.second == self && vm_serves(e, before.owner))
		return;
	for (uint32_t i = 0; i < 2; i++) {
		if (now[i] == ADDR_NONE || now[i] == self ||
		    now[i] == before.owner || now[i] == before.second)
			continue;
		add(e, now[i], bucket);
	}
}

static void bucket_done(struct stream *s)
{
	s->due[s->scan / 64] &= ~(1ULL << (s->scan % 64));
	s->n_due--;
	s->in_bucket = false;
}

static void next_due(const struct entry *e, struct stream *s)
{
	while (!(s->due[s->scan / 64] & 1ULL << (s->scan % 64)))
		s->scan = (s->scan + 1) % e->conf.n_buckets;
}

/* Records of one bucket into the message; its last line says: these were all. */
static void fill_bucket(struct entry *e, struct stream *s)
{
	uint32_t slot = claims_first(e->claims, s->scan);

	if (s->in_bucket && s->cursor != CLAIM_SLOT_NONE &&
	    claims_at(e->claims, s->cursor)->bucket == s->scan)
		slot = s->cursor;
	while (slot != CLAIM_SLOT_NONE && s->n_lines < CLAIMS_MAX) {
		s->lines[s->n_lines++] = *claims_at(e->claims, slot);
		slot = claims_after(e->claims, slot);
	}
	s->cursor = slot;
	s->in_bucket = true;
	if (slot != CLAIM_SLOT_NONE || s->n_lines == CLAIMS_MAX)
		return;
	memset(&s->lines[s->n_lines], 0, sizeof(s->lines[0]));
	s->lines[s->n_lines].bucket = s->scan;
	s->lines[s->n_lines].covered =
		s->whole[s->scan / 64] >> (s->scan % 64) & 1;
	s->n_lines++;
	bucket_done(s);
}

static void send_lines(struct entry *e, struct stream *s)
{
	struct peer_msg *m = emit_peer(e, s->vm, PEER_RECORD);

	m->seq = s->seq;
	m->n_claims = s->n_lines;
	memcpy(m->claims, s->lines, s->n_lines * sizeof(s->lines[0]));
	s->tries++;
	s->retry_ns = e->now_ns + STREAM_RETRY_NS;
}

static void stream_go_on(struct entry *e, struct stream *s)
{
	if (e->now_ns < s->retry_ns)
		return;
	if (s->tries > STREAM_TRIES_MAX || s->refused > REFUSED_MAX ||
	    !vm_serves(e, s->vm)) {
		stream_close(e, s);
		return;
	}
	if (!s->n_lines && !s->n_due) {
		stream_close(e, s);
		return;
	}
	if (!allowance_take(e, CLAIMS_MAX * LINE_BYTES)) {
		s->retry_ns = e->now_ns + STREAM_RETRY_NS;
		return;
	}
	if (!s->n_lines)
		s->seq = rng_next(&e->rng);
	while (s->tries == 0 && s->n_due && s->n_lines < CLAIMS_MAX) {
		next_due(e, s);
		fill_bucket(e, s);
	}
	send_lines(e, s);
}

/* streams_tick() - send what is due to each receiver. */
void streams_tick(struct entry *e)
{
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
}

/*
 * The word that a bucket's history is whole counts only for a member of its
 * pair. The sender may have heard of the change before us: taken now, the word
 * would be lost, and after the next change nobody would know the history.
 *
 * Return: false when it has to be sent again, later.
 */
static bool take_line(struct entry *e, const struct claim *line)
{
	struct ring_pair pair;

	if (line->bucket >= e->conf.n_buckets)
		return true;
	if (line->state != CLAIM_NONE || line->request != 0) {
		take_record(e, line);
		return true;
	}
	pair = ring_at(e->ring, line->bucket);
	if (pair.owner != e->conf.member.self &&
	    pair.second != e->conf.member.self)
		return false;
	if (line->covered)
		ring_cover(e->ring, line->bucket);
	return true;
}

/* stream_received() - PEER_RECORD: history of buckets that we joined. */
void stream_received(struct entry *e, const struct peer_msg *msg)
{
	struct peer_msg *m = emit_peer(e, msg->from, PEER_HANDOVER);

	m->seq = msg->seq;
	for (uint8_t i = 0; i < msg->n_claims; i++) {
		if (!take_line(e, &msg->claims[i]))
			m->claims[m->n_claims++] = msg->claims[i];
	}
}

static void due_again(const struct entry *e, struct stream *s, uint32_t bucket)
{
	uint64_t bit = 1ULL << (bucket % 64);

	if (bucket >= e->conf.n_buckets || s->due[bucket / 64] & bit)
		return;
	s->due[bucket / 64] |= bit;
	s->n_due++;
}

/* stream_acked() - PEER_HANDOVER: the receiver has the message under way. */
void stream_acked(struct entry *e, const struct peer_msg *msg)
{
	for (uint32_t i = 0; i < STREAMS_MAX; i++) {
		struct stream *s = &e->streams[i];

		if (s->vm != msg->from || !s->n_lines || s->seq != msg->seq)
			continue;
		s->n_lines = 0;
		s->tries = 0;
		s->retry_ns = e->now_ns;
		s->refused = msg->n_claims ? s->refused + 1 : 0;
		if (msg->n_claims)
			s->retry_ns += STREAM_RETRY_NS;
		for (uint8_t k = 0; k < msg->n_claims; k++)
			due_again(e, s, msg->claims[k].bucket);
		stream_go_on(e, s);
	}
}

uint32_t stream_lines_pending(const struct entry *e)
{
	uint32_t n = 0;

	for (uint32_t i = 0; i < STREAMS_MAX; i++)
		n += e->streams[i].n_due + (e->streams[i].n_lines > 0);
	return n;
}

bool streams_idle(const struct entry *e)
{
	return stream_lines_pending(e) == 0;
}

uint64_t streams_next_ns(const struct entry *e)
{
	uint64_t next = DEADLINE_NEVER;

	for (uint32_t i = 0; i < STREAMS_MAX; i++) {
		const struct stream *s = &e->streams[i];

		if (s->vm != ADDR_NONE && s->retry_ns < next)
			next = s->retry_ns;
	}
	return next;
}
