/* sim-target: simulates a target: a CoAP server with slots and faults. */
#include "target.h"

#include <stdlib.h>

int main(int argc, char **argv)
{
	static struct target t;
	int rc = target_options_read(&t.opt, argc, argv);

	if (rc == SIM_ARGS_EXIT)
		return EXIT_SUCCESS;
	if (rc)
		return SIM_EXIT_USAGE;
	if (target_open(&t))
		return EXIT_FAILURE;
	printf("sim-target %s %s ready\n", t.opt.service, t.name);
	fflush(stdout);
	uv_run(&t.loop, UV_RUN_DEFAULT);
	target_close(&t);
	return EXIT_SUCCESS;
}
