/*
 * Slopes of the data path and of the entries' control: lines "NAME SIZE VALUE
 * UNIT". Time is this machine's, decisions and codecs are the product's; system
 * calls are left out but for the group "socket". Names select: slopes-entry memory work.
 */
#include "pump.h"

#include <sodium.h>
#include <stdlib.h>
#include <string.h>

static const struct {
	const char *name;
	void (*run)(void);
} groups[] = {
	{ "memory", memory_slopes }, { "config", config_slopes },
	{ "work", work_slopes },     { "socket", socket_slopes },
	{ "feeds", feed_slopes },    { "fleet", fleet_slopes },
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
