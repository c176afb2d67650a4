#include "vips.h"

#include "fields.h"
#include "publication_merge.h"
#include "settings.h"

#include <glib.h>
#include <string.h>

#define PROBLEM_BYTES 160

/**
 * struct vips - accounts by VIP and back
 * @holders: by VIP, names in order; the first holds it, as at every entry
 * @owned: by account, the VIPs that it has in force
 * @n_doubled: VIPs of more than one account
 */
struct vips {
	GHashTable *holders;
	GHashTable *owned;
	uint32_t n_doubled;
};

static void free_names(gpointer names)
{
	g_ptr_array_free(names, TRUE);
}

static void free_vips(gpointer list)
{
	g_array_free(list, TRUE);
}

/**
 * vips_new() - nothing in force yet
 *
 * Return: to be freed with vips_free().
 */
struct vips *vips_new(void)
{
	struct vips *v = g_new0(struct vips, 1);

	v->holders = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free,
					   free_names);
	v->owned = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					 free_vips);
	return v;
}

void vips_free(struct vips *v)
{
	if (!v)
		return;
	g_hash_table_destroy(v->holders);
	g_hash_table_destroy(v->owned);
	g_free(v);
}

static gint by_name(gconstpointer a, gconstpointer b)
{
	return strcmp(*(const char *const *)a, *(const char *const *)b);
}

static void drop(struct vips *v, uint64_t vip, const char *account)
{
	GPtrArray *names = g_hash_table_lookup(v->holders, &vip);
	guint i;

	if (!names ||
	    !g_ptr_array_find_with_equal_func(names, account, g_str_equal, &i))
		return;
	v->n_doubled -= names->len == 2;
	g_ptr_array_remove_index(names, i);
	if (!names->len)
		g_hash_table_remove(v->holders, &vip);
}

static void add(struct vips *v, uint64_t vip, const char *account)
{
	GPtrArray *names = g_hash_table_lookup(v->holders, &vip);

	if (!names) {
		names = g_ptr_array_new_with_free_func(g_free);
		g_hash_table_insert(v->holders, g_memdup2(&vip, sizeof(vip)),
				    names);
	}
	if (g_ptr_array_find_with_equal_func(names, account, g_str_equal, NULL))
		return;
	g_ptr_array_add(names, g_strdup(account));
	g_ptr_array_sort(names, by_name);
	v->n_doubled += names->len == 2;
}

/**
 * vips_put() - an account's version is in force
 * @v: table
 * @account: its name
 * @in_force: account, or NULL when it is withdrawn
 */
void vips_put(struct vips *v, const char *account,
	      const struct account_conf *in_force)
{
	GArray *old = g_hash_table_lookup(v->owned, account);
	GArray *new;

	for (guint i = 0; old && i < old->len; i++)
		drop(v, g_array_index(old, uint64_t, i), account);
	g_hash_table_remove(v->owned, account);
	if (!in_force)
		return;
	new = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	for (uint32_t i = 0; i < in_force->n_services; i++) {
		add(v, in_force->services[i].vip, account);
		g_array_append_val(new, in_force->services[i].vip);
	}
	g_hash_table_insert(v->owned, g_strdup(account), new);
}

/**
 * vips_holder() - account that a VIP's callers belong to
 * @v: table
 * @vip: VIP
 *
 * Should two have it in force, the first by name holds it, in whichever order
 * they came, so that every VM says the same.
 *
 * Return: name, good until the next vips_put(); NULL when none has it.
 */
const char *vips_holder(const struct vips *v, uint64_t vip)
{
	GPtrArray *names = g_hash_table_lookup(v->holders, &vip);

	return names ? g_ptr_array_index(names, 0) : NULL;
}

/**
 * vips_doubled() - how many VIPs two accounts have in force
 * @v: table
 *
 * Two readers can accept one account each at the same instant, before either
 * hears of the other. Entries give such a VIP to its holder.
 */
uint32_t vips_doubled(const struct vips *v)
{
	return v->n_doubled;
}

static void service_check(const struct vips *v, const char *account,
			  const struct toml_node *service, struct mistakes *m)
{
	const struct toml_node *node = toml_find(service, "vip");
	char problem[PROBLEM_BYTES];
	const char *holder;
	uint64_t vip;

	if (!node || node->kind != TOML_STRING || addr_parse(node->text, &vip))
		return;
	holder = vips_holder(v, vip);
	if (!holder || !strcmp(holder, account))
		return;
	g_snprintf(problem, sizeof(problem), "%s is in force for account %s",
		   node->text, holder);
	field_mistake(m, node, "service", "vip", problem,
		      "a VIP that no other account has");
}

void vips_check(const struct vips *v, const char *name, const char *text,
		struct template_source templates, struct mistakes *mistakes)
{
	struct mistakes known = { 0 };
	const struct toml_node *services = NULL;
	struct merged merged;

	merge_open(&merged, name, text, templates, &known);
	if (merged.body)
		services = toml_find(merged.body, "service");
	if (services && services->kind == TOML_ARRAY)
		for (uint32_t i = 0; i < services->n_items; i++)
			service_check(v, name, &services->items[i], mistakes);
	merge_close(&merged);
	mistakes_free(&known);
}
