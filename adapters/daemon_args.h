/* The command line that all daemons share. */
#ifndef CB_DAEMON_ARGS_H
#define CB_DAEMON_ARGS_H

#include <stdbool.h>

enum daemon_exit { DAEMON_OK, DAEMON_FAULT, DAEMON_USAGE };

/**
 * struct daemon_info - what a daemon says of itself
 * @name: its name
 * @version: its version
 * @purpose: one sentence for --help
 * @run: does the work, or only checks the settings; returns an exit code
 */
struct daemon_info {
	const char *name;
	const char *version;
	const char *purpose;
	int (*run)(const char *settings_path, bool check);
};

int daemon_main(const struct daemon_info *about, int argc, char **argv);

#endif
