/*
 * Measures how the cost of cb-entry's data path and of the messages between
 * entries grows with size. Prints lines "NAME SIZE VALUE UNIT". Processor times
 * (us) are wall-clock time of the real decisions and codecs on the machine that
 * runs this program; only the group "socket" makes system calls. Arguments
 * select groups: slopes-entry memory work.
 */
#include "cluster.h"

#include <sodium.h>
#include <stdlib.h>
#include <string.h>

static const struct {
	const char *name;
	void (*run)(void);
} groups[] = {
	{ "memory", measure_memory }, { "config", measure_config },
	{ "work", measure_work },     { "socket", measure_socket },
	{ "feeds", measure_feeds },   { "fleet", measure_fleet },
};

static bool selected(const char *name, int argc, char **argv)
{
	for (int i = 1; i < argc; i++)
		if (!strcmp(argv[i], name))
			return true;
	return argc < 2;
}

int main(int argc, char **argv)
{
	if (sodium_init() < 0)
		return EXIT_FAILURE;
	for (size_t i = 0; i < sizeof(groups) / sizeof(groups[0]); i++)
		if (selected(groups[i].name, argc, argv))
			groups[i].run();
	return EXIT_SUCCESS;
}
