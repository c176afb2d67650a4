#include "probe_outcome.h"

#include <uv.h>

/**
 * probe_outcome() - judge an attempt by its end
 * @status: 0, or libuv's error
 *
 * Refused means that nobody listens: the process has ended. Reset means that
 * somebody did, and closed again: a target that holds as many connections as it
 * may. Taken for ended, live targets of a fleet that wakes have their flows reset.
 *
 * Return: what is known of the target; PROBE_INCONCLUSIVE for a shortage of this VM's
 * own.
 */
enum probe_outcome probe_outcome(int status)
{
	switch (status) {
	case 0:
	case UV_ECONNRESET:
		return PROBE_ACCEPTED;
	case UV_ECONNREFUSED:
		return PROBE_REFUSED;
	case UV_ETIMEDOUT:
	case UV_EHOSTUNREACH:
	case UV_ENETUNREACH:
		return PROBE_SILENT;
	default:
		return PROBE_INCONCLUSIVE;
	}
}
