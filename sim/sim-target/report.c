#include "target.h"

/**
 * report_load() - what the target says its load is
 * @r: report
 * @now: its load
 * @now_ns: time
 *
 * Return: the load, up to the lag old, or the lie.
 */
struct load report_load(struct report *r, const struct load *now,
			uint64_t now_ns)
{
	struct load lie = { .running = (uint16_t)r->lie };

	if (r->lie >= 0)
		return lie;
	if (now_ns >= r->resample_deadline_ns) {
		r->sampled = *now;
		r->resample_deadline_ns = now_ns + r->lag_ns;
	}
	return r->sampled;
}

static void put_u16(uint8_t *buf, uint16_t n)
{
	buf[0] = (uint8_t)(n >> 8);
	buf[1] = (uint8_t)n;
}

/**
 * load_encode() - value of the Load option
 * @l: load
 * @buf: filled: running, waiting, connections, big endian
 */
void load_encode(const struct load *l, uint8_t buf[LOAD_BYTES])
{
	put_u16(buf, l->running);
	put_u16(buf + 2, l->waiting);
	put_u16(buf + 4, l->connections);
}
