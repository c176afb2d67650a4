/* Reads the targets' run logs. */
#include "load.h"

#include <errno.h>
#include <stdio.h>
#include <string.h>

#define LINE_MAX_BYTES 512

const char *const log_service_names[N_LOG_SERVICES] = {
	[LOG_LIVE] = "live",
	[LOG_INGEST] = "ingest",
};

static void mark_service(struct run_logs *logs, uint32_t log,
			 const char *service)
{
	for (uint32_t s = 0; s < N_LOG_SERVICES; s++)
		if (strcmp(log_service_names[s], service) == 0)
			logs->is_of_service[s][log] = 1;
}

static int read_file(const char *path, uint32_t log, bool is_named,
		     struct run_logs *logs)
{
	FILE *f = fopen(path, "r");
	char line[LINE_MAX_BYTES];
	struct run_record record;

	if (!f) {
		int err = -errno;

		fprintf(stderr, "cbload: run log %s: %s\n", path,
			strerror(-err));
		return err;
	}
	while (fgets(line, sizeof(line), f)) {
		if (run_parse(line, &record) < 0)
			continue;
		record.log = log;
		g_array_append_val(logs->runs, record);
		if (!is_named)
			mark_service(logs, log, record.service);
	}
	fclose(f);
	return 0;
}

/**
 * run_logs_read() - read every run log of the command line
 * @options: options of the command line
 * @out: receives the records; the caller frees @out->runs, also on an error
 *
 * A file that can't be read is an error, since counts without it would hide
 * faults.
 *
 * Return: 0, or the negative errno of the first file that can't be read.
 */
int run_logs_read(const struct options *options, struct run_logs *out)
{
	memset(out, 0, sizeof(*out));
	out->runs = g_array_new(FALSE, FALSE, sizeof(struct run_record));
	out->n_logs = options->n_run_logs;
	for (uint32_t i = 0; i < options->n_run_logs; i++) {
		bool is_named = options->run_log_services[i] != NULL;
		int err = read_file(options->run_logs[i], i, is_named, out);

		if (err)
			return err;
		if (is_named)
			mark_service(out, i, options->run_log_services[i]);
	}
	return 0;
}
