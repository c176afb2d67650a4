#include "sim.h"

#include <errno.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define PERCENT_MAX 100

/**
 * control_parse_number() - parse a decimal number
 * @word: text
 * @max: greatest value allowed
 * @out: receives the number
 *
 * Return: 0, or -EINVAL if it is not a number or exceeds @max.
 */
int control_parse_number(const char *word, uint32_t max, uint32_t *out)
{
	char *end;
	unsigned long n;

	if (*word < '0' || *word > '9')
		return -EINVAL;
	errno = 0;
	n = strtoul(word, &end, 10);
	if (errno || *end || n > max)
		return -EINVAL;
	*out = (uint32_t)n;
	return 0;
}

/**
 * control_parse_percent() - parse a percentage, "N" or "N%"
 * @word: text
 * @out: receives the percentage, 0 to 100
 *
 * Return: 0, or -EINVAL if it is not a number or exceeds 100.
 */
int control_parse_percent(const char *word, uint32_t *out)
{
	size_t len = strlen(word);
	char digits[8];

	if (len && word[len - 1] == '%')
		len--;
	if (len == 0 || len >= sizeof(digits))
		return -EINVAL;
	memcpy(digits, word, len);
	digits[len] = '\0';
	return control_parse_number(digits, PERCENT_MAX, out);
}

/**
 * control_write_counts() - write counters as "NAME N NAME N ..."
 * @names: names of the counters
 * @counts: values of the counters
 * @n: number of counters
 * @reply: receives the text, truncated if too long
 * @size_bytes: size of @reply
 */
void control_write_counts(const char *const *names, const uint64_t *counts,
			  uint32_t n, char *reply, size_t size_bytes)
{
	size_t used = 0;
	uint32_t i;

	for (i = 0; i < n && used < size_bytes; i++)
		used += (size_t)snprintf(reply + used, size_bytes - used,
					 "%s%s %" PRIu64, i ? " " : "",
					 names[i], counts[i]);
}

static int split(char *line, char **argv)
{
	char *save = NULL;
	int argc = 0;
	char *word;

	for (word = strtok_r(line, " \t\r\n", &save); word;
	     word = strtok_r(NULL, " \t\r\n", &save)) {
		if (argc == CONTROL_ARGS_MAX)
			return -E2BIG;
		argv[argc++] = word;
	}
	return argc;
}

static void list_commands(const struct control *c, char *reply,
			  size_t size_bytes)
{
	const struct control_command *cmd;
	size_t used = strlen(reply);

	for (cmd = c->commands; cmd->name && used < size_bytes; cmd++)
		used += (size_t)snprintf(reply + used, size_bytes - used, " %s",
					 cmd->name);
}

static const struct control_command *find_command(const struct control *c,
						  const char *name)
{
	const struct control_command *cmd;

	for (cmd = c->commands; cmd->name; cmd++) {
		if (!strcmp(cmd->name, name))
			return cmd;
	}
	return NULL;
}

/**
 * control_run_line() - run the command of a line
 * @c: control port with @ctx and @commands set
 * @line: command and arguments; modified
 * @reply: receives the answer, ended by NUL
 * @size_bytes: size of @reply
 */
void control_run_line(const struct control *c, char *line, char *reply,
		      size_t size_bytes)
{
	char *argv[CONTROL_ARGS_MAX];
	const struct control_command *cmd;
	int argc = split(line, argv);

	reply[0] = '\0';
	if (argc <= 0) {
		snprintf(reply, size_bytes, "error: expected a command");
		return;
	}
	cmd = find_command(c, argv[0]);
	if (!cmd) {
		snprintf(reply, size_bytes,
			 "error: %.32s: unknown, expected one of:", argv[0]);
		list_commands(c, reply, size_bytes);
		return;
	}
	if (argc - 1 < cmd->min_args || argc - 1 > cmd->max_args ||
	    cmd->run(c->ctx, argc, argv, reply, size_bytes)) {
		snprintf(reply, size_bytes, "error: expected: %s %s", cmd->name,
			 cmd->usage);
		return;
	}
	if (!reply[0])
		snprintf(reply, size_bytes, "ok");
}

static void control_alloc(uv_handle_t *h, size_t hint, uv_buf_t *buf)
{
	struct control *c = h->data;

	(void)hint;
	*buf = uv_buf_init(c->buf, sizeof(c->buf) - 1);
}

static void control_recv(uv_udp_t *udp, ssize_t n, const uv_buf_t *buf,
			 const struct sockaddr *from, unsigned int flags)
{
	struct control *c = udp->data;
	char reply[CONTROL_LINE_BYTES];
	uv_buf_t out;

	(void)flags;
	if (n <= 0 || !from)
		return;
	buf->base[n] = '\0';
	control_run_line(c, buf->base, reply, sizeof(reply) - 1);
	strcat(reply, "\n");
	out = uv_buf_init(reply, (unsigned int)strlen(reply));
	uv_udp_try_send(udp, &out, 1, from);
}

/**
 * control_open() - receive commands on a UDP port
 * @c: control port with @ctx and @commands set
 * @loop: event loop
 * @addr: address to bind
 * @program: program name for error messages
 *
 * Return: 0, or a negative error of libuv; failure to bind is printed.
 */
int control_open(struct control *c, uv_loop_t *loop, uint64_t addr,
		 const char *program)
{
	int rc = sim_udp_bind(loop, &c->udp, addr, program, "control");

	if (rc)
		return rc;
	c->udp.data = c;
	return uv_udp_recv_start(&c->udp, control_alloc, control_recv);
}
