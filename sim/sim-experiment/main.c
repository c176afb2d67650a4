/*
 * sim-experiment: runs experiments on the emulator, with several policies on the
 * same seeds, and prints the results.
 */
#include "experiment.h"

#include <argtable2.h>
#include <stdio.h>
#include <stdlib.h>

enum exit_code { EXIT_OK, EXIT_BROKEN, EXIT_USAGE };

/* Command line arguments; argtable requires end to be the last. */
struct args {
	struct arg_file *files;
	struct arg_int *seeds;
	struct arg_lit *json;
	struct arg_lit *windows;
	struct arg_lit *list;
	struct arg_lit *help;
	struct arg_end *end;
};

static struct args args_new(void)
{
	return (struct args){
		.files = arg_filen(NULL, NULL, "FILE", 0, 64, "experiments"),
		.seeds = arg_int0(NULL, "seeds", "N",
				  "runs of each policy; overrides the file"),
		.json = arg_lit0(NULL, "json",
				 "print one line of JSON per policy"),
		.windows = arg_lit0(NULL, "windows",
				    "print the windows of the first seed"),
		.list = arg_lit0(NULL, "list", "list the incidents and exit"),
		.help = arg_lit0(NULL, "help", "print this help and exit"),
		.end = arg_end(8),
	};
}

static int run_windows(const struct experiment *experiment)
{
	for (uint32_t v = 0; v < experiment->n_variants; v++) {
		struct outcome out;
		struct windows windows;
		int err = experiment_run(experiment, v, experiment->first_seed,
					 &out, &windows);

		if (err)
			return err;
		report_windows(experiment, v, &windows);
		windows_free(&windows);
	}
	return 0;
}

static int run_seeds(const struct experiment *experiment, struct outcome *all)
{
	for (uint32_t v = 0; v < experiment->n_variants; v++)
		for (uint32_t i = 0; i < experiment->seeds; i++) {
			struct windows windows;
			int err = experiment_run(
				experiment, v, experiment->first_seed + i,
				&all[(size_t)v * experiment->seeds + i],
				&windows);

			if (err)
				return err;
			windows_free(&windows);
		}
	return 0;
}

static int run(const struct args *a, const struct experiment *experiment)
{
	struct outcome *all =
		calloc((size_t)experiment->n_variants * experiment->seeds,
		       sizeof(*all));
	uint64_t broken = 0;

	if (!all || run_seeds(experiment, all)) {
		fprintf(stderr, "sim-experiment: out of memory\n");
		free(all);
		return EXIT_USAGE;
	}
	if (a->json->count)
		report_json(experiment, all);
	else
		report_table(experiment, all);
	for (uint32_t i = 0; i < experiment->n_variants * experiment->seeds;
	     i++)
		broken += all[i].rules;
	free(all);
	return broken ? EXIT_BROKEN : EXIT_OK;
}

static int run_file(const struct args *a, const char *path)
{
	static struct experiment experiment; /* too large for the stack */
	struct mistakes m = { 0 };
	int code = EXIT_USAGE;

	if (experiment_read(path, &experiment, &m)) {
		mistakes_print(&m, stderr);
	} else {
		if (a->seeds->count && a->seeds->ival[0] > 0)
			experiment.seeds = (uint32_t)a->seeds->ival[0];
		code = a->windows->count ? run_windows(&experiment)
					 : run(a, &experiment);
	}
	mistakes_free(&m);
	return code;
}

static int run_with_args(struct args *a, void **table, int argc, char **argv)
{
	int errors = arg_parse(argc, argv, table);
	int code = EXIT_OK;

	if (a->help->count) {
		printf("Usage: sim-experiment");
		arg_print_syntax(stdout, table, "\n");
		arg_print_glossary(stdout, table, "  %-18s %s\n");
		return EXIT_OK;
	}
	if (errors) {
		arg_print_errors(stderr, a->end, "sim-experiment");
		return EXIT_USAGE;
	}
	for (uint32_t i = 0; a->list->count && i < n_incident_kinds; i++)
		printf("%-18s %s\n", incident_kinds[i].name,
		       incident_kinds[i].help);
	for (int i = 0; i < a->files->count; i++) {
		int one = run_file(a, a->files->filename[i]);

		code = one > code ? one : code;
	}
	return code;
}

int main(int argc, char **argv)
{
	struct args a = args_new();
	void *table[] = { a.files, a.seeds, a.json, a.windows,
			  a.list,  a.help,  a.end };
	int code = EXIT_USAGE;

	if (!arg_nullcheck(table))
		code = run_with_args(&a, table, argc, argv);
	arg_freetable(table, sizeof(table) / sizeof(table[0]));
	return code;
}
