/* Loopback addresses of one test process's own. */
#ifndef LOOPBACK_H
#define LOOPBACK_H

#include <stdint.h>

/**
 * loopback_host() - an address below 127.0.0.0/8 that this process holds
 *
 * Two runs on one machine would meet on a fixed address: one then fails to
 * bind, or is told what was meant for the other. The process id alone does
 * not tell them apart, as two containers may share the network. A UDP socket
 * on LOOPBACK_LOCK_PORT holds the address until the process ends.
 *
 * Return: the same address at every call, in host order; the process ends
 * with a message when none is free.
 */
uint32_t loopback_host(void);

#endif
