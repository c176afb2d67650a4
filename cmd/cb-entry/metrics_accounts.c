/* Metrics and status lines by client account and class. */
#include "daemon.h"
#include "histogram_text.h"

#include <string.h>

static const char *const class_names[CLASS_COUNT] = {
	[CLASS_FEED] = "feed",
	[CLASS_REPORT] = "report",
	[CLASS_UPLOAD] = "upload",
};

static const char *const outcome_names[OUTCOME_COUNT] = {
	[OUTCOME_OK] = "ok",
	[OUTCOME_SHED] = "shed",
	[OUTCOME_ERROR] = "error",
	[OUTCOME_TIMEOUT] = "timeout",
	[OUTCOME_CANCELLED] = "cancelled",
};

static const char *const refusal_names[REFUSE_COUNT] = {
	[REFUSE_NONE] = "none",		  [REFUSE_QUEUE] = "queue",
	[REFUSE_SHARE] = "share",	  [REFUSE_DEADLINE] = "deadline",
	[REFUSE_NO_TARGET] = "no_target", [REFUSE_CONNECTIONS] = "connections",
	[REFUSE_MEMORY] = "memory",	  [REFUSE_SHED] = "shed",
	[REFUSE_TRANSFER] = "transfer",
};

/**
 * struct account_row - statistics of one client account and class
 * @account: name of the account
 * @class: name of the class
 * @answers: answers that callers received
 * @balancer: statistics of the balancer; NULL for an account that was withdrawn
 */
struct account_row {
	const char *account;
	const char *class;
	const struct answer_stats *answers;
	const struct class_stats *balancer;
};

static void put_value(GString *to, const struct account_row *r,
		      const char *name, uint64_t value)
{
	if (value)
		g_string_append_printf(to,
				       "%s{account=\"%s\",class=\"%s\"} %llu\n",
				       name, r->account, r->class,
				       (unsigned long long)value);
}

static void put_label(GString *to, const struct account_row *r,
		      const char *name, const char *label,
		      const char *label_value, uint64_t value)
{
	if (value)
		g_string_append_printf(
			to, "%s{account=\"%s\",class=\"%s\",%s=\"%s\"} %llu\n",
			name, r->account, r->class, label, label_value,
			(unsigned long long)value);
}

static void put_reasons(GString *to, const struct account_row *r,
			const char *name, const uint64_t values[REFUSE_COUNT])
{
	for (uint32_t i = 0; i < REFUSE_COUNT; i++)
		put_label(to, r, name, "reason", refusal_names[i], values[i]);
}

/* Cumulative buckets; a bucket with the count of the one before is left out. */
static void put_histogram(GString *to, const struct account_row *r,
			  const char *name, const struct histogram *h)
{
	char *labels = g_strdup_printf("account=\"%s\",class=\"%s\"",
				       r->account, r->class);

	histogram_append_text(to, name, labels, h);
	g_free(labels);
}

static void put_answered(GString *to, const struct account_row *r,
			 const char *name)
{
	put_value(to, r, name, r->answers->answered);
}

static void put_refused(GString *to, const struct account_row *r,
			const char *name)
{
	put_reasons(to, r, name, r->answers->not_run);
}

static void put_unknown(GString *to, const struct account_row *r,
			const char *name)
{
	put_reasons(to, r, name, r->answers->unknown);
}

static void put_answer_time(GString *to, const struct account_row *r,
			    const char *name)
{
	put_histogram(to, r, name, &r->answers->answer_us);
}

static void put_admitted(GString *to, const struct account_row *r,
			 const char *name)
{
	if (r->balancer)
		put_value(to, r, name, r->balancer->admitted);
}

static void put_queued(GString *to, const struct account_row *r,
		       const char *name)
{
	if (r->balancer)
		put_value(to, r, name, r->balancer->queued);
}

static void put_wait(GString *to, const struct account_row *r, const char *name)
{
	if (r->balancer)
		put_histogram(to, r, name, &r->balancer->wait_us);
}

static void put_retries(GString *to, const struct account_row *r,
			const char *name)
{
	if (r->balancer)
		put_value(to, r, name, r->balancer->retries);
}

static void put_retries_denied(GString *to, const struct account_row *r,
			       const char *name)
{
	if (r->balancer)
		put_value(to, r, name, r->balancer->retries_denied);
}

static void put_outcome(GString *to, const struct account_row *r,
			const char *name)
{
	for (uint32_t i = 0; r->balancer && i < OUTCOME_COUNT; i++)
		put_label(to, r, name, "outcome", outcome_names[i],
			  r->balancer->outcome[i]);
}

/* In the last three the class is that of the service, not of the request. */
static const struct {
	const char *name;
	const char *type;
	void (*put)(GString *to, const struct account_row *r, const char *name);
} families[] = {
	{ "cb_answered_total", "counter", put_answered },
	{ "cb_refused_total", "counter", put_refused },
	{ "cb_unknown_total", "counter", put_unknown },
	{ "cb_answer_microseconds", "histogram", put_answer_time },
	{ "cb_admitted_total", "counter", put_admitted },
	{ "cb_queued_total", "counter", put_queued },
	{ "cb_wait_microseconds", "histogram", put_wait },
	{ "cb_service_retries_total", "counter", put_retries },
	{ "cb_service_retries_denied_total", "counter", put_retries_denied },
	{ "cb_service_outcome_total", "counter", put_outcome },
};

/*
 * Statistics of the balancer for @r; NULL when it has none. Both iterations are
 * ordered by name and class.
 */
static const struct class_stats *
find_balancer_stats(const struct daemon *d, const struct account_row *r,
		    uint32_t *cursor)
{
	const struct balancer *b = entry_balancer(d->entry);
	const struct class_stats *stats;
	const char *account;
	uint32_t next = *cursor;
	uint8_t class;

	if (!balance_next_class_stats(b, &next, &account, &class, &stats) ||
	    strcmp(account, r->account))
		return NULL;
	*cursor = next;
	return stats;
}

static GArray *collect_rows(const struct daemon *d)
{
	GArray *rows = g_array_new(FALSE, FALSE, sizeof(struct account_row));
	uint32_t cursor = 0;
	uint32_t balancer_cursor = 0;
	uint8_t class;
	struct account_row r;

	while (entry_answer_stats_next(d->entry, &cursor, &r.account, &class,
				       &r.answers)) {
		r.class = class_names[class];
		r.balancer = find_balancer_stats(d, &r, &balancer_cursor);
		g_array_append_val(rows, r);
	}
	return rows;
}

/**
 * metrics_write_accounts() - write the metrics of all client accounts
 * @d: daemon
 * @to: text that they are appended to
 */
void metrics_write_accounts(const struct daemon *d, GString *to)
{
	GArray *rows = collect_rows(d);

	for (size_t f = 0; f < G_N_ELEMENTS(families); f++) {
		g_string_append_printf(to, "# TYPE %s %s\n", families[f].name,
				       families[f].type);
		for (guint i = 0; i < rows->len; i++)
			families[f].put(
				to, &g_array_index(rows, struct account_row, i),
				families[f].name);
	}
	g_array_free(rows, TRUE);
}

static void status_reasons(GString *to, const struct account_row *r,
			   const char *name,
			   const uint64_t values[REFUSE_COUNT])
{
	for (uint32_t i = 0; i < REFUSE_COUNT; i++)
		if (values[i])
			g_string_append_printf(to, "%s %s %s %s %llu\n", name,
					       r->account, r->class,
					       refusal_names[i],
					       (unsigned long long)values[i]);
}

static void status_row(GString *to, const struct account_row *r)
{
	const struct answer_stats *a = r->answers;
	uint64_t refused = 0;
	uint64_t unknown = 0;

	for (uint32_t i = 0; i < REFUSE_COUNT; i++) {
		refused += a->not_run[i];
		unknown += a->unknown[i];
	}
	g_string_append_printf(
		to,
		"answers %s %s answered=%llu refused=%llu unknown=%llu "
		"answer_p50_us=%llu answer_p99_us=%llu wait_p50_us=%llu "
		"wait_p99_us=%llu\n",
		r->account, r->class, (unsigned long long)a->answered,
		(unsigned long long)refused, (unsigned long long)unknown,
		(unsigned long long)histogram_quantile(&a->answer_us, 0.50),
		(unsigned long long)histogram_quantile(&a->answer_us, 0.99),
		(unsigned long long)(r->balancer
					     ? histogram_quantile(
						       &r->balancer->wait_us,
						       0.50)
					     : 0),
		(unsigned long long)(r->balancer
					     ? histogram_quantile(
						       &r->balancer->wait_us,
						       0.99)
					     : 0));
	status_reasons(to, r, "not_run", a->not_run);
	status_reasons(to, r, "outcome_unknown", a->unknown);
}

/**
 * status_write_accounts() - write the status lines of all client accounts
 * @d: daemon
 * @to: text that they are appended to
 */
void status_write_accounts(const struct daemon *d, GString *to)
{
	GArray *rows = collect_rows(d);

	for (guint i = 0; i < rows->len; i++)
		status_row(to, &g_array_index(rows, struct account_row, i));
	g_array_free(rows, TRUE);
}
