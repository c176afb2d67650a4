/* render: prints one account with its template filled in. */
#include "cbctl.h"

#include "publication_words.h"
#include "settings.h"

#include <stdio.h>

static void json_address(GString *json, const char *key, uint64_t addr)
{
	char text[32];

	json_string(json, key, addr_text(addr, text, sizeof(text)));
}

static void json_target(GString *json, const struct target_conf *target)
{
	json_open(json, NULL, '{');
	json_address(json, "address", target->addr);
	json_string(json, "state", state_words[target->state]);
	json_number(json, "weight", target->weight);
	json_number(json, "slots", target->slots);
	json_number(json, "connections", target->connections);
	json_close(json, '}');
}

static void json_service(GString *json, const struct service_conf *service)
{
	json_open(json, NULL, '{');
	json_string(json, "name", service->name);
	json_address(json, "vip", service->vip);
	json_string(json, "protocol", protocol_words[service->protocol]);
	json_string(json, "class", class_words[service->class]);
	json_bool(json, "post_idempotent", service->post_idempotent);
	json_bool(json, "target_dedups", service->target_dedups);
	json_number(json, "request_timeout_ms",
		    service->request_timeout_ns / NS_PER_MS);
	json_number(json, "queue_max", service->queue_max);
	json_open(json, "targets", '[');
	for (uint32_t i = 0; i < service->n_targets; i++)
		json_target(json, &service->targets[i]);
	json_close(json, ']');
	json_close(json, '}');
}

static void json_account(GString *json, const struct account_conf *account)
{
	json_open(json, NULL, '{');
	json_string(json, "account", account->name);
	json_number(json, "generation", account->generation);
	json_number(json, "weight", account->weight);
	json_open(json, "services", '[');
	for (uint32_t i = 0; i < account->n_services; i++)
		json_service(json, &account->services[i]);
	json_close(json, ']');
	json_close(json, '}');
}

static bool print_account_json(struct documents *documents, const char *name,
			       const char *text, struct mistakes *mistakes)
{
	struct account_conf *account = publication_render(
		name, text, documents_templates(documents), NULL, mistakes);
	GString *json;

	if (!account)
		return false;
	json = g_string_new(NULL);
	json_account(json, account);
	json_print_and_free(json);
	account_free(account);
	return true;
}

static bool print_account_text(struct documents *documents, const char *name,
			       const char *text, struct mistakes *mistakes)
{
	char *out = publication_text(name, text, documents_templates(documents),
				     mistakes);

	if (!out)
		return false;
	fputs(out, stdout);
	g_free(out);
	return true;
}

static enum exit_code render(const struct command_args *args,
			     struct documents *documents)
{
	const char *name = args->operands[1];
	const char *text = documents_find(documents, "account", name);
	struct mistakes mistakes = { 0 };
	bool is_valid;

	if (!text) {
		report_error("render", args->operands[0], "no account %s",
			     name);
		return EXIT_USAGE;
	}
	is_valid =
		args->json
			? print_account_json(documents, name, text, &mistakes)
			: print_account_text(documents, name, text, &mistakes);
	mistakes_print(&mistakes, stderr);
	mistakes_free(&mistakes);
	return is_valid ? EXIT_OK : EXIT_PROBLEMS;
}

enum exit_code render_run(const struct command_args *args)
{
	struct documents documents;
	enum exit_code code = documents_load(args->operands[0], &documents);

	if (code == EXIT_OK)
		code = render(args, &documents);
	documents_free(&documents);
	return code;
}
