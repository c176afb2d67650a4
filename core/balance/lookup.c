/* Binary searches in the balancer's sorted tables. */
#include "balance_state.h"

#include <stddef.h>
#include <string.h>

/**
 * struct column - key column of a sorted table
 * @rows: first row; not read when the table is empty
 * @row_bytes: size of a row
 * @offset: offset of the key in a row, in bytes
 */
struct column {
	const void *rows;
	size_t row_bytes;
	size_t offset;
};

static uint64_t key_at(struct column c, uint32_t row)
{
	uint64_t key;

	memcpy(&key, (const char *)c.rows + row * c.row_bytes + c.offset,
	       sizeof(key));
	return key;
}

/* Index of the first of @n rows whose key is not below @key. */
static uint32_t lower_bound(struct column c, uint32_t n, uint64_t key)
{
	uint32_t low = 0;
	uint32_t high = n;

	while (low < high) {
		uint32_t mid = low + (high - low) / 2;

		if (key_at(c, mid) < key)
			low = mid + 1;
		else
			high = mid;
	}
	return low;
}

/**
 * tables_find_service() - find a service by its address
 * @tables: tables
 * @vip: address
 *
 * Return: index of the service, or INDEX_NONE.
 */
uint32_t tables_find_service(const struct tables *tables, uint64_t vip)
{
	struct column vips = { tables->services, sizeof(*tables->services),
			       offsetof(struct service, vip) };
	uint32_t i = lower_bound(vips, tables->n_services, vip);

	return i < tables->n_services && tables->services[i].vip == vip
		       ? i
		       : INDEX_NONE;
}

/**
 * tables_find_target() - find a target by its address
 * @tables: tables
 * @addr: address
 *
 * Return: index of the target, or INDEX_NONE.
 */
uint32_t tables_find_target(const struct tables *tables, uint64_t addr)
{
	struct column addrs = { tables->targets, sizeof(*tables->targets),
				offsetof(struct target, addr) };
	uint32_t i = lower_bound(addrs, tables->n_targets, addr);

	return i < tables->n_targets && tables->targets[i].addr == addr
		       ? i
		       : INDEX_NONE;
}

/**
 * tables_find_backend() - find the backend of a service by its target
 * @tables: tables
 * @s: service
 * @addr: address of the target
 *
 * Return: index of the backend, or INDEX_NONE.
 */
uint32_t tables_find_backend(const struct tables *tables,
			     const struct service *s, uint64_t addr)
{
	uint32_t target = tables_find_target(tables, addr);
	uint32_t low = s->first_backend;
	uint32_t end = s->first_backend + s->n_backends;
	uint32_t high = end;

	while (low < high) {
		uint32_t mid = low + (high - low) / 2;

		if (tables->backends[mid].target < target)
			low = mid + 1;
		else
			high = mid;
	}
	if (low < end && tables->backends[low].target == target)
		return low;
	return INDEX_NONE;
}
