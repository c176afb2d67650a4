/* load: requests, refusals and causes by service and class, over entries. */
#include "cbctl.h"

#include "load_report.h"

#include <stdio.h>

static enum exit_code add_entry(struct load_report *report, const char *peer)
{
	GString *body = g_string_new(NULL);
	enum exit_code code = fetch_page(peer, "/status", body);

	if (code == EXIT_OK && !load_report_add(report, body->str)) {
		report_error("load", peer,
			     "its status has no line load_control: not a "
			     "cb-packet, or an earlier release");
		code = EXIT_PROBLEMS;
	}
	g_string_free(body, TRUE);
	return code;
}

static void print_report(const struct command_args *args,
			 const struct load_report *report)
{
	GString *out = g_string_new(NULL);

	if (args->json) {
		load_report_append_json(report, out);
		json_finish(args, out);
		return;
	}
	load_report_append_lines(report, out);
	fputs(out->str, stdout);
	g_string_free(out, TRUE);
}

enum exit_code load_run(const struct command_args *args)
{
	struct load_report *report = load_report_new();
	enum exit_code code = EXIT_OK;

	for (uint32_t i = 0; i < args->n_operands; i++)
		code = worse_exit_code(code,
				       add_entry(report, args->operands[i]));
	if (load_report_is_refusing(report))
		code = worse_exit_code(code, EXIT_PROBLEMS);
	print_report(args, report);
	load_report_free(report);
	return code;
}
