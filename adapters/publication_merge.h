/*
 * Expands the template of an account into one tree. Each value keeps the
 * document and line in which an operator has to correct it.
 */
#ifndef CB_PUBLICATION_MERGE_H
#define CB_PUBLICATION_MERGE_H

#include "publication.h"
#include "toml.h"

#define DOCUMENT_BYTES 128

/**
 * struct merged_account - parsed account with its template expanded
 * @account_document: key of the account's document
 * @template_document: key of the template's document, or ""
 * @account: tree of the account's document; NULL when it is not TOML
 * @body: tree of the services: @account itself, or the template with parameters
 *	substituted and the account's targets added; NULL when there is none
 */
struct merged_account {
	char account_document[DOCUMENT_BYTES];
	char template_document[DOCUMENT_BYTES];
	struct toml_node *account;
	struct toml_node *body;
};

void merge_open(struct merged_account *merged, const char *name,
		const char *text, struct template_source templates,
		struct mistakes *mistakes);
void merge_close(struct merged_account *merged);
void parameters_substitute(struct toml_node *account, struct toml_node *body,
			   struct mistakes *mistakes);

#endif
