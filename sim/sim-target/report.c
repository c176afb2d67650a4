#include "target.h"

/**
 * load_report_get() - load to report
 * @r: state of the reports
 * @now: current load
 * @now_ns: monotonic time
 *
 * Return: load sampled at most @r->lag_ns ago, or the constant @r->constant.
 */
struct load load_report_get(struct load_report *r, const struct load *now,
			    uint64_t now_ns)
{
	struct load constant = { .running = (uint16_t)r->constant };

	if (r->constant >= 0)
		return constant;
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
 * load_encode() - encode the value of the Load option
 * @l: load
 * @buf: receives running, waiting and connections as big-endian 16-bit numbers
 */
void load_encode(const struct load *l, uint8_t buf[LOAD_BYTES])
{
	put_u16(buf, l->running);
	put_u16(buf + 2, l->waiting);
	put_u16(buf + 4, l->connections);
}
