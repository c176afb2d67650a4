/* Every figure and switch that the decisions on opaque flows go by. */
#ifndef CB_POLICY_H
#define CB_POLICY_H

#include "types.h"

/**
 * struct policy - those figures; policy_usual has the ones in use
 * @choices: of so many targets drawn at random the least loaded gets a new
 *	flow; 0 for all. The least loaded of all would be the same one for every
 *	entry until the next heartbeat: a target that has just started would be
 *	given every new flow of the fleet, and refuse most.
 * @zone_penalty_percent: a flow leaves its data centre when the best target
 *	there is busier by this part of its slots than the best elsewhere. Own
 *	targets first keeps flows alive when data centres are cut from each
 *	other and saves the bytes between them; spilling keeps a data centre
 *	that lost its targets served.
 * @trial_odds: one flow in so many may go to a target on trial after its
 *	ejection
 * @opening_due_ns: a client answers a target's handshake at once; two trips to
 *	it and one to the target take under 12 ms, the rest is for queues. Later
 *	the opening packet goes to another target. 0 for never.
 * @opening_due_means: nor before so many mean times that handshakes take: on a
 *	link that others fill each would be sent twice, and if both targets
 *	answer, one of them for nothing
 * @opening_until_ns: not after this, since the client's own copies come then
 *	and each further try is another handshake
 * @request_due_means: a request without an answer is doubted after so many
 *	mean answer times
 * @request_due_min_ns: but not sooner; above a busy moment
 * @request_due_max_ns: nor later
 * @repeat_quiet_ns: a client repeats what was not acknowledged for 200 ms, and
 *	its flow is quiet until then. An older packet sooner than that was
 *	overtaken on the way: packets of uploads are all the time, and each
 *	would be a doubt.
 * @probe: a doubted target is asked whether it lives, by a connection attempt
 * @probe_wait_ns: an attempt that takes longer is told silent: ten round trips
 *	between data centres and to spare. Longer where attempts took longer of
 *	late.
 * @probe_wait_max_ns: but no longer than this; until then a late answer is
 *	heard all the same
 * @witness: silence counts only beside another target that answers
 * @probe_pause_ns: after an attempt that was answered; a doubt in between is
 *	answered by that one
 * @look_again_ns: a silent target may only be paused or cut off, and a dead one
 *	start again while nobody can publish it: asked again this often. A
 *	leaving one that refuses is asked again after this.
 * @silent_misses: one lost packet must not condemn a target with all its flows
 * @silent_misses_alone: with no other target to compare with
 * @silent_least_ns: shorter pauses of a target are a burst or a lost packet
 * @reset_dead: flows of a target whose process has ended are reset: their
 *	clients would wait out their deadlines, and can open another at once
 * @reset_silent: and those of one that does not answer
 * @eject: a target that fails far more requests than the others of its service
 *	gets no new flows for a while
 * @small_percent: an answer below this part of the mean of its kind counts as
 *	failed: errors are short. Of the answers of feeds, whose sizes vary, a
 *	few are below it at every target.
 * @failures_window_ns: failures are forgotten over this time
 * @failures_min: fewer may be chance at any target
 * @failures_min_trial: on trial fewer are enough, since it has failed before
 * @deviations: and so many standard deviations of a Poisson count above the
 *	others' mean, since under overload all have some
 * @deviations_trial: on trial
 * @failures_spare: and so many to spare, but on trial; feeds always have some
 * @eject_ns: first ejection; twice as long each time that it fails again soon
 * @eject_steps: so often
 * @trial_ns: then it is given a part of its flows: all entries try it again at
 *	about the same time, and an idle target would be given many at once
 * @eject_part: at most one in so many of a service's targets is ejected at a
 *	time: the others have to carry its load
 * @waiting_max: requests that wait here at most, while their targets have
 *	enough to do; 0 for none. Beyond that they go at once. Each takes 1.3 KB.
 * @limit_percent: a target is given this part of the requests that it works off
 *	within the target latency. With more, peers' figures of a moment ago let
 *	through too many.
 * @late_percent: of that, for one that will be late: it has waited longest and
 *	its client still wants it, but each that goes makes another late. With
 *	none beyond free slots feeds expire below full load; with too many
 *	overload costs more.
 * @guess_percent: before an answer has shown what work takes, it is taken for
 *	this part of the target latency: after all entries were away more
 *	requests come at once than there are slots, and without a limit those
 *	that come next wait behind all of them. 0 for no limit until then.
 * @young_ns: a process as young as this takes the first request that it sees of
 *	a flow whose opening it did not see for the repeat of one that came
 *	before its start: late already, so that it gets free slots only
 * @window_percent: what is left of an entry's window at a service when a target
 *	there had no room for a request; 0 for no window
 * @window_refused_percent: but not before this part of the requests was refused:
 *	small fleets, whose entries know better from their peers, lose by a cut
 *	for each
 * @window_pause_ns: refusals within this are one sign
 * @refused_percent: a small answer that took less than this part of the work of
 *	its kind was no work: the target refused
 * @running_window_ns: the requests that a target has are averaged over this
 *	before peers are told: at the moment of a heartbeat there may be none
 * @heartbeat_loaded_ns: time between heartbeats while a target has as much to
 *	do as it has slots, if the bytes allow it
 * @link_percent: this part of the VM's link is given to packets; the rest is
 *	for what is not counted
 * @link_ahead_ns: the link is handed packets for so long at once; what it
 *	can't carry soon it loses, and an urgent packet waits behind them
 * @link_waiting_max: packets that wait for the link at most; 1.3 KB each
 * @return_ns: entries that lapsed while the platform was away are presumed to
 *	live until so long after its return, and are gone if missing then
 * @heartbeat_ns: time between heartbeats; three are missed before a peer is
 *	counted out; a change has 3 s to be in force everywhere
 * @tell_loads: heartbeats tell what an entry's flows do at each target; each
 *	sees only its own
 * @tell_failures: and which targets failed requests
 * @relay: entries take from their peers what those know more; otherwise each
 *	waits for its own answer from the platform
 * @one_reader: of the entries of a data centre one reads while it is answered;
 *	otherwise each does
 * @old_listing: the first listing's later pages may be seconds old, and a watch
 *	that waits for nothing brings what came since. They cost the platform a
 *	tenth, and do not count towards its rate; of many targets there are
 *	hundreds of pages for each entry that starts and finds no peer.
 * @young_wait_ns: a process that knows nothing reads after this; when all
 *	restart together no peer has anything, and each further wait is one of
 *	all clients
 */
struct policy {
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

extern const struct policy policy_usual;

#endif
