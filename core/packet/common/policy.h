/* Limits and switches of all decisions on opaque flows. */
#ifndef CB_POLICY_H
#define CB_POLICY_H

#include "types.h"

/**
 * enum load_control - when the decisions of docs/design/load-parts.md apply
 * @LOAD_CONTROL_AUTO: when the published configuration calls for them
 * @LOAD_CONTROL_ON: always
 * @LOAD_CONTROL_OFF: never
 */
enum load_control { LOAD_CONTROL_AUTO, LOAD_CONTROL_ON, LOAD_CONTROL_OFF };

/**
 * struct policy - limits and switches; policy_default has the defaults
 * @load_control: enum load_control
 * @choices: a new flow goes to the least loaded of this many targets drawn at
 *	random; 0 for all targets. With all of them, every entry chooses the
 *	same target until the next heartbeat: one that has just started gets
 *	every new flow of the fleet and refuses most of them.
 * @zone_penalty_percent: a flow leaves its data centre when the best target
 *	there is busier than the best target elsewhere by this part of its
 *	slots. Preferring local targets keeps flows alive when data centres
 *	are partitioned and saves traffic between them; the spill-over serves
 *	the clients of a data centre that lost its targets.
 * @trial_odds: one flow in this many may go to a target on trial after its
 *	ejection
 * @opening_due_ns: a SYN without an answer goes to another target
 *	after this time; 0 for never. A client answers the handshake at once,
 *	and two round trips to the client and one to the target take less than
 *	12 ms; the rest allows for queues.
 * @opening_due_means: minimum of that time, as a multiple of the mean handshake
 *	time. On a link that other traffic fills, each SYN would
 *	otherwise be sent twice, and if both targets answer, one of them does
 *	so for nothing.
 * @opening_until_ns: no SYN is sent to another target later than
 *	this after the first: by then the client retransmits, and each further
 *	attempt is another handshake
 * @request_due_means: the target of a request becomes suspect when there is no
 *	answer after this multiple of the mean answer time
 * @request_due_min_ns: lower bound of that time, above a short load peak
 * @request_due_max_ns: upper bound of that time
 * @repeat_quiet_ns: an older packet counts as a retransmission only after its
 *	flow was quiet for this long. Clients retransmit what is not
 *	acknowledged within 200 ms and send nothing meanwhile; an older packet
 *	that comes sooner was reordered by the network. Packets of uploads
 *	often are, and each would make its target suspect.
 * @probe: a suspect target is probed by a connection attempt
 * @probe_wait_ns: a probe without an answer after this time counts as missed.
 *	The time exceeds ten round trips between data centres. It grows when
 *	recent probes took longer.
 * @probe_wait_max_ns: upper bound of that time; an answer that arrives before
 *	it is still processed
 * @witness: a target is declared silent only while another target answers
 *	probes, so that a fault of this VM's own link is not taken for one of
 *	the target
 * @probe_pause_ns: no new probe of a target for this long after one that was
 *	answered; the answer covers suspicions that arise meanwhile
 * @look_again_ns: interval of the probes of a silent or dead target. A silent
 *	one may only be paused or partitioned, and a dead one may restart
 *	while the platform cannot publish it. A leaving target that refuses a
 *	connection is also probed again after this time.
 * @silent_misses: consecutive missed probes after which a target is silent;
 *	more than one, since a single lost packet must not end all its flows
 * @silent_misses_alone: the same when there is no other target to compare with
 * @silent_least_ns: minimum time without a sign of life before a target is
 *	silent; shorter gaps are load peaks or lost packets
 * @reset_dead: flows of a target whose process has ended are reset; their
 *	clients can then open another flow at once instead of waiting for
 *	their deadlines
 * @reset_silent: flows of a silent target are reset, for the same reason
 * @eject: a target that fails far more requests than the others of its service
 *	gets no new flows for some time
 * @small_percent: an answer smaller than this part of the mean size of its kind
 *	counts as a failure, since error answers are short. The sizes of feeds
 *	vary, so every target has a few of these.
 * @failures_window_ns: time constant with which the count of failures decays
 * @failures_min: a target with fewer failures is not ejected: they may be
 *	chance
 * @failures_min_trial: the same for a target on trial; lower, since it has
 *	failed before
 * @deviations: a target is ejected only if its failures exceed the mean of the
 *	others by this many standard deviations of a Poisson count; under
 *	overload all targets fail some requests
 * @deviations_trial: the same for a target on trial
 * @failures_spare: failures allowed above that bound, except on trial; feeds
 *	always have some
 * @eject_ns: duration of the first ejection; doubled for each further one that
 *	follows soon
 * @eject_steps: maximum number of doublings
 * @trial_ns: after an ejection a target is on trial for this long and gets only
 *	a part of its flows: all entries use it again at about the same time,
 *	and an idle target would attract many flows at once
 * @eject_part: at most one in this many targets of a service is ejected at a
 *	time, since the others have to carry its load
 * @waiting_max: capacity of the queue of requests for busy targets; 0 for no
 *	queue. Requests beyond it are sent at once. Each queued
 *	request takes 1.3 KB.
 * @limit_percent: a target gets at most this part of the requests that it can
 *	process within the latency objective. With a higher limit too many
 *	requests are sent, since the advertised load of the peers lags.
 * @late_percent: part of that limit which applies to requests that will miss
 *	the latency objective. Their clients still want them, and they have
 *	waited longest, but each one that is sent delays another. Without any
 *	beyond the free slots, feeds expire below full load; too high a value
 *	makes overload costlier.
 * @guess_percent: before the first answer, the time of a request is assumed to
 *	be this part of the latency objective; 0 for no limit until the first
 *	answer. When all entries return after an outage, more requests arrive
 *	at once than there are slots, and without a limit the ones that follow
 *	wait behind all of them.
 * @young_ns: for this long after its start, a process assumes that the first
 *	request it sees on a flow whose opening it did not see is a
 *	retransmission of a request from before the start. Such a request is
 *	already late and gets free slots only.
 * @window_percent: the window of an entry at a service shrinks to this part
 *	when a target there refused a request for lack of capacity; 0 for no
 *	window
 * @window_refused_percent: the window shrinks only when at least this part of
 *	the requests was refused. Small fleets know the load better from their
 *	peers, and lose throughput when every refusal shrinks the window.
 * @window_pause_ns: refusals within this time count as one
 * @refused_percent: a small answer that took less than this part of the mean
 *	processing time of its kind counts as a refusal
 * @running_window_ns: time over which the number of requests at a target is
 *	averaged before it is advertised; at the time of a heartbeat it may
 *	happen to be zero
 * @heartbeat_loaded_ns: heartbeat interval while a target has as many requests
 *	as slots, if the bandwidth for control traffic allows it
 * @link_percent: part of the VM's link that is used for packets; the rest is
 *	for traffic that is not accounted for
 * @link_ahead_ns: packets are handed to the link this far ahead. The link drops
 *	what it cannot send soon, and urgent packets wait behind the rest.
 * @link_waiting_max: capacity of the queue of packets for the link; each takes
 *	1.3 KB
 * @return_ns: a target whose record lapsed while the platform was unavailable
 *	is presumed to live until this long after the platform answers again; if
 *	its record is still missing then, the target is gone
 * @heartbeat_ns: heartbeat interval. A peer counts as lost after three missed
 *	heartbeats, and a change has to be in force everywhere within 3 s.
 * @tell_loads: heartbeats advertise the load of this entry's flows at each
 *	target; otherwise each entry knows only its own flows
 * @tell_failures: heartbeats advertise the targets that failed requests
 * @relay: entries fetch documents from peers that have newer ones; otherwise
 *	each waits for its own answer from the platform
 * @one_reader: one entry of a data centre reads the platform for all as long as
 *	the platform answers it; otherwise each entry reads
 * @old_listing: pages of the first listing after its first page may be stale by
 *	seconds; a watch that returns at once then brings the changes since.
 *	Stale pages cost the platform a tenth of fresh ones and do not count
 *	towards its rate limit. With many targets, each entry that starts
 *	without a peer reads hundreds of pages.
 * @young_wait_ns: an entry without documents reads the platform after this
 *	time. When all entries restart together no peer has documents, and
 *	clients wait for as long as the entries do.
 */
struct policy {
	uint8_t load_control;
	uint32_t choices;
	uint32_t zone_penalty_percent;
	uint32_t trial_odds;

	uint64_t opening_due_ns;
	uint32_t opening_due_means;
	uint64_t opening_until_ns;
	uint32_t request_due_means;
	uint64_t request_due_min_ns;
	uint64_t request_due_max_ns;
	uint64_t repeat_quiet_ns;

	bool probe;
	uint64_t probe_wait_ns;
	uint64_t probe_wait_max_ns;
	bool witness;
	uint64_t probe_pause_ns;
	uint64_t look_again_ns;
	uint32_t silent_misses;
	uint32_t silent_misses_alone;
	uint64_t silent_least_ns;
	bool reset_dead;
	bool reset_silent;

	bool eject;
	uint32_t small_percent;
	uint64_t failures_window_ns;
	uint32_t failures_min;
	uint32_t failures_min_trial;
	uint32_t deviations;
	uint32_t deviations_trial;
	uint32_t failures_spare;
	uint64_t eject_ns;
	uint32_t eject_steps;
	uint64_t trial_ns;
	uint32_t eject_part;

	uint32_t waiting_max;
	uint32_t limit_percent;
	uint32_t late_percent;
	uint32_t guess_percent;
	uint64_t young_ns;
	uint32_t window_percent;
	uint32_t window_refused_percent;
	uint64_t window_pause_ns;
	uint32_t refused_percent;
	uint64_t running_window_ns;
	uint64_t heartbeat_loaded_ns;

	uint32_t link_percent;
	uint64_t link_ahead_ns;
	uint32_t link_waiting_max;

	uint64_t return_ns;
	uint64_t heartbeat_ns;
	bool tell_loads;
	bool tell_failures;
	bool relay;
	bool one_reader;
	bool old_listing;
	uint64_t young_wait_ns;
};

extern const struct policy policy_default;

#endif
