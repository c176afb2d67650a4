/* render: one account with its template filled in. */
#include "cbctl.h"

#include "publication_names.h"
#include "settings.h"

#include <stdio.h>

static void address_json(GString *to, const char *key, uint64_t addr)
{
	char text[32];

	json_string(to, key, addr_text(addr, text, sizeof(text)));
}

static void target_json(GString *to, const struct target_conf *t)
{
	json_open(to, NULL, '{');
	address_json(to, "address", t->addr);
	json_string(to, "state", target_state_names[t->state]);
	json_number(to, "weight", t->weight);
	json_number(to, "slots", t->slots);
	json_number(to, "connections", t->connections);
	json_close(to, '}');
}

static void service_json(GString *to, const struct service_conf *s)
{
	json_open(to, NULL, '{');
	json_string(to, "name", s->name);
	address_json(to, "vip", s->vip);
	json_string(to, "protocol", service_protocol_names[s->protocol]);
	json_string(to, "class", service_class_names[s->class]);
	json_bool(to, "post_idempotent", s->post_idempotent);
	json_bool(to, "target_dedups", s->target_dedups);
	json_number(to, "request_timeout_ms",
		    s->request_timeout_ns / NS_PER_MS);
	json_number(to, "queue_max", s->queue_max);
	json_open(to, "targets", '[');
	for (uint32_t i = 0; i < s->n_targets; i++)
		target_json(to, &s->targets[i]);
	json_close(to, ']');
	json_close(to, '}');
}

static void account_json(GString *to, const struct account_conf *a)
{
	json_open(to, NULL, '{');
	json_string(to, "account", a->name);
	json_number(to, "generation", a->generation);
	json_number(to, "weight", a->weight);
	json_open(to, "services", '[');
	for (uint32_t i = 0; i < a->n_services; i++)
		service_json(to, &a->services[i]);
	json_close(to, ']');
	json_close(to, '}');
}

static bool print_account(struct documents *d, const char *name,
			  const char *text, struct mistakes *m)
{
	struct account_conf *a =
		publication_render(name, text, documents_templates(d), NULL, m);
	GString *json;

	if (!a)
		return false;
	json = g_string_new(NULL);
	account_json(json, a);
	print_json(json);
	account_free(a);
	return true;
}

static bool print_text(struct documents *d, const char *name, const char *text,
		       struct mistakes *m)
{
	char *out = publication_expand(name, text, documents_templates(d), m);

	if (!out)
		return false;
	fputs(out, stdout);
	g_free(out);
	return true;
}

static enum exit_code render(const struct request *r, struct documents *d)
{
	const char *name = r->operands[1];
	const char *text = documents_find(d, "account", name);
	struct mistakes m = { 0 };
	bool ok;

	if (!text) {
		complain("render", r->operands[0], "no account %s", name);
		return EXIT_USAGE;
	}
	ok = r->json ? print_account(d, name, text, &m)
		     : print_text(d, name, text, &m);
	mistakes_print(&m, stderr);
	mistakes_free(&m);
	return ok ? EXIT_OK : EXIT_PROBLEMS;
}

enum exit_code render_run(const struct request *r)
{
	struct documents d;
	enum exit_code code = documents_load(r->operands[0], &d);

	if (code == EXIT_OK)
		code = render(r, &d);
	documents_free(&d);
	return code;
}
