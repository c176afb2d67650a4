/* What the stand-ins share: command lines and control by text datagrams. */
#ifndef SIM_SIM_H
#define SIM_SIM_H

#include "types.h"

#include <argtable2.h>
#include <uv.h>

#define SIM_VERSION "0.1"
#define SIM_EXIT_USAGE 2
#define CONTROL_LINE_BYTES 1024
#define CONTROL_ARGS_MAX 64

/**
 * struct sim_args - a program's command line
 * @program: name, for messages
 * @about: one sentence for --help
 * @table: argtable2 entries, @end last
 * @help: --help
 * @version: --version
 * @end: end of @table
 */
struct sim_args {
	const char *program;
	const char *about;
	void **table;
	struct arg_lit *help;
	struct arg_lit *version;
	struct arg_end *end;
};

/* What a program does after its command line was read. */
enum sim_args_next { SIM_ARGS_RUN, SIM_ARGS_EXIT };

int sim_args_read(const struct sim_args *a, int argc, char **argv);
int sim_arg_addr(const char *program, const struct arg_str *arg, int i,
		 uint64_t *addr);
int sim_arg_range(const char *program, const struct arg_int *arg,
		  const char *name, int min, int max);
void sim_sockaddr(uint64_t addr, struct sockaddr_in *sin);
uint64_t sim_addr(const struct sockaddr *sa);
int sim_udp_bind(uv_loop_t *loop, uv_udp_t *udp, uint64_t addr,
		 const char *program, const char *step);
void sim_timer_arm(uv_timer_t *timer, uv_timer_cb at, uint64_t deadline_ns,
		   uint64_t now_ns);
void sim_loop_close(uv_loop_t *loop);

/**
 * struct control_command - one line that a control port takes
 * @name: first word
 * @min_args: words after it, at least
 * @max_args: words after it, at most
 * @usage: the words after it, for messages
 * @run: act on words @argv[1..argc); write an answer into @reply, or leave
 *	it empty for "ok". Return 0 or -EINVAL for a bad word.
 */
struct control_command {
	const char *name;
	int min_args;
	int max_args;
	const char *usage;
	int (*run)(void *ctx, int argc, char **argv, char *reply,
		   size_t size_bytes);
};

/**
 * struct control - a UDP port that takes commands as lines of text
 * @ctx: passed to the commands
 * @commands: ended by an entry without a name
 */
struct control {
	uv_udp_t udp;
	void *ctx;
	const struct control_command *commands;
	char buf[CONTROL_LINE_BYTES];
};

int control_open(struct control *c, uv_loop_t *loop, uint64_t addr,
		 const char *program);
void control_do(const struct control *c, char *line, char *reply,
		size_t size_bytes);
int control_number(const char *word, uint32_t max, uint32_t *out);
int control_percent(const char *word, uint32_t *out);
void control_counts(const char *const *names, const uint64_t *counts,
		    uint32_t n, char *reply, size_t size_bytes);

#endif
