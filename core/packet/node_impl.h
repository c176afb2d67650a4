/* Insides of an entry. */
#ifndef CB_NODE_IMPL_H
#define CB_NODE_IMPL_H

#include "node.h"

/* node.c */
void node_tell(struct node *n, const struct target *dead);
void node_judge_ready(struct node *n);
uint32_t node_zone(const struct node *n);
bool node_knows(const struct node *n);
struct sync_state node_knowledge(const struct node *n);

/* node_published.c */
uint64_t node_version(const struct node *n);
bool node_document_changed(void *ctx, const struct document *doc);
int node_document_compare(void *ctx, const struct document *doc);

/* node_cold.c */
void node_cold_tick(struct node *n);
void node_cold_returned(struct node *n, uint32_t zone);

/* node_calls.c */
void node_call(struct node *n);

#endif
