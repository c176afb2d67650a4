/*
 * Publications are rendered completely or refused; each mistake is reported
 * with its document and line.
 */
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <setjmp.h>
#include <cmocka.h>

#include "publication.h"
#include "settings.h"
#include "vips.h"

#include <glib.h>
#include <string.h>

#define TEMPLATE                              \
	"weight = \"${share}\"\n"             \
	"[parameters]\n"                      \
	"vip = \"address\"\n"                 \
	"share = \"integer\"\n"               \
	"net = \"string\"\n"                  \
	"[[service]]\n"                       \
	"name = \"live\"\n"                   \
	"vip = \"${vip}\"\n"                  \
	"class = \"feed\"\n"                  \
	"[[service.target]]\n"                \
	"address = \"127.2.${net}.1:5683\"\n" \
	"data_centre = \"garda\"\n"
#define FILLED                        \
	"generation = 7\n"            \
	"template = \"t\"\n"          \
	"[parameters]\n"              \
	"vip = \"127.1.0.10:5683\"\n" \
	"share = 10\n"                \
	"net = \"0\"\n"
#define OWN_TARGET                       \
	"[[target]]\n"                   \
	"service = \"live\"\n"           \
	"address = \"127.2.0.2:5683\"\n" \
	"data_centre = \"como\"\n"       \
	"state = \"draining\"\n"

static const char *find(void *ctx, const char *name)
{
	return strcmp(name, "t") ? NULL : ctx;
}

static struct account_conf *render(const char *template, const char *text,
				   const char *data_centre, struct mistakes *m)
{
	struct template_source source = { (void *)(uintptr_t) template, find };

	return publication_render("club", text, source, data_centre, m);
}

static struct account_conf *render_valid(const char *text)
{
	struct mistakes m = { 0 };
	struct account_conf *a = render(TEMPLATE, text, NULL, &m);

	if (!a)
		mistakes_print(&m, stderr);
	assert_non_null(a);
	mistakes_free(&m);
	return a;
}

static void parameters_are_substituted_in_template(void **unused)
{
	struct account_conf *a = render_valid(FILLED OWN_TARGET);
	const struct service_conf *s = &a->services[0];

	(void)unused;
	assert_string_equal(a->name, "club");
	assert_int_equal(a->generation, 7);
	assert_int_equal(a->weight, 10);
	assert_int_equal(a->n_services, 1);
	assert_int_equal(s->vip, ADDR(0x7f01000a, 5683));
	assert_int_equal(s->class, CLASS_FEED);
	assert_int_equal(s->protocol, SERVICE_COAP);
	assert_int_equal(s->request_timeout_ns, 5000 * NS_PER_MS);
	assert_false(s->post_idempotent);
	assert_int_equal(s->n_targets, 2);
	assert_int_equal(s->targets[0].addr, ADDR(0x7f020001, 5683));
	assert_int_equal(s->targets[1].state, TARGET_DRAINING);
	account_free(a);
}

static void only_targets_of_data_centre_are_kept(void **unused)
{
	struct mistakes m = { 0 };
	struct account_conf *a =
		render(TEMPLATE, FILLED OWN_TARGET, "como", &m);

	(void)unused;
	assert_int_equal(a->services[0].n_targets, 1);
	assert_int_equal(a->services[0].targets[0].addr,
			 ADDR(0x7f020002, 5683));
	account_free(a);
	mistakes_free(&m);
}

static void expanded_document_renders_to_same_account(void **unused)
{
	struct mistakes m = { 0 };
	struct template_source source = { (void *)(uintptr_t)TEMPLATE, find };
	char *text = publication_expand("club", FILLED OWN_TARGET, source, &m);
	struct account_conf *a = render_valid(FILLED OWN_TARGET);
	struct account_conf *b = render(NULL, text, NULL, &m);

	(void)unused;
	assert_int_equal(m.n, 0);
	assert_non_null(b);
	assert_int_equal(publication_diff(a, b, (struct change_handler){ 0 }),
			 0);
	account_free(a);
	account_free(b);
	g_free(text);
}

struct invalid {
	const char *template;
	const char *text;
	const char *document;
	uint32_t line;
	const char *key;
	const char *problem;
};

#define ALONE              \
	"generation = 1\n" \
	"[[service]]\n"    \
	"name = \"a\"\n"   \
	"vip = \"127.1.0.1:1\"\n"
#define WITH(line) ALONE line "\n"

static const struct invalid invalid_cases[] = {
	{ TEMPLATE, "generation = 7\ntemplate = \"u\"\n", "account/club", 2,
	  "template", "no such template" },
	{ TEMPLATE,
	  "generation = 7\ntemplate = \"t\"\n[parameters]\nshare = 1\n"
	  "net = \"0\"\n",
	  "account/club", 3, "parameters.vip", "missing" },
	{ TEMPLATE, FILLED "colour = \"red\"\n", "account/club", 7,
	  "parameters.colour", "unknown parameter" },
	{ TEMPLATE,
	  "generation = 7\ntemplate = \"t\"\n[parameters]\nvip = 3\n"
	  "share = 1\nnet = \"0\"\n",
	  "account/club", 4, "parameters.vip", "an integer" },
	{ TEMPLATE,
	  "generation = 7\ntemplate = \"t\"\n[parameters]\n"
	  "vip = \"127.1.0.10:5683\"\nshare = 1001\nnet = \"0\"\n",
	  "account/club", 5, "weight", "1001 is out of range" },
	{ TEMPLATE, "weight = 3\n" FILLED, "account/club", 1, "weight",
	  "unknown key" },
	{ "x = \"${nope}\"\n", "generation = 1\ntemplate = \"t\"\n",
	  "template/t", 1, "x", "${nope} is not declared" },
	{ "[parameters]\na = \"float\"\n",
	  "generation = 1\ntemplate = \"t\"\n[parameters]\na = 1\n",
	  "template/t", 2, "parameters.a", "unknown kind" },
	{ "generation = 4\n", "generation = 1\ntemplate = \"t\"\n",
	  "template/t", 1, "generation", "unknown key" },
	{ "weight = = 1\n", "generation = 1\ntemplate = \"t\"\n", "template/t",
	  1, "", "" },
	{ TEMPLATE, "template = \"t\"\n", "account/club", 1, "generation",
	  "missing" },
	{ NULL, "generation = 0\n", "account/club", 1, "generation",
	  "out of range" },
	{ NULL, "generation = 99999999999999999999\n", "account/club", 1,
	  "generation", "out of range" },
	{ NULL, "generation = 1\n[[service]]\nname = \"a\"\n", "account/club",
	  2, "service.vip", "missing" },
	{ NULL, WITH("queue_max = -1"), "account/club", 5, "service.queue_max",
	  "out of range" },
	{ NULL, WITH("class = \"fast\""), "account/club", 5, "service.class",
	  "fast" },
	{ NULL, WITH("post_idempotent = 1"), "account/club", 5,
	  "service.post_idempotent", "an integer" },
	{ NULL, WITH("hue = 1"), "account/club", 5, "service.hue",
	  "unknown key" },
	{ NULL, WITH("[[service]]\nname = \"b\"\nvip = \"127.1.0.1:1\""),
	  "account/club", 7, "service.vip", "used twice, before by a service" },
	{ NULL, WITH("[[service]]\nname = \"a\"\nvip = \"127.1.0.1:2\""),
	  "account/club", 6, "service.name", "used twice" },
	{ NULL,
	  WITH("[[service.target]]\naddress = \"127.2.0.1:1\"\n"
	       "data_centre = \"d\"\n[[service.target]]\n"
	       "address = \"127.2.0.1:1\"\ndata_centre = \"e\""),
	  "account/club", 9, "target.address", "used twice" },
	{ NULL,
	  WITH("[[service.target]]\naddress = \"127.1.0.1:1\"\n"
	       "data_centre = \"d\""),
	  "account/club", 6, "target.address", "before by a service" },
	{ NULL,
	  WITH("[[target]]\nservice = \"b\"\naddress = \"127.2.0.1:1\"\n"
	       "data_centre = \"d\""),
	  "account/club", 6, "target.service", "unknown service" },
	{ NULL, WITH("[[target]]\naddress = \"127.2.0.1:1\""), "account/club",
	  5, "target.service", "missing" },
	{ NULL, WITH("target = 3"), "account/club", 5, "service.target",
	  "an integer" },
	{ NULL,
	  WITH("target = 3\n[[target]]\nservice = \"a\"\n"
	       "address = \"127.2.0.1:1\"\ndata_centre = \"d\""),
	  "account/club", 5, "service.target", "an integer" },
	{ NULL, "generation = 1\nservice = \"a\"\n", "account/club", 2,
	  "service", "a string" },
};

static bool is_reported(const struct mistakes *m, const struct invalid *b)
{
	for (uint32_t i = 0; i < m->n; i++)
		if (!m->list[i].is_warning &&
		    !strcmp(m->list[i].document, b->document) &&
		    m->list[i].line == b->line &&
		    !strcmp(m->list[i].key, b->key) &&
		    strstr(m->list[i].problem, b->problem) &&
		    m->list[i].expected[0])
			return true;
	return false;
}

/*
 * A publication has one invalid value. If only that value were skipped, a part
 * of the publication would be in force.
 */
static void publication_with_a_mistake_is_refused_completely(void **unused)
{
	(void)unused;
	for (size_t i = 0; i < sizeof(invalid_cases) / sizeof(invalid_cases[0]);
	     i++) {
		struct mistakes m = { 0 };

		assert_null(render(invalid_cases[i].template,
				   invalid_cases[i].text, NULL, &m));
		if (!is_reported(&m, &invalid_cases[i])) {
			mistakes_print(&m, stderr);
			fail_msg("case %zu is not reported: %s:%u %s: %s", i,
				 invalid_cases[i].document,
				 invalid_cases[i].line, invalid_cases[i].key,
				 invalid_cases[i].problem);
		}
		mistakes_free(&m);
	}
}

static bool has_warning(const struct mistakes *m, const char *key,
			const char *text)
{
	for (uint32_t i = 0; i < m->n; i++)
		if (m->list[i].is_warning && !strcmp(m->list[i].key, key) &&
		    strstr(m->list[i].problem, text))
			return true;
	return false;
}

#define BOTH                                                 \
	"[[service]]\nname = \"a\"\nvip = \"127.1.0.1:1\"\n" \
	"[[service.target]]\naddress = \"127.2.0.1:1\"\n"    \
	"data_centre = \"d\"\n"                              \
	"[[service.target]]\naddress = \"127.2.0.2:1\"\n"    \
	"data_centre = \"d\"\n"
#define FIRST                                                \
	"[[service]]\nname = \"a\"\nvip = \"127.1.0.1:1\"\n" \
	"[[service.target]]\naddress = \"127.2.0.1:1\"\n"    \
	"data_centre = \"d\"\n"

static void compare(const char *old, const char *new, struct mistakes *m)
{
	struct account_conf *a = render_valid(old);
	struct account_conf *b = render_valid(new);

	publication_compare(a, b, m);
	account_free(a);
	account_free(b);
}

/*
 * A target is removed from the publication while it still has feeds, which
 * would break without a warning to the operator.
 */
static void removal_of_undrained_target_is_warned(void **unused)
{
	struct mistakes m = { 0 };

	(void)unused;
	compare("generation = 1\n" BOTH, "generation = 2\n" FIRST, &m);
	assert_int_equal(m.n_errors, 0);
	assert_true(has_warning(&m, "a.127.2.0.2:1", "undrained"));
	assert_true(
		has_warning(&m, "a.connections", "offer 2000, before 4000"));
	mistakes_free(&m);
	compare("generation = 1\n" BOTH "state = \"draining\"\n",
		"generation = 2\n" FIRST, &m);
	assert_int_equal(m.n, 0);
	mistakes_free(&m);
}

static void change_of_vip_or_protocol_is_warned(void **unused)
{
	struct mistakes m = { 0 };

	(void)unused;
	compare("generation = 1\n" FIRST,
		"generation = 2\n[[service]]\nname = \"a\"\n"
		"vip = \"127.1.0.9:1\"\nprotocol = \"udp\"\n",
		&m);
	assert_true(has_warning(&m, "a.vip", "orphaned"));
	assert_true(has_warning(&m, "a.protocol", "another protocol"));
	assert_true(has_warning(&m, "a", "no target is up"));
	mistakes_free(&m);
	compare("generation = 1\n" FIRST, "generation = 2\n", &m);
	assert_true(has_warning(&m, "a", "orphaned"));
	mistakes_free(&m);
}

/*
 * An account is changed without a higher generation. VMs keep the version with
 * the highest generation, so the change would have no effect.
 */
static void change_without_higher_generation_is_refused(void **unused)
{
	struct mistakes m = { 0 };

	(void)unused;
	compare("generation = 3\n" FIRST, "generation = 3\n" FIRST, &m);
	assert_int_equal(m.n, 0);
	compare("generation = 3\n" FIRST, "generation = 30000000\n" FIRST, &m);
	assert_true(has_warning(&m, "generation", "jumps from 3"));
	mistakes_free(&m);
	compare("generation = 3\n" FIRST, "generation = 3\n" BOTH, &m);
	assert_int_equal(m.n_errors, 1);
	mistakes_free(&m);
}

static void check_against_other_account(const char *other, uint32_t n_errors)
{
	struct template_source source = { (void *)(uintptr_t)TEMPLATE, find };
	struct mistakes m = { 0 };
	struct account_conf *a = render_valid("generation = 1\n" FIRST);
	struct account_conf *b = render_valid(other);
	struct vips *v = vips_new();

	vips_set(v, "club", a);
	vips_check(v, "other", other, source, &m);
	assert_int_equal(m.n_errors, n_errors);
	for (uint32_t i = 0; i < m.n; i++)
		assert_true(m.list[i].line > 0);
	mistakes_free(&m);
	vips_free(v);
	account_free(a);
	account_free(b);
}

/*
 * Two accounts publish the same VIP, or one a VIP that is a target of the
 * other. Each account is valid by itself, but requests would reach the service
 * of the wrong account.
 */
static void endpoint_conflicts_between_accounts_are_refused(void **unused)
{
	(void)unused;
	check_against_other_account(
		"generation = 1\n[[service]]\nname = \"x\"\n"
		"vip = \"127.1.0.1:1\"\n",
		1);
	check_against_other_account(
		"generation = 1\n[[service]]\nname = \"x\"\n"
		"vip = \"127.2.0.1:1\"\n",
		1);
	check_against_other_account(
		"generation = 1\n[[service]]\nname = \"x\"\n"
		"vip = \"127.1.0.1:2\"\n",
		0);
	check_against_other_account(
		"generation = 1\n[[service]]\nname = \"x\"\n"
		"vip = \"127.1.0.1:2\"\n"
		"[[service.target]]\naddress = \"127.1.0.1:1\"\n"
		"data_centre = \"garda\"\n",
		1);
}

static const char *find_example(void *ctx, const char *name)
{
	(void)name;
	return ctx;
}

static void check_example(const char *dir, const char *template,
			  const char *account, uint32_t live, uint32_t ingest)
{
	char *t = NULL;
	char *a = NULL;
	char *path = g_strdup_printf("examples/%s/template/%s", dir, template);
	struct mistakes m = { 0 };
	struct account_conf *conf;

	assert_true(g_file_get_contents(path, &t, NULL, NULL));
	g_free(path);
	path = g_strdup_printf("examples/%s/account/%s", dir, account);
	assert_true(g_file_get_contents(path, &a, NULL, NULL));
	g_free(path);
	conf = publication_render(account, a,
				  (struct template_source){ t, find_example },
				  NULL, &m);
	assert_int_equal(m.n, 0);
	assert_int_equal(conf->services[0].n_targets, live);
	assert_int_equal(conf->services[1].n_targets, ingest);
	account_free(conf);
	g_free(t);
	g_free(a);
}

static void examples_are_rendered(void **unused)
{
	(void)unused;
	check_example("demo", "sailing", "ventolario", 6, 3);
	check_example("ventolario", "sailing", "ventolario", 15, 4);
	check_example("tshwane", "pipewatch", "tshwane-metro-gas", 15, 4);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(parameters_are_substituted_in_template),
		cmocka_unit_test(only_targets_of_data_centre_are_kept),
		cmocka_unit_test(expanded_document_renders_to_same_account),
		cmocka_unit_test(
			publication_with_a_mistake_is_refused_completely),
		cmocka_unit_test(removal_of_undrained_target_is_warned),
		cmocka_unit_test(change_of_vip_or_protocol_is_warned),
		cmocka_unit_test(change_without_higher_generation_is_refused),
		cmocka_unit_test(
			endpoint_conflicts_between_accounts_are_refused),
		cmocka_unit_test(examples_are_rendered),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
