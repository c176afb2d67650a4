/* Common parts of the simulated programs: command lines and control ports. */
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
 * struct sim_args - options of a program
 * @program: program name for messages
 * @about: description for --help, one sentence
 * @table: options in the form of argtable2, with @end last
 * @help: option --help
 * @version: option --version
 * @end: end of @table, which holds the errors found
 */
struct sim_args {
	const char *program;
	const char *about;
	void **table;
	struct arg_lit *help;
	struct arg_lit *version;
	struct arg_end *end;
};

/* Whether the program runs or exits after a valid command line. */
enum sim_args_next { SIM_ARGS_RUN, SIM_ARGS_EXIT };

int sim_args_read(const struct sim_args *a, int argc, char **argv);
int sim_arg_addr(const char *program, const struct arg_str *arg, int i,
		 uint64_t *addr);
int sim_arg_range(const char *program, const struct arg_int *arg,
		  const char *name, int min, int max);
void sim_sockaddr(uint64_t addr, struct sockaddr_in *sin);
uint64_t sim_addr(const struct sockaddr *sa);
int sim_udp_bind(uv_loop_t *loop, uv_udp_t *udp, uint64_t addr,
		 const char *program, const char *purpose);
void sim_timer_arm(uv_timer_t *timer, uv_timer_cb callback,
		   uint64_t deadline_ns, uint64_t now_ns);
void sim_loop_close(uv_loop_t *loop);

/**
 * struct control_command - a command of a control port
 * @name: first word of the line; NULL in the element that ends a list
 * @min_args: least number of arguments
 * @max_args: greatest number of arguments
 * @usage: expected arguments, for error messages
 * @run: runs the command with @ctx of the control port and the arguments
 *	@argv[1] to @argv[argc - 1]; writes the answer to @reply, or leaves it
 *	empty for "ok"; returns 0, or a negative errno value for invalid
 *	arguments
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
 * struct control - a UDP port that receives commands as lines of text
 * @udp: handle of libuv
 * @ctx: passed to the commands
 * @commands: list of commands, ended by an element whose name is NULL
 * @buf: receive buffer, which holds one line
 */
struct control {
	uv_udp_t udp;
	void *ctx;
	const struct control_command *commands;
	char buf[CONTROL_LINE_BYTES];
};

int control_open(struct control *c, uv_loop_t *loop, uint64_t addr,
		 const char *program);
void control_run_line(const struct control *c, char *line, char *reply,
		      size_t size_bytes);
int control_parse_number(const char *word, uint32_t max, uint32_t *out);
int control_parse_percent(const char *word, uint32_t *out);
void control_write_counts(const char *const *names, const uint64_t *counts,
			  uint32_t n, char *reply, size_t size_bytes);

#endif
