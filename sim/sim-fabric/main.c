/* sim-fabric: simulates a fabric that sends a datagram to any entry. */
#include "fabric.h"

#include <stdio.h>
#include <stdlib.h>

int main(int argc, char **argv)
{
	static struct fabric f;
	int rc = fabric_options_read(&f.opt, argc, argv);

	if (rc == SIM_ARGS_EXIT)
		return EXIT_SUCCESS;
	if (rc)
		return SIM_EXIT_USAGE;
	if (fabric_open(&f))
		return EXIT_FAILURE;
	printf("sim-fabric ready\n");
	fflush(stdout);
	uv_run(&f.loop, UV_RUN_DEFAULT);
	sim_loop_close(&f.loop);
	delay_queue_free(f.delayed);
	return EXIT_SUCCESS;
}
