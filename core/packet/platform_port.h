/*
 * What cb-packet needs of the platform it runs on: the form of packets, of the
 * service that publishes, and of what is published. platform/ fills it in.
 */
#ifndef CB_PLATFORM_PORT_H
#define CB_PLATFORM_PORT_H

#include "directory.h"
#include "documents.h"
#include "packet.h"

#define PATH_MAX_BYTES 512
/* Bytes in front of a packet on its way to a target, and a reset's size. */
#define ENVELOPE_MAX_BYTES 16
#define RESET_MAX_BYTES 64

/**
 * struct facts_port - takes the documents of an answer
 * @ctx: passed back
 * @fact: one document; a deleted one has no value
 */
struct facts_port {
	void *ctx;
	void (*fact)(void *ctx, const struct document *d);
};

/**
 * struct answer_head - what an answer says beside its documents
 * @revision: everything up to it was covered when the answer was made
 * @more: the listing goes on after @last_key
 * @last_key: last key of a page
 * @came_ns: time that it took from its first byte to its last
 */
struct answer_head {
	uint64_t revision;
	bool more;
	char last_key[DOCUMENT_KEY_MAX_BYTES + 1];
	uint64_t came_ns;
};

/**
 * enum document_kind - what a document is about
 * @DOCUMENT_OTHER: nothing that this program uses
 * @DOCUMENT_ROUTES: a configuration
 * @DOCUMENT_TARGET: a target's entry
 * @DOCUMENT_EVACUATION: a data centre is evacuated while it stands
 */
enum document_kind {
	DOCUMENT_OTHER,
	DOCUMENT_ROUTES,
	DOCUMENT_TARGET,
	DOCUMENT_EVACUATION,
};

/**
 * struct document_news - a decoded document
 * @kind: enum document_kind
 * @routes: the configuration, owned by the caller, or NULL
 * @target: the target; only @target.id and @target.key_hash when the document was
 *	deleted without a value, or refused
 * @data_centre: name of the one that is evacuated
 */
struct document_news {
	uint8_t kind;
	struct route_table *routes;
	struct target_advertisement target;
	char data_centre[NAME_MAX_BYTES];
};

/**
 * struct packet_platform - the platform's forms
 * @read_packet: decode a datagram; 0 or -EPROTO
 * @pin: write a target's cookie into a SYN
 * @envelope: what stands in front of a packet to @t; its size in bytes
 * @write_reset: a reset of a flow, its @ack as the client sent it last; size
 * @list_path: path that lists everything, after a key or from the start; not
 *	@exact, the answer may be seconds old and costs the platform less
 * @watch_path: path that waits for changes after a revision
 * @epoch_header: header of all its answers that tells how often it has come back
 *	from an older copy of itself, with revisions that it gives out again
 * @read_epoch: decode that header, "" when an answer has none; 0 or -EPROTO
 * @read_list: decode a page; 0 or a negative error
 * @read_changes: decode an answer to @watch_path; 0 or a negative error
 * @read_document: decode a document; 0, -EPROTO with *@problem set, or -ENOENT
 *	for a target of a service that no configuration names
 * @ready_path: path on which the platform asks whether this VM is ready
 */
struct packet_platform {
	int (*read_packet)(const uint8_t *data, uint32_t size_bytes,
			   struct packet *out);
	void (*pin)(uint8_t *data, uint32_t cookie);
	uint32_t (*envelope)(const struct target *t,
			     uint8_t out[ENVELOPE_MAX_BYTES]);
	uint32_t (*write_reset)(const struct flow_key *flow, uint32_t ack,
				uint8_t out[RESET_MAX_BYTES]);
	void (*list_path)(const char *after_key, bool exact,
			  char out[PATH_MAX_BYTES]);
	void (*watch_path)(uint64_t after, uint32_t wait_ms,
			   char out[PATH_MAX_BYTES]);
	const char *epoch_header;
	int (*read_epoch)(const char *text, uint64_t *epoch);
	int (*read_list)(const char *body, size_t size_bytes,
			 struct facts_port to, struct answer_head *head);
	int (*read_changes)(const char *body, size_t size_bytes,
			    struct facts_port to, struct answer_head *head);
	int (*read_document)(const struct document *d, struct directory *names,
			     struct document_news *out, const char **problem);
	const char *ready_path;
};

#endif
