#include "source_outcome.h"

#include <errno.h>

#define HTTP_OK 200
#define HTTP_GONE 410

/**
 * source_outcome_from_reply() - outcome of a call to the platform
 * @reply: result of the call
 * @step: SOURCE_LIST or SOURCE_WATCH
 *
 * An answer to a watch that is cut off counts as unreadable, since the next one
 * would be at least as long. A page of a listing is of limited size, so that
 * asking for it again helps.
 *
 * Return: the outcome; SOURCE_OK when there is a body, which the caller has yet
 * to decode.
 */
enum source_outcome source_outcome_from_reply(const struct http_reply *reply,
					      enum source_step step)
{
	switch (reply->err) {
	case 0:
		break;
	case -EBUSY:
		return SOURCE_DEFERRED;
	case -EMSGSIZE:
	case -EPROTO:
		return SOURCE_UNREADABLE;
	default:
		return reply->begun && step == SOURCE_WATCH ? SOURCE_UNREADABLE
							    : SOURCE_FAILED;
	}
	if (reply->status == HTTP_GONE)
		return SOURCE_GONE;
	return reply->status == HTTP_OK ? SOURCE_OK : SOURCE_FAILED;
}
