/* What becomes of each packet: cookie, route, dead targets, copies of a SYN. */
#include "packet_bed.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <errno.h>
#include <cmocka.h>

#define CALLER ADDR(0x64400001, 1000)

static void test_cookie_leads_to_its_target_at_any_entry(void **state)
{
	struct bed a, b;
	struct path_verdict v;

	(void)state;
	bed_open(&a);
	bed_open(&b);
	bed_target(&a, 1, SERVICE, ZONE);
	bed_target(&a, 2, SERVICE, ZONE);
	/* Learned in another order. */
	bed_target(&b, 2, SERVICE, ZONE);
	bed_target(&b, 1, SERVICE, ZONE);
	for (uint32_t i = 0; i < 16; i++) {
		v = bed_open_flow(&a, CALLER + i, VIP);
		assert_int_equal(v.action, PATH_FORWARD);
		assert_int_equal(bed_data(&b, CALLER + i, VIP, v.target->cookie,
					  1, 1, 100)
					 .target->news.id,
				 v.target->news.id);
	}
	bed_close(&a);
	bed_close(&b);
}

/*
 * Symptom: a client gets a connection to a service that it did not ask for.
 * Sequence: a client writes a cookie that belongs to a target of another
 * service into its packets. Cause: the cookie alone decided.
 */
static void test_cookie_of_another_service_is_dropped(void **state)
{
	struct bed b;
	struct target *other;
	struct path_verdict v;

	(void)state;
	bed_open(&b);
	bed_target(&b, 1, SERVICE, ZONE);
	other = bed_target(&b, 2, OTHER_SERVICE, ZONE);
	b.now_ns += 61 * NS_PER_S;
	v = bed_data(&b, CALLER, VIP, other->cookie, 1, 1, 100);
	assert_int_equal(v.action, PATH_DROP);
	assert_int_equal(v.reason, PATH_foreign_cookie);
	bed_close(&b);
}

static void test_unknown_cookie_is_never_reset(void **state)
{
	struct bed b;
	struct path_verdict v;

	(void)state;
	bed_open(&b);
	bed_target(&b, 1, SERVICE, ZONE);
	v = bed_data(&b, CALLER, VIP, 12345, 1, 1, 100);
	assert_int_equal(v.action, PATH_DROP);
	assert_int_equal(v.reason, PATH_unknown_cookie);
	bed_close(&b);
}

/*
 * Symptom: feeds break when a route gets another service. Sequence: the route
 * changes while a feed is open. Cause: the route instead of the cookie decided
 * where the feed's packets go.
 */
static void test_changed_route_leaves_open_flows(void **state)
{
	struct bed b;
	struct route_table *next;
	struct path_verdict v;

	(void)state;
	bed_open(&b);
	bed_target(&b, 1, SERVICE, ZONE);
	bed_target(&b, 2, OTHER_SERVICE, ZONE);
	b.now_ns += 61 * NS_PER_S;
	v = bed_open_flow(&b, CALLER, VIP);
	assert_int_equal(v.target->news.id, 1);
	next = bed_table(&b, 2);
	next->routes[0].shares[0].service =
		directory_name(b.directory, OTHER_SERVICE);
	assert_int_equal(directory_routes(b.directory, next, b.now_ns), 0);
	v = bed_data(&b, CALLER, VIP, v.target->cookie, 2, 2, 100);
	assert_int_equal(v.action, PATH_FORWARD);
	assert_int_equal(v.target->news.id, 1);
	assert_int_equal(bed_syn(&b, CALLER + 1, VIP, 0).target->news.id, 2);
	bed_close(&b);
}

static void test_dropped_route_resets_its_flows(void **state)
{
	struct bed b;
	struct route_table *next;
	struct path_verdict v;

	(void)state;
	bed_open(&b);
	bed_target(&b, 1, SERVICE, ZONE);
	v = bed_open_flow(&b, CALLER, VIP);
	next = bed_table(&b, 2);
	next->routes[0].vip = NO_VIP;
	directory_routes(b.directory, next, b.now_ns);
	v = bed_data(&b, CALLER, VIP, v.target->cookie, 2, 99, 100);
	assert_int_equal(v.action, PATH_RESET);
	assert_int_equal(v.ack, 99);
	assert_int_equal(bed_syn(&b, CALLER + 1, VIP, 0).action, PATH_RESET);
	bed_close(&b);
}

static void test_configuration_never_goes_back(void **state)
{
	struct bed b;

	(void)state;
	bed_open(&b);
	assert_int_equal(
		directory_routes(b.directory, bed_table(&b, 5), b.now_ns), 0);
	assert_int_equal(directory_routes(b.directory, bed_table(&b, 4),
					  b.now_ns),
			 -EALREADY);
	assert_int_equal(directory_table(b.directory)->version, 5);
	bed_close(&b);
}

/*
 * Symptom: new flows meet a dead target for as long as their deadline.
 * Sequence: a target dies; a SYN to it stays unanswered. Cause: nothing but the
 * client's copy after 200 ms told of it.
 */
static void test_unanswered_syn_goes_elsewhere(void **state)
{
	struct bed b;
	uint64_t first;

	(void)state;
	bed_open(&b);
	bed_target(&b, 1, SERVICE, ZONE);
	bed_target(&b, 2, SERVICE, ZONE);
	first = bed_syn(&b, CALLER, VIP, 0).target->news.id;
	bed_pass(&b, 60 * MS);
	assert_int_equal(b.n_again, 1);
	assert_int_not_equal(b.again[0], first);
	assert_int_equal(bed_open_probes(&b), 1);
	/* New flows avoid it while the probe is out. */
	for (uint32_t i = 1; i < 8; i++)
		assert_int_not_equal(
			bed_syn(&b, CALLER + i, VIP, 0).target->news.id, first);
	bed_close(&b);
}

static void test_times_are_counted_by_class(void **state)
{
	struct bed b;
	struct path_verdict v;
	const struct path_latencies *t;

	(void)state;
	bed_open(&b);
	bed_target(&b, 1, SERVICE, ZONE);
	v = bed_syn(&b, CALLER, REPORT_VIP, 0);
	b.now_ns += 5 * MS;
	bed_data(&b, CALLER, REPORT_VIP, v.target->cookie, 1, 1, 900);
	b.now_ns += 70 * MS;
	bed_data(&b, CALLER, REPORT_VIP, v.target->cookie, 901, 600, 0);
	t = path_latencies(b.path, ROUTE_REPORT);
	assert_int_equal(t->open_us.count, 1);
	assert_int_equal(t->open_us.sum, 5000);
	assert_int_equal(t->answer_us.count, 1);
	assert_int_equal(t->answer_us.sum, 70000);
	assert_int_equal(path_latencies(b.path, ROUTE_FEED)->open_us.count, 0);
	bed_close(&b);
}

static void test_copy_of_a_syn_goes_elsewhere(void **state)
{
	struct bed b;
	uint64_t first;

	(void)state;
	bed_open(&b);
	bed_target(&b, 1, SERVICE, ZONE);
	bed_target(&b, 2, SERVICE, ZONE);
	first = bed_syn(&b, CALLER, VIP, 0).target->news.id;
	b.now_ns += 10 * MS;
	assert_int_not_equal(bed_syn(&b, CALLER, VIP, 1).target->news.id,
			     first);
	bed_close(&b);
}

/*
 * Symptom: clients of a dead target wait out their deadlines. Sequence: a
 * target's process ends with flows open; a request on one stays unanswered.
 * Cause: nobody told the clients.
 */
static void test_refused_probe_ends_the_flows(void **state)
{
	struct bed b;
	struct path_verdict v;
	uint32_t cookie;

	(void)state;
	bed_open(&b);
	bed_target(&b, 1, SERVICE, ZONE);
	v = bed_open_flow(&b, CALLER, VIP);
	cookie = v.target->cookie;
	bed_open_flow(&b, CALLER + 1, VIP);
	b.now_ns += 100 * MS;
	bed_data(&b, CALLER, VIP, cookie, 2, 2, 100);
	bed_pass(&b, 500 * MS);
	assert_int_equal(bed_open_probes(&b), 1);
	bed_answer(&b, 1, PROBE_REFUSED);
	assert_int_equal(b.n_resets, 2);
	assert_int_equal(b.n_dead, 1);
	v = bed_data(&b, CALLER + 1, VIP, cookie, 2, 2, 100);
	assert_int_equal(v.action, PATH_RESET);
	assert_int_equal(bed_syn(&b, CALLER + 2, VIP, 0).reason,
			 PATH_no_target);
	bed_close(&b);
}

/*
 * Symptom: an open flow is reset while its target still serves it. Sequence: the
 * target leaves; an entry doubts it and tries to connect; the target, about to
 * end, listens no more, and refuses. Cause: a refusal was taken for its end.
 */
static void test_leaving_target_refuses_before_it_ends(void **state)
{
	struct bed b;
	struct target_news news;
	struct path_verdict v;
	uint32_t cookie;

	(void)state;
	bed_open(&b);
	news = bed_target(&b, 1, SERVICE, ZONE)->news;
	v = bed_open_flow(&b, CALLER, VIP);
	cookie = v.target->cookie;
	news.leaving = true;
	news.sequence++;
	bed_publish(&b, &news);
	b.now_ns += 100 * MS;
	bed_data(&b, CALLER, VIP, cookie, 2, 2, 100);
	bed_pass(&b, 500 * MS);
	assert_int_equal(bed_open_probes(&b), 1);
	bed_answer(&b, 1, PROBE_REFUSED);
	assert_int_equal(b.n_resets, 0);
	assert_int_equal(b.n_dead, 0);
	v = bed_data(&b, CALLER, VIP, cookie, 2, 2, 100);
	assert_int_equal(v.action, PATH_FORWARD);
	/* Refused again after half a second it has ended. */
	bed_pass(&b, 500 * MS);
	bed_data(&b, CALLER, VIP, cookie, 2, 2, 100);
	assert_int_equal(bed_open_probes(&b), 1);
	bed_answer(&b, 1, PROBE_REFUSED);
	assert_int_equal(b.n_resets, 1);
	assert_int_equal(b.n_dead, 1);
	bed_close(&b);
}

/* What one entry found ends the flows at the others too. */
static void test_told_dead_ends_the_flows(void **state)
{
	struct bed b;

	(void)state;
	bed_open(&b);
	bed_target(&b, 1, SERVICE, ZONE);
	bed_open_flow(&b, CALLER, VIP);
	path_peer_reported_dead(b.path, &(struct incarnation){ 1, 0 });
	assert_int_equal(b.n_resets, 1);
	assert_int_equal(bed_syn(&b, CALLER + 1, VIP, 0).reason,
			 PATH_no_target);
	path_peer_reported_dead(b.path, &(struct incarnation){ 99, 0 });
	bed_close(&b);
}

/*
 * Symptom: live flows are reset. Sequence: this VM's link is full for 200 ms;
 * two probes of a live target go unanswered. Cause: silence was laid to the
 * target; nothing else was asked for comparison.
 */
static void test_full_link_here_condemns_nobody(void **state)
{
	struct bed b;
	struct path_verdict v;

	(void)state;
	bed_open(&b);
	bed_target(&b, 1, SERVICE, ZONE);
	bed_target(&b, 2, SERVICE, ZONE);
	v = bed_open_flow(&b, CALLER, VIP);
	b.now_ns += 100 * MS;
	bed_data(&b, CALLER, VIP, v.target->cookie, 2, 2, 100);
	bed_pass(&b, 500 * MS);
	for (uint32_t i = 0; i < 4; i++) {
		b.now_ns += 60 * MS;
		bed_answer(&b, 1, PROBE_SILENT);
		bed_answer(&b, 2, PROBE_SILENT);
	}
	assert_int_equal(b.n_resets, 0);
	assert_int_not_equal(v.target->health, HEALTH_SILENT);
	bed_close(&b);
}

static void test_silence_beside_a_witness_ends_the_flows(void **state)
{
	struct bed b;
	struct path_verdict v;
	uint64_t witness;

	(void)state;
	bed_open(&b);
	bed_target(&b, 1, SERVICE, ZONE);
	bed_target(&b, 2, SERVICE, ZONE);
	v = bed_open_flow(&b, CALLER, VIP);
	witness = 3 - v.target->news.id;
	b.now_ns += 100 * MS;
	bed_data(&b, CALLER, VIP, v.target->cookie, 2, 2, 100);
	bed_pass(&b, 500 * MS);
	b.now_ns += 60 * MS;
	bed_answer(&b, v.target->news.id, PROBE_SILENT);
	bed_answer(&b, witness, PROBE_OPEN);
	b.now_ns += 60 * MS;
	bed_answer(&b, v.target->news.id, PROBE_SILENT);
	assert_int_equal(v.target->health, HEALTH_SILENT);
	assert_int_equal(b.n_resets, 1);
	/* It was only paused. */
	bed_pass(&b, 600 * MS);
	bed_answer(&b, v.target->news.id, PROBE_OPEN);
	assert_int_equal(v.target->health, HEALTH_GOOD);
	bed_close(&b);
}

/*
 * Symptom: an open flow is reset while its target serves. Sequence: the link
 * keeps packets for 60 ms; connection attempts to a target nearby are answered
 * just before the time limit, those to one farther away just after it. Cause: an
 * attempt's answer no longer counted then.
 */
static void test_late_answer_is_a_sign_of_life(void **state)
{
	struct bed b;
	struct path_verdict v;
	uint64_t target, witness;

	(void)state;
	bed_open(&b);
	bed_target(&b, 1, SERVICE, ZONE);
	bed_target(&b, 2, SERVICE, ZONE);
	v = bed_open_flow(&b, CALLER, VIP);
	target = v.target->news.id;
	witness = 3 - target;
	b.now_ns += 100 * MS;
	bed_data(&b, CALLER, VIP, v.target->cookie, 2, 2, 100);
	bed_pass(&b, 500 * MS);
	for (uint32_t i = 0; i < 4; i++) {
		b.now_ns += 60 * MS;
		bed_answer(&b, target, PROBE_SILENT);
		b.now_ns += 2 * MS;
		bed_answer_late(&b, target, PROBE_OPEN);
		bed_answer(&b, witness, PROBE_OPEN);
	}
	assert_int_not_equal(v.target->health, HEALTH_SILENT);
	assert_int_equal(b.n_resets, 0);
	bed_close(&b);
}

/*
 * Symptom: half of all targets look silent at once, and their flows are reset.
 * Sequence: the link is full; an attempt at the witness from before is answered
 * late, while all that went out since is on its way. Cause: that answer counted
 * as one to the attempt that was made last.
 */
static void test_late_answer_is_no_witness_for_what_came_after(void **state)
{
	struct bed b;
	struct path_verdict v;
	uint64_t target, witness;

	(void)state;
	bed_open(&b);
	bed_target(&b, 1, SERVICE, ZONE);
	bed_target(&b, 2, SERVICE, ZONE);
	v = bed_open_flow(&b, CALLER, VIP);
	target = v.target->news.id;
	witness = 3 - target;
	b.now_ns += 100 * MS;
	bed_data(&b, CALLER, VIP, v.target->cookie, 2, 2, 100);
	bed_pass(&b, 500 * MS);
	b.now_ns += 60 * MS;
	bed_answer(&b, target, PROBE_SILENT);
	for (uint32_t i = 0; i < 3; i++) {
		b.now_ns += 60 * MS;
		bed_answer(&b, witness, PROBE_SILENT);
		bed_answer_late(&b, witness, PROBE_OPEN);
		bed_answer(&b, target, PROBE_SILENT);
	}
	assert_int_not_equal(v.target->health, HEALTH_SILENT);
	assert_int_equal(b.n_resets, 0);
	bed_close(&b);
}

/*
 * Symptom: flows of most targets are reset at once. Sequence: the link is full
 * for half a second; all targets are doubted within it, so that none is left to
 * compare with. Cause: a target without any other to compare with is condemned
 * after a few more attempts.
 */
static void test_all_doubted_at_once_condemns_nobody(void **state)
{
	struct bed b;
	struct path_verdict v[2];

	(void)state;
	bed_open(&b);
	bed_target(&b, 1, SERVICE, ZONE);
	v[0] = bed_open_flow(&b, CALLER, VIP);
	bed_target(&b, 2, SERVICE, ZONE);
	while ((v[1] = bed_open_flow(&b, CALLER + 1, VIP)).target->news.id != 2)
		;
	b.now_ns += 100 * MS;
	for (uint32_t i = 0; i < 2; i++)
		bed_data(&b, CALLER + i, VIP, v[i].target->cookie, 2, 2, 100);
	bed_pass(&b, 500 * MS);
	assert_int_equal(v[0].target->health, HEALTH_DOUBTED);
	assert_int_equal(v[1].target->health, HEALTH_DOUBTED);
	for (uint32_t i = 0; i < 8; i++) {
		b.now_ns += 60 * MS;
		bed_answer(&b, 1, PROBE_SILENT);
		bed_answer(&b, 2, PROBE_SILENT);
	}
	assert_int_equal(b.n_resets, 0);
	bed_close(&b);
}

/* A sign of life after an attempt went out ends what that attempt says. */
static void test_silence_before_a_sign_of_life_is_void(void **state)
{
	struct bed b;
	struct path_verdict v;
	uint64_t target;

	(void)state;
	bed_open(&b);
	bed_target(&b, 1, SERVICE, ZONE);
	bed_target(&b, 2, SERVICE, ZONE);
	v = bed_open_flow(&b, CALLER, VIP);
	target = v.target->news.id;
	b.now_ns += 100 * MS;
	bed_data(&b, CALLER, VIP, v.target->cookie, 2, 2, 100);
	bed_pass(&b, 500 * MS);
	bed_data(&b, CALLER, VIP, v.target->cookie, 102, 50, 0);
	b.now_ns += 10 * MS;
	bed_answer(&b, target, PROBE_SILENT);
	assert_int_equal(v.target->misses, 0);
	assert_int_equal(v.target->health, HEALTH_GOOD);
	bed_close(&b);
}

/*
 * Symptom: each opening packet goes to two targets. Sequence: a document fills
 * the link, and handshakes take longer than the time after which they are begun
 * elsewhere. Cause: that time was the same on any link.
 */
static void test_slow_handshakes_are_waited_for(void **state)
{
	struct bed b;
	uint64_t caller = CALLER;
	uint32_t again;

	(void)state;
	bed_open(&b);
	bed_target(&b, 1, SERVICE, ZONE);
	bed_target(&b, 2, SERVICE, ZONE);
	for (uint32_t i = 0; i < 40; i++, caller++) {
		struct path_verdict v = bed_syn(&b, caller, VIP, 0);

		bed_pass(&b, 60 * MS);
		bed_data(&b, caller, VIP, v.target->cookie, 1, 1, 0);
	}
	again = b.n_again;
	assert_int_not_equal(again, 0);
	bed_syn(&b, caller, VIP, 0);
	bed_pass(&b, 80 * MS);
	assert_int_equal(b.n_again, again);
	bed_close(&b);
}

/*
 * Symptom: targets are doubted and connected to many times a second on a calm
 * day, and get no new flows meanwhile. Sequence: packets of an upload overtake
 * each other. Cause: one older than the newest counted as a repeat.
 */
static void test_packets_that_were_overtaken_doubt_nobody(void **state)
{
	struct bed b;
	struct path_verdict v;
	uint32_t cookie;

	(void)state;
	bed_open(&b);
	bed_target(&b, 1, SERVICE, ZONE);
	v = bed_open_flow(&b, CALLER, REPORT_VIP);
	cookie = v.target->cookie;
	b.now_ns += 10 * MS;
	bed_data(&b, CALLER, REPORT_VIP, cookie, 2402, 1, 1200);
	bed_data(&b, CALLER, REPORT_VIP, cookie, 1202, 1, 1200);
	b.now_ns += 3 * MS;
	bed_data(&b, CALLER, REPORT_VIP, cookie, 2, 1, 1200);
	assert_int_equal(b.n_probes, 0);
	assert_int_equal(v.target->health, HEALTH_GOOD);
	/* The client's own repeat does. */
	b.now_ns += 200 * MS;
	bed_data(&b, CALLER, REPORT_VIP, cookie, 2, 1, 1200);
	assert_int_equal(b.n_probes, 1);
	bed_close(&b);
}

/*
 * Symptom: after a pause of this VM, healthy targets are out of use. Sequence:
 * the process does not run for seconds; all that was due is overdue. Cause:
 * the answers lay unread in the socket.
 */
static void test_own_pause_doubts_nobody(void **state)
{
	struct bed b;
	struct path_verdict v;

	(void)state;
	bed_open(&b);
	bed_target(&b, 1, SERVICE, ZONE);
	v = bed_open_flow(&b, CALLER, VIP);
	b.now_ns += 100 * MS;
	bed_data(&b, CALLER, VIP, v.target->cookie, 2, 2, 100);
	b.now_ns += 500 * MS;
	path_process_stalled(b.path, b.now_ns);
	bed_pass(&b, 40 * MS);
	assert_int_equal(b.n_probes, 0);
	assert_int_equal(v.target->health, HEALTH_GOOD);
	bed_close(&b);
}

static void test_leaving_target_keeps_flows_and_gets_none(void **state)
{
	struct bed b;
	struct target *t;
	struct path_verdict v;
	struct target_news news;

	(void)state;
	bed_open(&b);
	t = bed_target(&b, 1, SERVICE, ZONE);
	v = bed_open_flow(&b, CALLER, VIP);
	bed_target(&b, 2, SERVICE, ZONE);
	news = t->news;
	news.leaving = true;
	bed_publish(&b, &news);
	for (uint32_t i = 1; i < 16; i++)
		assert_int_equal(
			bed_syn(&b, CALLER + i, VIP, 0).target->news.id, 2);
	v = bed_data(&b, CALLER, VIP, t->cookie, 2, 2, 100);
	assert_int_equal(v.action, PATH_FORWARD);
	assert_int_equal(v.target->news.id, 1);
	bed_close(&b);
}

/*
 * Symptom: a service has no targets for seconds though all live. Sequence: the
 * platform is away; the targets' entries run out; it comes back without them.
 * Cause: entries that lapsed were taken for targets that left.
 */
static void test_lapsed_entries_are_presumed_to_live(void **state)
{
	struct bed b;

	(void)state;
	bed_open(&b);
	bed_target(&b, 1, SERVICE, ZONE);
	bed_absent(&b, 1, b.now_ns);
	assert_int_equal(bed_syn(&b, CALLER, VIP, 0).action, PATH_FORWARD);
	b.now_ns += 2600 * MS;
	directory_tick(b.directory,
		       &(struct directory_clock){
			       b.now_ns, b.now_ns - 2600 * MS, b.now_ns });
	assert_int_equal(bed_syn(&b, CALLER + 1, VIP, 0).action, PATH_RESET);
	bed_close(&b);
}

/*
 * Symptom: all requests of a data centre that is cut off are refused though its
 * targets live. Sequence: the platform is away and entries lapse; it comes
 * back; before the entries are renewed the data centre is cut off from it.
 * Cause: the time for their return ran out unseen, and they counted as gone.
 */
static void test_cut_off_before_the_return_keeps_presuming(void **state)
{
	struct bed b;
	uint64_t back_ns;

	(void)state;
	bed_open(&b);
	bed_target(&b, 1, SERVICE, ZONE);
	back_ns = b.now_ns;
	bed_absent(&b, 1, back_ns);
	b.now_ns += 10 * NS_PER_S;
	directory_tick(b.directory,
		       &(struct directory_clock){ b.now_ns, back_ns,
						  back_ns + 100 * MS });
	assert_int_equal(bed_syn(&b, CALLER, VIP, 0).action, PATH_FORWARD);
	/* Answered again, and the entry is still missing. */
	directory_tick(b.directory, &(struct directory_clock){
					    b.now_ns, back_ns, b.now_ns });
	assert_int_equal(bed_syn(&b, CALLER + 1, VIP, 0).action, PATH_RESET);
	bed_close(&b);
}

static void test_deletion_on_a_calm_platform_counts_at_once(void **state)
{
	struct bed b;

	(void)state;
	bed_open(&b);
	bed_target(&b, 1, SERVICE, ZONE);
	bed_absent(&b, 1, 0);
	assert_int_equal(bed_syn(&b, CALLER, VIP, 0).action, PATH_RESET);
	bed_close(&b);
}

/*
 * Symptom: packets of a flow get no answer for as long as the client tries.
 * Sequence: a target dies and its address passes on to another one. Cause: the
 * address alone looked alive.
 */
static void test_address_used_again_ends_the_earlier_target(void **state)
{
	struct bed b;
	struct target *t;
	struct target_news news;
	uint32_t cookie;

	(void)state;
	bed_open(&b);
	t = bed_target(&b, 1, SERVICE, ZONE);
	bed_open_flow(&b, CALLER, VIP);
	bed_open_flow(&b, CALLER + 1, VIP);
	cookie = t->cookie;
	news = t->news;
	news.id = news.entry = 9;
	news.created.revision = 9;
	news.service = directory_name(b.directory, OTHER_SERVICE);
	bed_publish(&b, &news);
	assert_int_equal(bed_syn(&b, CALLER + 2, VIP, 0).action, PATH_RESET);
	/* The first request that is not answered shows it, at once for all. */
	bed_pass(&b, 20 * MS);
	assert_int_equal(bed_data(&b, CALLER, VIP, cookie, 2, 1, 9).action,
			 PATH_FORWARD);
	bed_pass(&b, 420 * MS);
	assert_int_equal(b.n_probes, 0);
	assert_int_equal(b.n_resets, 2);
	assert_int_equal(bed_data(&b, CALLER, VIP, cookie, 2, 2, 9).action,
			 PATH_RESET);
	bed_close(&b);
}

static void test_no_routes_yet_drops(void **state)
{
	struct directory_conf dir = { 60 * NS_PER_S, 2500 * MS };
	struct path_conf conf = { .flows_max = 16 };
	struct directory *d = directory_new(&dir);
	struct path *p =
		path_new(&conf, d, (struct path_port){ 0 }, (struct rng){ 1 });
	struct packet k = { .flow = { CALLER, VIP }, .flags = PACKET_SYN };
	struct path_verdict v;

	(void)state;
	path_packet(p, &k, true, 1, &v);
	assert_int_equal(v.action, PATH_DROP);
	path_free(p);
	directory_free(d);
}

static void test_route_missing_here_but_not_at_peers_drops(void **state)
{
	struct bed b;
	struct packet k = { .flow = { CALLER, NO_VIP }, .flags = PACKET_SYN };
	struct path_verdict v;

	(void)state;
	bed_open(&b);
	path_packet(b.path, &k, false, b.now_ns, &v);
	assert_int_equal(v.action, PATH_DROP);
	path_packet(b.path, &k, true, b.now_ns, &v);
	assert_int_equal(v.action, PATH_RESET);
	bed_close(&b);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_cookie_leads_to_its_target_at_any_entry),
		cmocka_unit_test(test_cookie_of_another_service_is_dropped),
		cmocka_unit_test(test_unknown_cookie_is_never_reset),
		cmocka_unit_test(test_changed_route_leaves_open_flows),
		cmocka_unit_test(test_dropped_route_resets_its_flows),
		cmocka_unit_test(test_configuration_never_goes_back),
		cmocka_unit_test(test_unanswered_syn_goes_elsewhere),
		cmocka_unit_test(test_times_are_counted_by_class),
		cmocka_unit_test(test_copy_of_a_syn_goes_elsewhere),
		cmocka_unit_test(test_refused_probe_ends_the_flows),
		cmocka_unit_test(test_leaving_target_refuses_before_it_ends),
		cmocka_unit_test(test_told_dead_ends_the_flows),
		cmocka_unit_test(test_full_link_here_condemns_nobody),
		cmocka_unit_test(test_silence_beside_a_witness_ends_the_flows),
		cmocka_unit_test(test_late_answer_is_a_sign_of_life),
		cmocka_unit_test(
			test_late_answer_is_no_witness_for_what_came_after),
		cmocka_unit_test(test_all_doubted_at_once_condemns_nobody),
		cmocka_unit_test(test_silence_before_a_sign_of_life_is_void),
		cmocka_unit_test(test_slow_handshakes_are_waited_for),
		cmocka_unit_test(test_packets_that_were_overtaken_doubt_nobody),
		cmocka_unit_test(test_own_pause_doubts_nobody),
		cmocka_unit_test(test_leaving_target_keeps_flows_and_gets_none),
		cmocka_unit_test(test_lapsed_entries_are_presumed_to_live),
		cmocka_unit_test(
			test_cut_off_before_the_return_keeps_presuming),
		cmocka_unit_test(
			test_deletion_on_a_calm_platform_counts_at_once),
		cmocka_unit_test(
			test_address_used_again_ends_the_earlier_target),
		cmocka_unit_test(test_no_routes_yet_drops),
		cmocka_unit_test(
			test_route_missing_here_but_not_at_peers_drops),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
