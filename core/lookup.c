/* Searches of the balancer's sorted tables. */
#include "balance_state.h"

/**
 * tables_service() - find a service
 * @t: tables
 * @vip: its address
 *
 * Return: index, or INDEX_NONE.
 */
uint32_t tables_service(const struct tables *t, uint64_t vip)
{
	uint32_t low = 0;
	uint32_t high = t->n_services;

	while (low < high) {
		uint32_t mid = low + (high - low) / 2;

		if (t->services[mid].vip < vip)
			low = mid + 1;
		else
			high = mid;
	}
	if (low < t->n_services && t->services[low].vip == vip)
		return low;
	return INDEX_NONE;
}

/**
 * tables_target() - find a target
 * @t: tables
 * @addr: its address
 *
 * Return: index, or INDEX_NONE.
 */
uint32_t tables_target(const struct tables *t, uint64_t addr)
{
	uint32_t low = 0;
	uint32_t high = t->n_targets;

	while (low < high) {
		uint32_t mid = low + (high - low) / 2;

		if (t->targets[mid].addr < addr)
			low = mid + 1;
		else
			high = mid;
	}
	if (low < t->n_targets && t->targets[low].addr == addr)
		return low;
	return INDEX_NONE;
}

/**
 * tables_place() - find a target of a service
 * @t: tables
 * @s: service
 * @addr: target's address
 *
 * Return: index of the place, or INDEX_NONE.
 */
uint32_t tables_place(const struct tables *t, const struct service *s,
		      uint64_t addr)
{
	uint32_t target = tables_target(t, addr);
	uint32_t low = s->first_place;
	uint32_t end = s->first_place + s->n_places;
	uint32_t high = end;

	while (low < high) {
		uint32_t mid = low + (high - low) / 2;

		if (t->places[mid].target < target)
			low = mid + 1;
		else
			high = mid;
	}
	if (low < end && t->places[low].target == target)
		return low;
	return INDEX_NONE;
}
