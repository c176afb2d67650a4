/* sim-platform: simulates the configuration service, read over HTTP/1.1. */
#include "platform.h"

#include <stdio.h>
#include <stdlib.h>

int main(int argc, char **argv)
{
	static struct platform p;
	int rc = sim_platform_options_read(&p.opt, argc, argv);

	if (rc == SIM_ARGS_EXIT)
		return EXIT_SUCCESS;
	if (rc)
		return SIM_EXIT_USAGE;
	if (sim_platform_open(&p))
		return EXIT_FAILURE;
	printf("sim-platform revision %llu ready\n",
	       (unsigned long long)key_store_revision(p.store));
	fflush(stdout);
	uv_run(&p.loop, UV_RUN_DEFAULT);
	sim_platform_close(&p);
	return EXIT_SUCCESS;
}
