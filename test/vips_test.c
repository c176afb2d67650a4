/*
 * A VIP belongs to one client account, in whichever order accounts are put in
 * force.
 */
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

static void put_in_force(struct vips *v, const char *name, uint64_t vip)
{
	struct service_conf s = { .vip = vip };
	struct account_conf a = { .services = &s, .n_services = 1 };

	vips_set(v, name, &a);
}

static uint32_t count_mistakes(const struct vips *v, const char *name)
{
	struct mistakes m = { 0 };
	uint32_t n;

	vips_check(v, name, TEXT, no_templates, &m);
	n = m.n_errors;
	mistakes_free(&m);
	return n;
}

/*
 * ventolario serves a VIP; a second account, which sorts before it, is
 * published with the same VIP by mistake. If accounts were checked only one by
 * one, both would be in force, and callers of one would get answers from
 * targets of the other.
 */
static void vip_in_force_is_refused_for_another_account(void **unused)
{
	struct vips *v = vips_new();
	struct mistakes m = { 0 };

	(void)unused;
	put_in_force(v, "ventolario", VIP);
	vips_check(v, "tshwane", TEXT, no_templates, &m);
	assert_int_equal(m.n_errors, 1);
	assert_string_equal(m.list[0].document, "account/tshwane");
	assert_int_equal(m.list[0].line, 4);
	assert_string_equal(m.list[0].key, "service.vip");
	assert_non_null(strstr(m.list[0].problem, "account ventolario"));
	mistakes_free(&m);
	assert_int_equal(count_mistakes(v, "ventolario"), 0);
	put_in_force(v, "ventolario", VIP + 1);
	assert_int_equal(count_mistakes(v, "tshwane"), 0);
	put_in_force(v, "ventolario", VIP);
	vips_set(v, "ventolario", NULL);
	assert_int_equal(count_mistakes(v, "tshwane"), 0);
	vips_free(v);
}

/*
 * Two readers accept one account each before either receives the account of the
 * other: both are in force, in a different order on each VM. If the VIP
 * belonged to the latest account, valid changes of an account would be refused
 * on some VMs only.
 */
static void first_account_by_name_holds_vip_in_any_order(void **unused)
{
	static const char *const order[][2] = { { "tshwane", "ventolario" },
						{ "ventolario", "tshwane" } };

	(void)unused;
	for (size_t i = 0; i < 2; i++) {
		struct vips *v = vips_new();

		put_in_force(v, order[i][0], VIP);
		put_in_force(v, order[i][1], VIP);
		assert_int_equal(vips_doubled(v), 1);
		assert_string_equal(vips_holder(v, VIP), "tshwane");
		assert_int_equal(count_mistakes(v, "tshwane"), 0);
		assert_int_equal(count_mistakes(v, "ventolario"), 1);
		put_in_force(v, "ventolario", VIP + 1);
		assert_int_equal(vips_doubled(v), 0);
		vips_free(v);
	}
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(vip_in_force_is_refused_for_another_account),
		cmocka_unit_test(first_account_by_name_holds_vip_in_any_order),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
