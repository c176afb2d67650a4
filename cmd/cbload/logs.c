/* Reading of the targets' run logs. */
#include "load.h"

#include <errno.h>
#include <stdio.h>
#include <string.h>

#define LINE_MAX_BYTES 512

const char *const log_services[N_LOG_SERVICES] = {
	[LOG_LIVE] = "live",
	[LOG_INGEST] = "ingest",
};

static void mark(struct logs *l, uint32_t log, const char *service)
{
	for (uint32_t s = 0; s < N_LOG_SERVICES; s++)
		if (strcmp(log_services[s], service) == 0)
			l->of_service[s][log] = 1;
}

static int read_file(const char *path, uint32_t log, bool named, struct logs *l)
{
	FILE *f = fopen(path, "r");
	char line[LINE_MAX_BYTES];
	struct run_record r;

	if (!f) {
		int err = -errno;

		fprintf(stderr, "cbload: run log %s: %s\n", path,
			strerror(-err));
		return err;
	}
	while (fgets(line, sizeof(line), f)) {
		if (run_record_parse(line, &r) < 0)
			continue;
		r.log = log;
		g_array_append_val(l->runs, r);
		if (!named)
			mark(l, log, r.service);
	}
	fclose(f);
	return 0;
}

/**
 * logs_read() - read every run log that the command line names
 * @o: command line
 * @out: filled
 *
 * Return: 0, or a negative error number of the first file that can't be
 * read: a count without it would hide faults.
 */
int logs_read(const struct options *o, struct logs *out)
{
	memset(out, 0, sizeof(*out));
	out->runs = g_array_new(FALSE, FALSE, sizeof(struct run_record));
	out->n = o->n_runs;
	for (uint32_t i = 0; i < o->n_runs; i++) {
		bool named = o->runs_service[i] != NULL;
		int err = read_file(o->runs[i], i, named, out);

		if (err)
			return err;
		if (named)
			mark(out, i, o->runs_service[i]);
	}
	return 0;
}
