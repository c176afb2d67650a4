/*
 * Answers of many packets. The client's first acknowledgement shows that the
 * target has run the request, but not whether it failed: an error answer is as
 * long as the first packets of a good one. So the size is recorded when the
 * download ends.
 */
#include "path_impl.h"

/**
 * path_record_size() - record the size of an answer, and whether the request
 *	failed by it
 * @path: state of the decisions on packets
 * @flow: flow of the request
 * @size_bytes: size of the answer
 * @now_ns: current time
 *
 * Return: true when the answer is far smaller than the mean.
 */
bool path_record_size(struct path *path, struct flow_state *flow,
		      uint32_t size_bytes, uint64_t now_ns)
{
	bool small = answer_stats_record_size(path->answers,
					      path_answer_class(path, flow),
					      flow->kind, size_bytes,
					      path_load_control(path));

	if (small)
		outlier_record_failure(flow->target, path->policy, now_ns);
	else if (flow->failed_ns && path_load_control(path))
		outlier_take_back_failure(flow->target, path->policy,
					  path_overdue_weight(flow),
					  flow->failed_ns);
	flow->failed_ns = 0;
	return small;
}

/**
 * path_begin_download() - record that the answer to a download begins
 * @flow: flow of the request, busy
 * @size_bytes: bytes of the answer that the client acknowledged
 * @now_ns: current time
 */
void path_begin_download(struct flow_state *flow, uint32_t size_bytes,
			 uint64_t now_ns)
{
	flow->answered_running = flow->running;
	flow->answered_ns = now_ns;
	flow->download_bytes = size_bytes;
	flow->download_ends_ns = now_ns + DOWNLOAD_QUIET_NS;
}

/**
 * path_continue_download() - record that more of a download was acknowledged
 * @flow: flow that receives a download
 * @size_bytes: bytes of it that were acknowledged now
 * @now_ns: current time
 */
void path_continue_download(struct flow_state *flow, uint32_t size_bytes,
			    uint64_t now_ns)
{
	flow->download_bytes += size_bytes;
	flow->download_ends_ns = now_ns + DOWNLOAD_QUIET_NS;
}

/**
 * path_end_download() - record the size of the download that a flow receives
 * @path: state of the decisions on packets
 * @flow: flow; nothing happens when it receives none
 * @now_ns: current time
 */
void path_end_download(struct path *path, struct flow_state *flow,
		       uint64_t now_ns)
{
	bool small;

	if (!flow->download_ends_ns)
		return;
	flow->download_ends_ns = 0;
	small = path_record_size(path, flow, flow->download_bytes, now_ns);
	if (flow->answered_running)
		path_record_answer(path, flow, small, flow->answered_ns,
				   now_ns);
}
