/* Command line of the daemons. */
#ifndef CB_DAEMON_ARGS_H
#define CB_DAEMON_ARGS_H

#include <stdbool.h>

/* Exit codes: success, fault at run time, wrong usage or settings. */
enum daemon_exit { DAEMON_OK, DAEMON_FAULT, DAEMON_USAGE };

/**
 * struct daemon_info - description and entry point of a daemon
 * @name: name of the program
 * @version: version, printed by --version
 * @purpose: one sentence, printed by --help
 * @run: runs the daemon with a settings file, or only checks the file when
 *	check_only is set; returns an enum daemon_exit
 */
struct daemon_info {
	const char *name;
	const char *version;
	const char *purpose;
	int (*run)(const char *settings_path, bool check_only);
};

int daemon_main(const struct daemon_info *info, int argc, char **argv);

#endif
