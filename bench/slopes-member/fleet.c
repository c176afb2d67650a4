/*
 * Uses the tests' simulated network, so that the code measured is the code
 * tested.
 */
#include "../../test/fleet.c"
