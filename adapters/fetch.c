#include "fetch.h"

#include <curl/curl.h>
#include <errno.h>

#define HTTP_OK 200
#define HTTP_NOT_FOUND 404
/* Values have up to 1 MiB; a much larger body comes from some other server. */
#define BODY_MAX_BYTES (16U << 20)

static size_t append_body(char *data, size_t size, size_t n_members, void *ctx)
{
	GString *body = ctx;

	if (body->len + size * n_members > BODY_MAX_BYTES)
		return 0;
	g_string_append_len(body, data, (gssize)(size * n_members));
	return size * n_members;
}

static int status_to_errno(long status, char error[FETCH_ERROR_BYTES])
{
	if (status == HTTP_OK)
		return 0;
	g_snprintf(error, FETCH_ERROR_BYTES, "answered %ld", status);
	return status == HTTP_NOT_FOUND ? -ENOENT : -EPROTO;
}

static int curl_code_to_errno(CURLcode code, char error[FETCH_ERROR_BYTES])
{
	if (!error[0])
		g_strlcpy(error, curl_easy_strerror(code), FETCH_ERROR_BYTES);
	return code == CURLE_OPERATION_TIMEDOUT ? -ETIMEDOUT : -EHOSTUNREACH;
}

/**
 * fetch() - GET a URL and wait for the answer
 * @url: URL; proxies set in the environment are not used
 * @timeout_ms: limit on the whole call, in milliseconds
 * @body: replaced by the body, also when the status is an error
 * @error: error text, "" on success
 *
 * Return: 0 for status 200; -ENOENT for 404; -EPROTO for another status;
 * -ETIMEDOUT; -EHOSTUNREACH when no complete answer was received or the body
 * was too large; -ENOMEM.
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
	curl_easy_setopt(curl, CURLOPT_WRITEFUNCTION, append_body);
	curl_easy_setopt(curl, CURLOPT_WRITEDATA, body);
	curl_easy_setopt(curl, CURLOPT_ERRORBUFFER, error);
	code = curl_easy_perform(curl);
	curl_easy_getinfo(curl, CURLINFO_RESPONSE_CODE, &status);
	curl_easy_setopt(curl, CURLOPT_ERRORBUFFER, NULL);
	curl_easy_cleanup(curl);
	return code == CURLE_OK ? status_to_errno(status, error)
				: curl_code_to_errno(code, error);
}
