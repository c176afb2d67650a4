/* Private functions shared by the files node*.c. */
#ifndef CB_NODE_IMPL_H
#define CB_NODE_IMPL_H

#include "node.h"

/* node.c */
void node_advertise(struct node *node, const struct target *dead);
void node_update_ready(struct node *node);
uint32_t node_zone(const struct node *node);
bool node_has_snapshot(const struct node *node);
struct sync_state node_known_positions(const struct node *node);

/* node_published.c */
uint64_t node_configuration_version(const struct node *node);
bool node_document_changed(void *ctx, const struct document *doc);
int node_document_compare(void *ctx, const struct document *doc);

/* node_cold.c */
void node_cold_tick(struct node *node);
void node_cold_evacuation_over(struct node *node, uint32_t zone);

/* node_calls.c */
void node_start_calls(struct node *node);

#endif
