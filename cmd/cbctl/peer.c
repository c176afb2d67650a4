/* HTTP requests to daemons and the platform; every error names step and peer. */
#include "cbctl.h"

#include "fetch.h"
#include "settings.h"

#include <errno.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>

/**
 * report_error() - print an error on standard error
 * @step: operation that failed
 * @peer: file, URL or IP:PORT that it failed on
 * @format: as for printf(), without a newline
 */
void report_error(const char *step, const char *peer, const char *format, ...)
{
	va_list ap;

	fprintf(stderr, "cbctl: step=%s peer=%s ", step, peer);
	va_start(ap, format);
	vfprintf(stderr, format, ap);
	va_end(ap);
	fputc('\n', stderr);
}

/**
 * worse_exit_code() - the more severe of two exit codes
 * @a: first code
 * @b: second code
 *
 * Return: the greater of both.
 */
enum exit_code worse_exit_code(enum exit_code a, enum exit_code b)
{
	return a > b ? a : b;
}

/**
 * fetch_url() - GET a URL and report a failure on standard error
 * @step: operation that the error message names
 * @peer: URL or IP:PORT that the error message names
 * @url: http or https URL
 * @body: receives the answer's body; also that of an error
 *
 * Return: EXIT_OK; EXIT_UNREACHABLE without an answer; EXIT_PROBLEMS for an
 * answer other than 200.
 */
enum exit_code fetch_url(const char *step, const char *peer, const char *url,
			 GString *body)
{
	char error[FETCH_ERROR_BYTES];
	int err = fetch(url, HTTP_TIMEOUT_MS, body, error);

	if (!err)
		return EXIT_OK;
	report_error(step, peer, "%s%s%.*s", error, body->len ? ": " : "",
		     (int)strcspn(body->str, "\n"), body->str);
	return err == -ENOENT || err == -EPROTO ? EXIT_PROBLEMS
						: EXIT_UNREACHABLE;
}

/**
 * fetch_page() - GET a page of a daemon and report a failure
 * @peer: IP:PORT of the daemon's HTTP listener
 * @path: path with its query; error messages name it, without the query, as
 *	their step
 * @body: receives the page
 *
 * Return: as fetch_url(), or EXIT_USAGE when @peer is not IP:PORT.
 */
enum exit_code fetch_page(const char *peer, const char *path, GString *body)
{
	size_t step_bytes = strcspn(path + 1, "?");
	enum exit_code code;
	uint64_t addr;
	char *step;
	char *url;

	if (addr_parse(peer, &addr)) {
		report_error("address", peer, "expected IP:PORT");
		return EXIT_USAGE;
	}
	step = g_strndup(path + 1, step_bytes);
	url = g_strdup_printf("http://%s%s", peer, path);
	code = fetch_url(step, peer, url, body);
	g_free(url);
	g_free(step);
	return code;
}
