#include "probe_outcome.h"

#include <uv.h>

/**
 * probe_outcome_from_status() - outcome of a connection attempt to a target
 * @status: 0, or libuv's error of the attempt
 *
 * A refused connection means that no process listens: the target has ended. A
 * reset after the handshake means that a process accepted the connection and
 * closed it, as a target does that has as many connections as it allows.
 * Treating it as ended would reset the flows of live targets during a load
 * spike. An address that the kernel refuses to connect to counts as one that
 * doesn't answer.
 *
 * Return: the outcome; PROBE_INCONCLUSIVE when this VM lacks resources for the
 * attempt.
 */
enum probe_outcome probe_outcome_from_status(int status)
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
	case UV_ENETDOWN:
	case UV_EACCES:
	case UV_EPERM:
	case UV_EINVAL:
		return PROBE_SILENT;
	default:
		return PROBE_INCONCLUSIVE;
	}
}
