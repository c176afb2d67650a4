#include "fetch.h"

#include <curl/curl.h>
#include <errno.h>

#define HTTP_OK 200
#define HTTP_NOT_FOUND 404
/* A value has at most 1 MiB; more than this is no answer of ours. */
#define BODY_MAX_BYTES (16U << 20)

static size_t keep(char *data, size_t size, size_t n, void *to)
{
	GString *body = to;

	if (body->len + size * n > BODY_MAX_BYTES)
		return 0;
	g_string_append_len(body, data, (gssize)(size * n));
	return size * n;
}

static int status_error(long status, char error[FETCH_ERROR_BYTES])
{
	if (status == HTTP_OK)
		return 0;
	g_snprintf(error, FETCH_ERROR_BYTES, "answered %ld", status);
	return status == HTTP_NOT_FOUND ? -ENOENT : -EPROTO;
}

static int curl_error(CURLcode code, char error[FETCH_ERROR_BYTES])
{
	if (!error[0])
		g_strlcpy(error, curl_easy_strerror(code), FETCH_ERROR_BYTES);
	return code == CURLE_OPERATION_TIMEDOUT ? -ETIMEDOUT : -EHOSTUNREACH;
}

/**
 * fetch() - GET a URL and wait for the answer
 * @url: URL; proxies from the environment are not used
 * @timeout_ms: longest wait, in milliseconds
 * @body: filled, also with the body of an error
 * @error: filled with what went wrong, empty otherwise
 *
 * Return: 0 for 200; -ENOENT for 404; -EPROTO for another status;
 * -ETIMEDOUT; -EHOSTUNREACH when there was no answer; -ENOMEM.
 */
int fetch(const char *url, uint32_t timeout_ms, GString *body,
	  char error[FETCH_ERROR_BYTES])
{
	CURL *curl = curl_easy_init();
	CURLcode code;
	long status = 0;

	error[0] = '\0';
	if (!curl)
		return -ENOMEM;
	g_string_truncate(body, 0);
	curl_easy_setopt(curl, CURLOPT_URL, url);
	curl_easy_setopt(curl, CURLOPT_NOPROXY, "*");
	curl_easy_setopt(curl, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(curl, CURLOPT_TIMEOUT_MS, (long)timeout_ms);
	curl_easy_setopt(curl, CURLOPT_WRITEFUNCTION, keep);
	curl_easy_setopt(curl, CURLOPT_WRITEDATA, body);
	curl_easy_setopt(curl, CURLOPT_ERRORBUFFER, error);
	code = curl_easy_perform(curl);
	curl_easy_getinfo(curl, CURLINFO_RESPONSE_CODE, &status);
	curl_easy_setopt(curl, CURLOPT_ERRORBUFFER, NULL);
	curl_easy_cleanup(curl);
	return code == CURLE_OK ? status_error(status, error)
				: curl_error(code, error);
}
