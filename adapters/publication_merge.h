/*
 * A template filled with an account's parameters, as one tree. Each value
 * keeps the document and line that an operator has to mend.
 */
#ifndef CB_PUBLICATION_MERGE_H
#define CB_PUBLICATION_MERGE_H

#include "publication.h"
#include "toml.h"

#define DOCUMENT_BYTES 128

/**
 * struct merged - an account's document, its template filled in
 * @account_document: key of the account's document
 * @template_document: key of its template's document
 * @account: tree of the account's document; NULL when it is no TOML
 * @body: tree of what the account is: @account itself, or its template with
 *	parameters put in and the account's targets added; NULL when missing
 */
struct merged {
	char account_document[DOCUMENT_BYTES];
	char template_document[DOCUMENT_BYTES];
	struct toml_node *account;
	struct toml_node *body;
};

void merge_open(struct merged *r, const char *name, const char *text,
		struct template_source templates, struct mistakes *m);
void merge_close(struct merged *r);
void parameters_fill(struct toml_node *account, struct toml_node *body,
		     struct mistakes *m);

#endif
