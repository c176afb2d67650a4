/* A VIP belongs to one client account, whichever order accounts come in. */
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <setjmp.h>
#include <cmocka.h>

#include "vips.h"

#include <stdio.h>
#include <string.h>

#define VIP ADDR(0x7f01000a, 5683)
#define TEXT                             \
	"generation = 1\n"               \
	"[[service]]\n"                  \
	"name = \"live\"\n"              \
	"vip = \"127.1.0.10:5683\"\n"    \
	"class = \"feed\"\n"             \
	"[[service.target]]\n"           \
	"address = \"127.2.0.1:5683\"\n" \
	"data_centre = \"garda\"\n"

static const struct template_source no_templates;

static void put(struct vips *v, const char *name, uint64_t vip)
{
	struct service_conf s = { .vip = vip };
	struct account_conf a = { .services = &s, .n_services = 1 };

	vips_put(v, name, &a);
}

static uint32_t mistakes_of(const struct vips *v, const char *name)
{
	struct mistakes m = { 0 };
	uint32_t n;

	vips_check(v, name, TEXT, no_templates, &m);
	n = m.n_errors;
	mistakes_free(&m);
	return n;
}

/*
 * Symptom: callers of one client account get answers of another's targets.
 * Sequence: ventolario serves a VIP; a second account is published that names
 * the same VIP by mistake, and sorts before it.
 * Cause: accounts were checked one by one, so both came in force.
 */
static void vip_in_force_is_refused_to_another(void **unused)
{
	struct vips *v = vips_new();
	struct mistakes m = { 0 };

	(void)unused;
	put(v, "ventolario", VIP);
	vips_check(v, "tshwane", TEXT, no_templates, &m);
	assert_int_equal(m.n_errors, 1);
	assert_string_equal(m.list[0].document, "account/tshwane");
	assert_int_equal(m.list[0].line, 4);
	assert_string_equal(m.list[0].key, "service.vip");
	assert_non_null(strstr(m.list[0].problem, "account ventolario"));
	mistakes_free(&m);
	assert_int_equal(mistakes_of(v, "ventolario"), 0);
	put(v, "ventolario", VIP + 1);
	assert_int_equal(mistakes_of(v, "tshwane"), 0);
	put(v, "ventolario", VIP);
	vips_put(v, "ventolario", NULL);
	assert_int_equal(mistakes_of(v, "tshwane"), 0);
	vips_free(v);
}

/*
 * Symptom: an account's harmless changes are refused, on some VMs only.
 * Sequence: two readers accept one account each before they hear of the other,
 * so that both are in force, in another order at each VM.
 * Cause: the VIP given to whichever came last.
 */
static void first_by_name_holds_it_in_any_order(void **unused)
{
	static const char *const order[][2] = { { "tshwane", "ventolario" },
						{ "ventolario", "tshwane" } };

	(void)unused;
	for (size_t i = 0; i < 2; i++) {
		struct vips *v = vips_new();

		put(v, order[i][0], VIP);
		put(v, order[i][1], VIP);
		assert_int_equal(vips_doubled(v), 1);
		assert_string_equal(vips_holder(v, VIP), "tshwane");
		assert_int_equal(mistakes_of(v, "tshwane"), 0);
		assert_int_equal(mistakes_of(v, "ventolario"), 1);
		put(v, "ventolario", VIP + 1);
		assert_int_equal(vips_doubled(v), 0);
		vips_free(v);
	}
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(vip_in_force_is_refused_to_another),
		cmocka_unit_test(first_by_name_holds_it_in_any_order),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
