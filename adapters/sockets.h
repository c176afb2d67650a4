/*
 * The system's socket header. Two of its names stand in core/entry.h too, for
 * something else; including both fails to compile. Here the system's are
 * renamed, so this header goes before any other that draws in sockets.
 */
#ifndef CB_SOCKETS_H
#define CB_SOCKETS_H

#define MSG_CONFIRM SOCKET_MSG_CONFIRM
#define MSG_MORE SOCKET_MSG_MORE
#include <sys/socket.h>
#undef MSG_CONFIRM
#undef MSG_MORE

#endif
