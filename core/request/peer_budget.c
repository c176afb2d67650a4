#include "entry_state.h"

/**
 * peer_budget_take() - take bytes from the budget for messages to peers
 * @entry: state of this entry
 * @bytes: size of a message
 *
 * A token bucket, refilled at peer_bytes_per_s and at most one second deep. A
 * load spike on the hour opens thousands of feeds at once; the budget spreads
 * their second copies over time, so that messages between entries stay within
 * their rate.
 *
 * Return: false when the budget does not cover the message yet.
 */
bool peer_budget_take(struct entry *entry, uint32_t bytes)
{
	uint64_t rate = entry->conf.peer_bytes_per_s;
	uint64_t past_ns = entry->now_ns - entry->peer_budget_refilled_ns;
	uint64_t earned;

	if (past_ns > NS_PER_S)
		past_ns = NS_PER_S;
	earned = past_ns * rate / NS_PER_S;
	if (earned) {
		entry->peer_budget_refilled_ns = entry->now_ns;
		entry->peer_budget_bytes += earned;
	}
	if (entry->peer_budget_bytes > rate)
		entry->peer_budget_bytes = rate;
	if (entry->peer_budget_bytes < bytes)
		return false;
	entry->peer_budget_bytes -= bytes;
	return true;
}
