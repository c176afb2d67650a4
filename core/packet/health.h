/*
 * Whether a target lives, from the packets of its flows and from connection
 * attempts made when a packet goes unanswered. No periodic health checks: they
 * take a slot of the target each time and say nothing between two of them.
 */
#ifndef CB_HEALTH_H
#define CB_HEALTH_H

#include "path.h"

void health_alive(struct target *t, const struct path_port *port,
		  uint64_t now_ns);
void health_doubt(struct target *t, const struct path_port *port,
		  uint64_t since_ns, uint64_t now_ns);
void health_dead(struct target *t, const struct path_port *port);
void health_probed(struct target *t, const struct path_port *port,
		   enum probe_outcome outcome, uint64_t now_ns);
void health_tick(struct target *t, const struct path_port *port,
		 uint64_t now_ns);

#endif
