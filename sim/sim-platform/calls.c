#include "platform.h"

static const char *const call_names[CALLS] = {
	[CALL_GET] = "get",
	[CALL_LIST] = "list",
	[CALL_WATCH] = "watch",
	[CALL_OTHER] = "other",
};

/**
 * calls_count() - count a call
 * @c: counters
 * @kind: what was called
 * @now_ns: time
 */
void calls_count(struct calls *c, enum call kind, uint64_t now_ns)
{
	uint64_t second = now_ns / NS_PER_S;

	c->n[kind]++;
	if (second != c->second) {
		c->second = second;
		c->in_second = 0;
	}
	c->in_second++;
	if (c->in_second > c->peak_per_s)
		c->peak_per_s = c->in_second;
}

/**
 * calls_print() - print counters as a line
 * @c: counters
 * @name: first word of the line
 * @out: the line is appended
 */
void calls_print(const struct calls *c, const char *name, GString *out)
{
	uint64_t total = 0;
	int i;

	for (i = 0; i < CALLS; i++)
		total += c->n[i];
	g_string_append_printf(out, "%s calls %" G_GUINT64_FORMAT, name, total);
	for (i = 0; i < CALLS; i++)
		g_string_append_printf(out, " %s %" G_GUINT64_FORMAT,
				       call_names[i], c->n[i]);
	g_string_append_printf(out,
			       " not_found %" G_GUINT64_FORMAT
			       " peak_per_s %" G_GUINT64_FORMAT "\n",
			       c->not_found, c->peak_per_s);
}
