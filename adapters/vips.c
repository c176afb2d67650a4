#include "vips.h"

#include "fields.h"
#include "publication_merge.h"
#include "settings.h"

#include <glib.h>
#include <string.h>

#define PROBLEM_BYTES 160

/**
 * struct vips - endpoints by account and back
 * @holders: by VIP, names in order; the first holds it, as at every entry
 * @users: by target, names in order
 * @owned: by account, what it has in force
 * @n_doubled: VIPs of more than one account
 */
struct vips {
	GHashTable *holders;
	GHashTable *users;
	GHashTable *owned;
	uint32_t n_doubled;
};

/* One endpoint that an account has in force. */
struct owned {
	uint64_t addr;
	bool vip;
};

static void free_names(gpointer names)
{
	g_ptr_array_free(names, TRUE);
}

static void free_owned(gpointer list)
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
	v->users = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free,
					 free_names);
	v->owned = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					 free_owned);
	return v;
}

void vips_free(struct vips *v)
{
	if (!v)
		return;
	g_hash_table_destroy(v->holders);
	g_hash_table_destroy(v->users);
	g_hash_table_destroy(v->owned);
	g_free(v);
}

static gint by_name(gconstpointer a, gconstpointer b)
{
	return strcmp(*(const char *const *)a, *(const char *const *)b);
}

/* Number of names that are left. */
static guint name_drop(GHashTable *table, uint64_t addr, const char *account)
{
	GPtrArray *names = g_hash_table_lookup(table, &addr);
	guint left;
	guint i;

	if (!names ||
	    !g_ptr_array_find_with_equal_func(names, account, g_str_equal, &i))
		return 0;
	g_ptr_array_remove_index(names, i);
	left = names->len;
	if (!left)
		g_hash_table_remove(table, &addr);
	return left;
}

/* Number of names that there are now; 0 when it was there before. */
static guint name_add(GHashTable *table, uint64_t addr, const char *account)
{
	GPtrArray *names = g_hash_table_lookup(table, &addr);

	if (!names) {
		names = g_ptr_array_new_with_free_func(g_free);
		g_hash_table_insert(table, g_memdup2(&addr, sizeof(addr)),
				    names);
	}
	if (g_ptr_array_find_with_equal_func(names, account, g_str_equal, NULL))
		return 0;
	g_ptr_array_add(names, g_strdup(account));
	g_ptr_array_sort(names, by_name);
	return names->len;
}

static void drop(struct vips *v, const struct owned *o, const char *account)
{
	if (o->vip)
		v->n_doubled -= name_drop(v->holders, o->addr, account) == 1;
	else
		name_drop(v->users, o->addr, account);
}

static void add(struct vips *v, GArray *list, uint64_t addr, bool vip,
		const char *account)
{
	struct owned o = { addr, vip };
	guint n = name_add(vip ? v->holders : v->users, addr, account);

	v->n_doubled += vip && n == 2;
	g_array_append_val(list, o);
}

static GArray *add_all(struct vips *v, const struct account_conf *a,
		       const char *account)
{
	GArray *list = g_array_new(FALSE, FALSE, sizeof(struct owned));

	for (uint32_t i = 0; i < a->n_services; i++) {
		const struct service_conf *s = &a->services[i];

		add(v, list, s->vip, true, account);
		for (uint32_t j = 0; j < s->n_targets; j++)
			add(v, list, s->targets[j].addr, false, account);
	}
	return list;
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

	for (guint i = 0; old && i < old->len; i++)
		drop(v, &g_array_index(old, struct owned, i), account);
	g_hash_table_remove(v->owned, account);
	if (in_force)
		g_hash_table_insert(v->owned, g_strdup(account),
				    add_all(v, in_force, account));
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

/* First account but @account that has an endpoint, by one of the tables. */
static const char *other(GHashTable *table, uint64_t addr, const char *account)
{
	GPtrArray *names = g_hash_table_lookup(table, &addr);

	for (guint i = 0; names && i < names->len; i++)
		if (strcmp(g_ptr_array_index(names, i), account))
			return g_ptr_array_index(names, i);
	return NULL;
}

static bool node_addr(const struct toml_node *node, uint64_t *addr)
{
	return node && node->kind == TOML_STRING &&
	       !addr_parse(node->text, addr);
}

static void mistake(struct mistakes *m, const struct toml_node *node,
		    const char *prefix, const char *key, const char *what,
		    const char *whose)
{
	char problem[PROBLEM_BYTES];

	g_snprintf(problem, sizeof(problem), "%s is %s of account %s",
		   node->text, what, whose);
	field_add_mistake(m, node, prefix, key, problem,
			  "an endpoint that no other account has as a VIP");
}

static void vip_check(const struct vips *v, const char *account,
		      const struct toml_node *node, struct mistakes *m)
{
	const char *whose;
	uint64_t vip;

	if (!node_addr(node, &vip))
		return;
	whose = vips_holder(v, vip);
	if (whose && strcmp(whose, account))
		mistake(m, node, "service", "vip", "the VIP", whose);
	whose = other(v->users, vip, account);
	if (whose)
		mistake(m, node, "service", "vip", "a target", whose);
}

static void targets_check(const struct vips *v, const char *account,
			  const struct toml_node *list, struct mistakes *m)
{
	if (!list || list->kind != TOML_ARRAY)
		return;
	for (uint32_t i = 0; i < list->n_items; i++) {
		const struct toml_node *node =
			toml_find(&list->items[i], "address");
		const char *whose;
		uint64_t addr;

		if (!node_addr(node, &addr))
			continue;
		whose = other(v->holders, addr, account);
		if (whose)
			mistake(m, node, "target", "address", "the VIP", whose);
	}
}

static void service_check(const struct vips *v, const char *account,
			  const struct toml_node *service, struct mistakes *m)
{
	vip_check(v, account, toml_find(service, "vip"), m);
	targets_check(v, account, toml_find(service, "target"), m);
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
