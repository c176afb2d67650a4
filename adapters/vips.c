#include "vips.h"

#include "fields.h"
#include "publication_merge.h"
#include "settings.h"

#include <glib.h>
#include <string.h>

#define PROBLEM_BYTES 160

/**
 * struct vips - VIPs and targets of the accounts in force
 * @vip_accounts: by VIP, names of the accounts that have it, in order; the
 *	first holds it, as at every entry
 * @target_accounts: by address of a target, names of the accounts in order
 * @endpoints: by name of an account, its endpoints in force
 * @n_doubled: number of VIPs that more than one account has
 */
struct vips {
	GHashTable *vip_accounts;
	GHashTable *target_accounts;
	GHashTable *endpoints;
	uint32_t n_doubled;
};

/**
 * struct endpoint - endpoint of an account in force
 * @addr: endpoint
 * @is_vip: VIP of a service; otherwise the address of a target
 */
struct endpoint {
	uint64_t addr;
	bool is_vip;
};

static void free_names(gpointer names)
{
	g_ptr_array_free(names, TRUE);
}

static void free_endpoints(gpointer list)
{
	g_array_free(list, TRUE);
}

/**
 * vips_new() - create an empty table
 *
 * Return: the table, to be freed with vips_free().
 */
struct vips *vips_new(void)
{
	struct vips *vips = g_new0(struct vips, 1);

	vips->vip_accounts = g_hash_table_new_full(g_int64_hash, g_int64_equal,
						   g_free, free_names);
	vips->target_accounts = g_hash_table_new_full(
		g_int64_hash, g_int64_equal, g_free, free_names);
	vips->endpoints = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
						free_endpoints);
	return vips;
}

/**
 * vips_free() - free a table
 * @vips: table, or NULL
 */
void vips_free(struct vips *vips)
{
	if (!vips)
		return;
	g_hash_table_destroy(vips->vip_accounts);
	g_hash_table_destroy(vips->target_accounts);
	g_hash_table_destroy(vips->endpoints);
	g_free(vips);
}

static gint by_name(gconstpointer a, gconstpointer b)
{
	return strcmp(*(const char *const *)a, *(const char *const *)b);
}

/* Removes an account from an endpoint; returns the number of accounts left. */
static guint remove_name(GHashTable *table, uint64_t addr, const char *account)
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

/*
 * Adds an account to an endpoint; returns the number of accounts, or 0 when the
 * account was there before.
 */
static guint add_name(GHashTable *table, uint64_t addr, const char *account)
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

static void remove_endpoint(struct vips *vips, const struct endpoint *endpoint,
			    const char *account)
{
	if (endpoint->is_vip)
		vips->n_doubled -= remove_name(vips->vip_accounts,
					       endpoint->addr, account) == 1;
	else
		remove_name(vips->target_accounts, endpoint->addr, account);
}

static void add_endpoint(struct vips *vips, GArray *list, uint64_t addr,
			 bool is_vip, const char *account)
{
	struct endpoint endpoint = { addr, is_vip };
	guint n = add_name(is_vip ? vips->vip_accounts : vips->target_accounts,
			   addr, account);

	vips->n_doubled += is_vip && n == 2;
	g_array_append_val(list, endpoint);
}

static GArray *add_account(struct vips *vips, const struct account_conf *conf,
			   const char *account)
{
	GArray *list = g_array_new(FALSE, FALSE, sizeof(struct endpoint));

	for (uint32_t i = 0; i < conf->n_services; i++) {
		const struct service_conf *s = &conf->services[i];

		add_endpoint(vips, list, s->vip, true, account);
		for (uint32_t j = 0; j < s->n_targets; j++)
			add_endpoint(vips, list, s->targets[j].addr, false,
				     account);
	}
	return list;
}

/**
 * vips_set() - set the account that is in force under a name
 * @vips: table
 * @account: name of the account
 * @in_force: account, or NULL when it is withdrawn; not kept
 */
void vips_set(struct vips *vips, const char *account,
	      const struct account_conf *in_force)
{
	GArray *old = g_hash_table_lookup(vips->endpoints, account);

	for (guint i = 0; old && i < old->len; i++)
		remove_endpoint(vips, &g_array_index(old, struct endpoint, i),
				account);
	g_hash_table_remove(vips->endpoints, account);
	if (in_force)
		g_hash_table_insert(vips->endpoints, g_strdup(account),
				    add_account(vips, in_force, account));
}

/**
 * vips_holder() - account to which the callers of a VIP belong
 * @vips: table
 * @vip: VIP
 *
 * When two accounts in force have the VIP, the first by name holds it, whatever
 * the order in which they came, so that all VMs agree.
 *
 * Return: name, valid until the next vips_set(); NULL when no account has it.
 */
const char *vips_holder(const struct vips *vips, uint64_t vip)
{
	GPtrArray *names = g_hash_table_lookup(vips->vip_accounts, &vip);

	return names ? g_ptr_array_index(names, 0) : NULL;
}

/**
 * vips_doubled() - number of VIPs that more than one account has in force
 * @vips: table
 *
 * Two readers can accept one account each at the same time, before either
 * receives the account of the other. Entries assign such a VIP to its holder.
 *
 * Return: count.
 */
uint32_t vips_doubled(const struct vips *vips)
{
	return vips->n_doubled;
}

/* First account other than @account that has an endpoint, or NULL. */
static const char *other_account(GHashTable *table, uint64_t addr,
				 const char *account)
{
	GPtrArray *names = g_hash_table_lookup(table, &addr);

	for (guint i = 0; names && i < names->len; i++)
		if (strcmp(g_ptr_array_index(names, i), account))
			return g_ptr_array_index(names, i);
	return NULL;
}

static bool parse_node(const struct toml_node *node, uint64_t *addr)
{
	return node && node->kind == TOML_STRING &&
	       !addr_parse(node->text, addr);
}

static void add_conflict(struct mistakes *mistakes,
			 const struct toml_node *node, const char *prefix,
			 const char *key, const char *role, const char *holder)
{
	char problem[PROBLEM_BYTES];

	g_snprintf(problem, sizeof(problem), "%s is %s of account %s",
		   node->text, role, holder);
	field_add_mistake(mistakes, node, prefix, key, problem,
			  "an endpoint that no other account has as a VIP");
}

static void check_vip(const struct vips *vips, const char *account,
		      const struct toml_node *node, struct mistakes *mistakes)
{
	const char *holder;
	uint64_t vip;

	if (!parse_node(node, &vip))
		return;
	holder = vips_holder(vips, vip);
	if (holder && strcmp(holder, account))
		add_conflict(mistakes, node, "service", "vip", "the VIP",
			     holder);
	holder = other_account(vips->target_accounts, vip, account);
	if (holder)
		add_conflict(mistakes, node, "service", "vip", "a target",
			     holder);
}

static void check_targets(const struct vips *vips, const char *account,
			  const struct toml_node *list,
			  struct mistakes *mistakes)
{
	if (!list || list->kind != TOML_ARRAY)
		return;
	for (uint32_t i = 0; i < list->n_items; i++) {
		const struct toml_node *node =
			toml_find(&list->items[i], "address");
		const char *holder;
		uint64_t addr;

		if (!parse_node(node, &addr))
			continue;
		holder = other_account(vips->vip_accounts, addr, account);
		if (holder)
			add_conflict(mistakes, node, "target", "address",
				     "the VIP", holder);
	}
}

static void check_service(const struct vips *vips, const char *account,
			  const struct toml_node *service,
			  struct mistakes *mistakes)
{
	check_vip(vips, account, toml_find(service, "vip"), mistakes);
	check_targets(vips, account, toml_find(service, "target"), mistakes);
}

void vips_check(const struct vips *vips, const char *name, const char *text,
		struct template_source templates, struct mistakes *mistakes)
{
	struct mistakes ignored = { 0 };
	const struct toml_node *services = NULL;
	struct merged_account merged;

	merge_open(&merged, name, text, templates, &ignored);
	if (merged.body)
		services = toml_find(merged.body, "service");
	if (services && services->kind == TOML_ARRAY)
		for (uint32_t i = 0; i < services->n_items; i++)
			check_service(vips, name, &services->items[i],
				      mistakes);
	merge_close(&merged);
	mistakes_free(&ignored);
}
