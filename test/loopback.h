/* A loopback address for each test process. */
#ifndef LOOPBACK_H
#define LOOPBACK_H

#include <stdint.h>

/**
 * loopback_host() - loopback address reserved for this process
 *
 * With a fixed address, two runs on one machine would conflict: one fails to
 * bind, or receives messages for the other. The process id alone does not
 * distinguish them, since two containers may share the network. A UDP socket on
 * LOOPBACK_LOCK_PORT reserves the address until the process ends.
 *
 * Return: address in 127.40.0.0/16 in host byte order, the same at every call;
 * exits with an error message if none is free.
 */
uint32_t loopback_host(void);

#endif
