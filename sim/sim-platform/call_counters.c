#include "platform.h"

static const char *const call_names[CALLS] = {
	[CALL_GET] = "get",
	[CALL_LIST] = "list",
	[CALL_WATCH] = "watch",
	[CALL_OTHER] = "other",
};

/**
 * call_counters_add() - count a call
 * @c: counters to update
 * @kind: kind of the call
 * @now_ns: monotonic time, never before that of the previous call
 */
void call_counters_add(struct call_counters *c, enum call_kind kind,
		       uint64_t now_ns)
{
	uint64_t second = now_ns / NS_PER_S;

	c->count[kind]++;
	if (second != c->second) {
		c->second = second;
		c->in_second = 0;
	}
	c->in_second++;
	if (c->in_second > c->peak_per_s)
		c->peak_per_s = c->in_second;
}

/**
 * call_counters_print() - append a line with the counters
 * @c: counters
 * @name: first word of the line
 * @out: string to append to
 */
void call_counters_print(const struct call_counters *c, const char *name,
			 GString *out)
{
	uint64_t total = 0;
	int i;

	for (i = 0; i < CALLS; i++)
		total += c->count[i];
	g_string_append_printf(out, "%s calls %" G_GUINT64_FORMAT, name, total);
	for (i = 0; i < CALLS; i++)
		g_string_append_printf(out, " %s %" G_GUINT64_FORMAT,
				       call_names[i], c->count[i]);
	g_string_append_printf(out,
			       " not_found %" G_GUINT64_FORMAT
			       " peak_per_s %" G_GUINT64_FORMAT "\n",
			       c->not_found, c->peak_per_s);
}
