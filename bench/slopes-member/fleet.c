/* The tests' fake network, so that both measure and prove the same thing. */
#include "../../test/fleet.c"
