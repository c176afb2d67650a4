/*
 * sim-tell: sends a command to the control port of a simulated program, or
 * uploads a file as a key of sim-platform, and prints the answer.
 */
#include "settings.h"

#include <curl/curl.h>

#include <arpa/inet.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#define ANSWER_TIMEOUT_S 1
#define LINE_BYTES 1024

/* Joins the words of @argv into one line, truncated to @size_bytes. */
static void join(int argc, char **argv, char *line, size_t size_bytes)
{
	size_t used = 0;

	line[0] = '\0';
	for (int i = 0; i < argc && used < size_bytes; i++)
		used += (size_t)snprintf(line + used, size_bytes - used, "%s%s",
					 i ? " " : "", argv[i]);
}

static int connect_udp(uint64_t addr)
{
	struct sockaddr_in sin = {
		.sin_family = AF_INET,
		.sin_port = htons(ADDR_PORT(addr)),
		.sin_addr.s_addr = htonl(ADDR_IP(addr)),
	};
	struct timeval timeout = { .tv_sec = ANSWER_TIMEOUT_S };
	int fd = socket(AF_INET, SOCK_DGRAM, 0);

	if (fd < 0)
		return -1;
	if (setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &timeout,
		       sizeof(timeout)) == 0 &&
	    connect(fd, (const struct sockaddr *)&sin, sizeof(sin)) == 0)
		return fd;
	close(fd);
	return -1;
}

static int send_command(const char *to, uint64_t addr, char *line,
			size_t size_bytes)
{
	size_t n = strlen(line);
	ssize_t got;
	int fd = connect_udp(addr);

	if (fd < 0 || send(fd, line, n, 0) != (ssize_t)n) {
		perror(to);
		return 1;
	}
	got = recv(fd, line, size_bytes - 1, 0);
	close(fd);
	if (got < 0) {
		perror(to);
		return 1;
	}
	line[got] = '\0';
	fputs(line, stdout);
	return strncmp(line, "error", 5) == 0;
}

/*
 * libcurl prints the body of the answer to stdout by default. The Expect header
 * is removed: by default libcurl sends "Expect: 100-continue" and waits one
 * second for an interim response, which sim-platform does not send. The timeout
 * of the whole call is as long, so no upload would ever succeed.
 */
static int upload(const char *url, const char *path)
{
	struct curl_slist *headers = curl_slist_append(NULL, "Expect:");
	FILE *f = fopen(path, "r");
	CURL *curl;
	CURLcode code;

	if (!f) {
		curl_slist_free_all(headers);
		perror(path);
		return 1;
	}
	curl = curl_easy_init();
	curl_easy_setopt(curl, CURLOPT_URL, url);
	curl_easy_setopt(curl, CURLOPT_NOPROXY, "*");
	curl_easy_setopt(curl, CURLOPT_HTTPHEADER, headers);
	curl_easy_setopt(curl, CURLOPT_UPLOAD, 1L);
	curl_easy_setopt(curl, CURLOPT_READDATA, f);
	curl_easy_setopt(curl, CURLOPT_FAILONERROR, 1L);
	curl_easy_setopt(curl, CURLOPT_TIMEOUT, (long)ANSWER_TIMEOUT_S);
	code = curl_easy_perform(curl);
	curl_easy_cleanup(curl);
	curl_slist_free_all(headers);
	fclose(f);
	if (code != CURLE_OK)
		fprintf(stderr, "%s: %s\n", url, curl_easy_strerror(code));
	return code != CURLE_OK;
}

int main(int argc, char **argv)
{
	char line[LINE_BYTES];
	uint64_t addr;

	if (argc == 3 && strncmp(argv[1], "http://", 7) == 0)
		return upload(argv[1], argv[2]);
	if (argc < 3 || addr_parse(argv[1], &addr) < 0) {
		fprintf(stderr, "usage: sim-tell ADDRESS:PORT COMMAND...\n"
				"       sim-tell URL FILE\n");
		return 2;
	}
	join(argc - 2, argv + 2, line, sizeof(line));
	return send_command(argv[1], addr, line, sizeof(line));
}
