/*
 * Interface between cb-packet and the platform that it runs on: the formats of
 * packets, of the service that publishes, and of its documents. platform/
 * implements it.
 */
#ifndef CB_PLATFORM_PORT_H
#define CB_PLATFORM_PORT_H

#include "directory.h"
#include "documents.h"
#include "packet.h"

/* Longest path and query of a request to the platform, with the final NUL: a key
 * of which each byte is escaped as "%XX", and 200 bytes for the rest. */
#define URL_PATH_MAX_BYTES (3 * DOCUMENT_KEY_MAX_BYTES + 200)
/* Largest header of an encapsulated packet, and largest reset. */
#define ENCAPSULATION_MAX_BYTES 16
#define RESET_MAX_BYTES 64

/**
 * struct document_sink - receives the documents of an answer
 * @ctx: first argument of @take
 * @take: called for each document, which is valid only during the call; the
 *	value of a deleted one is NULL
 */
struct document_sink {
	void *ctx;
	void (*take)(void *ctx, const struct document *doc);
};

/**
 * struct answer_head - properties of an answer beside its documents
 * @revision: the answer contains everything up to this revision
 * @more: more pages of the listing follow
 * @last_key: last key of the page; valid when @more
 * @transfer_ns: time from the first byte of the answer to its last
 */
struct answer_head {
	uint64_t revision;
	bool more;
	char last_key[DOCUMENT_KEY_MAX_BYTES + 1];
	uint64_t transfer_ns;
};

/**
 * enum document_kind - kind of a document
 * @DOCUMENT_OTHER: not used by this program
 * @DOCUMENT_ROUTES: a configuration
 * @DOCUMENT_TARGET: the record of a target
 * @DOCUMENT_EVACUATION: a data centre is evacuated as long as the document
 *	exists
 */
enum document_kind {
	DOCUMENT_OTHER,
	DOCUMENT_ROUTES,
	DOCUMENT_TARGET,
	DOCUMENT_EVACUATION,
};

/**
 * struct decoded_document - a decoded document
 * @kind: enum document_kind
 * @routes: configuration, to be freed by the caller; NULL for other kinds
 * @target: target; only @target.id and @target.key_hash are set when the document
 *	was deleted without a value, or refused
 * @data_centre: name of the evacuated data centre
 */
struct decoded_document {
	uint8_t kind;
	struct route_table *routes;
	struct target_advertisement target;
	char data_centre[NAME_MAX_BYTES];
};

/**
 * struct packet_platform - formats of the platform
 * @read_packet: decode a datagram. Return: 0, or -EPROTO when it is malformed.
 * @write_cookie: write a target's cookie into a SYN
 * @write_encapsulation: write the header that precedes a packet on its way to
 *	@target. Return: its size in bytes.
 * @write_reset: write a reset of a flow; @ack is the acknowledgement number
 *	that the client sent last. Return: its size in bytes.
 * @list_path: write the path of a request that lists all documents, from the
 *	first key when @after_key is NULL, otherwise from the one after it.
 *	Without @exact the answer may be seconds old, and costs the platform
 *	less.
 * @watch_path: write the path of a request for the changes after a revision,
 *	which is answered after @wait_ms at the latest
 * @epoch_header: name of the header of all answers that contains the epoch: how
 *	often the platform was restored from an older copy of its store, after
 *	which it assigns revisions a second time
 * @read_epoch: decode that header, "" when an answer has none. Return: 0 or
 *	-EPROTO.
 * @read_list: decode a page of a listing. Return: 0 or a negative error.
 * @read_changes: decode an answer to @watch_path. Return: 0 or a negative
 *	error.
 * @read_document: decode a document. Return: 0; -EPROTO with *@problem set to a
 *	static text; -ENOENT for a target of a service that no configuration
 *	names.
 * @ready_path: path under which the platform asks whether this VM is ready
 */
struct packet_platform {
	int (*read_packet)(const uint8_t *data, uint32_t size_bytes,
			   struct packet *out);
	void (*write_cookie)(uint8_t *data, uint32_t cookie);
	uint32_t (*write_encapsulation)(const struct target *target,
					uint8_t out[ENCAPSULATION_MAX_BYTES]);
	uint32_t (*write_reset)(const struct flow_key *flow, uint32_t ack,
				uint8_t out[RESET_MAX_BYTES]);
	void (*list_path)(const char *after_key, bool exact,
			  char out[URL_PATH_MAX_BYTES]);
	void (*watch_path)(uint64_t after, uint32_t wait_ms,
			   char out[URL_PATH_MAX_BYTES]);
	const char *epoch_header;
	int (*read_epoch)(const char *text, uint64_t *epoch);
	int (*read_list)(const char *body, size_t size_bytes,
			 struct document_sink sink, struct answer_head *head);
	int (*read_changes)(const char *body, size_t size_bytes,
			    struct document_sink sink,
			    struct answer_head *head);
	int (*read_document)(const struct document *doc,
			     struct directory *names,
			     struct decoded_document *out,
			     const char **problem);
	const char *ready_path;
};

#endif
