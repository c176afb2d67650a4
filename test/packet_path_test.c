/* Decisions on packets: cookies, routes, failed targets, repeated SYNs. */
#include "packet_bed.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <errno.h>
#include <cmocka.h>

#define CALLER ADDR(0x64400001, 1000)

/*
 * Open flows would break at another entry if cookies depended on the order in
 * which entries learn of targets.
 */
static void test_cookie_selects_same_target_at_all_entries(void **state)
{
	struct bed a, b;
	struct path_verdict v;

	(void)state;
	bed_open(&a);
	bed_open(&b);
	bed_target(&a, 1, SERVICE, ZONE);
	bed_target(&a, 2, SERVICE, ZONE);
	/* The other entry learns of the targets in another order. */
	bed_target(&b, 2, SERVICE, ZONE);
	bed_target(&b, 1, SERVICE, ZONE);
	for (uint32_t i = 0; i < 16; i++) {
		v = bed_open_flow(&a, CALLER + i, VIP);
		assert_int_equal(v.action, PATH_FORWARD);
		assert_int_equal(bed_data(&b, CALLER + i, VIP, v.target->cookie,
					  1, 1, 100)
					 .target->advertised.id,
				 v.target->advertised.id);
	}
	bed_close(&a);
	bed_close(&b);
}

/*
 * A client must not reach a service that its route does not have by forging the
 * cookie of one of that service's targets.
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

/* The flow may be alive at a target that this entry has not learned of yet. */
static void test_unknown_cookie_is_dropped_without_reset(void **state)
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
 * Feeds would break when their route gets another service, if the route instead
 * of the cookie selected the target of their packets.
 */
static void test_changed_route_keeps_open_flows(void **state)
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
	assert_int_equal(v.target->advertised.id, 1);
	next = bed_table(&b, 2);
	next->routes[0].shares[0].service =
		directory_add_service(b.directory, OTHER_SERVICE);
	assert_int_equal(directory_set_routes(b.directory, next, b.now_ns), 0);
	v = bed_data(&b, CALLER, VIP, v.target->cookie, 2, 2, 100);
	assert_int_equal(v.action, PATH_FORWARD);
	assert_int_equal(v.target->advertised.id, 1);
	assert_int_equal(bed_syn(&b, CALLER + 1, VIP, 0).target->advertised.id,
			 2);
	bed_close(&b);
}

static void test_removed_route_resets_its_flows(void **state)
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
	directory_set_routes(b.directory, next, b.now_ns);
	v = bed_data(&b, CALLER, VIP, v.target->cookie, 2, 99, 100);
	assert_int_equal(v.action, PATH_RESET);
	assert_int_equal(v.ack, 99);
	assert_int_equal(bed_syn(&b, CALLER + 1, VIP, 0).action, PATH_RESET);
	bed_close(&b);
}

static void test_older_configuration_is_rejected(void **state)
{
	struct bed b;

	(void)state;
	bed_open(&b);
	assert_int_equal(directory_set_routes(b.directory, bed_table(&b, 5),
					      b.now_ns),
			 0);
	assert_int_equal(directory_set_routes(b.directory, bed_table(&b, 4),
					      b.now_ns),
			 -EALREADY);
	assert_int_equal(directory_route_table(b.directory)->version, 5);
	bed_close(&b);
}

/*
 * New flows would fail until their deadline when a target dies, if only the
 * client's repeated SYN after 200 ms showed that the target does not answer.
 */
static void test_unanswered_syn_is_sent_to_another_target(void **state)
{
	struct bed b;
	uint64_t first;

	(void)state;
	bed_open(&b);
	bed_target(&b, 1, SERVICE, ZONE);
	bed_target(&b, 2, SERVICE, ZONE);
	first = bed_syn(&b, CALLER, VIP, 0).target->advertised.id;
	bed_advance(&b, 60 * MS);
	assert_int_equal(b.n_resent, 1);
	assert_int_not_equal(b.resent_to[0], first);
	assert_int_equal(bed_pending_probes(&b), 1);
	/* New flows avoid the target while the probe is pending. */
	for (uint32_t i = 1; i < 8; i++)
		assert_int_not_equal(
			bed_syn(&b, CALLER + i, VIP, 0).target->advertised.id,
			first);
	bed_close(&b);
}

static void test_latencies_are_recorded_by_route_kind(void **state)
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

static void test_repeated_syn_is_sent_to_another_target(void **state)
{
	struct bed b;
	uint64_t first;

	(void)state;
	bed_open(&b);
	bed_target(&b, 1, SERVICE, ZONE);
	bed_target(&b, 2, SERVICE, ZONE);
	first = bed_syn(&b, CALLER, VIP, 0).target->advertised.id;
	b.now_ns += 10 * MS;
	assert_int_not_equal(bed_syn(&b, CALLER, VIP, 1).target->advertised.id,
			     first);
	bed_close(&b);
}

/*
 * Clients of a dead target would wait until their deadlines. Its process ends
 * with open flows, a request on one of them stays unanswered, and the probe is
 * refused.
 */
static void test_refused_probe_resets_flows_of_target(void **state)
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
	bed_advance(&b, 500 * MS);
	assert_int_equal(bed_pending_probes(&b), 1);
	bed_end_probes(&b, 1, PROBE_REFUSED);
	assert_int_equal(b.n_resets, 2);
	assert_int_equal(b.n_dead, 1);
	v = bed_data(&b, CALLER + 1, VIP, cookie, 2, 2, 100);
	assert_int_equal(v.action, PATH_RESET);
	assert_int_equal(bed_syn(&b, CALLER + 2, VIP, 0).reason,
			 PATH_no_target);
	bed_close(&b);
}

/*
 * An open flow would be reset while its target still serves it: a leaving
 * target that is about to end no longer listens and refuses the probe, but its
 * process has not ended.
 */
static void test_one_refusal_of_leaving_target_keeps_flows(void **state)
{
	struct bed b;
	struct target_advertisement news;
	struct path_verdict v;
	uint32_t cookie;

	(void)state;
	bed_open(&b);
	news = bed_target(&b, 1, SERVICE, ZONE)->advertised;
	v = bed_open_flow(&b, CALLER, VIP);
	cookie = v.target->cookie;
	news.leaving = true;
	news.sequence++;
	bed_publish(&b, &news);
	b.now_ns += 100 * MS;
	bed_data(&b, CALLER, VIP, cookie, 2, 2, 100);
	bed_advance(&b, 500 * MS);
	assert_int_equal(bed_pending_probes(&b), 1);
	bed_end_probes(&b, 1, PROBE_REFUSED);
	assert_int_equal(b.n_resets, 0);
	assert_int_equal(b.n_dead, 0);
	v = bed_data(&b, CALLER, VIP, cookie, 2, 2, 100);
	assert_int_equal(v.action, PATH_FORWARD);
	/* A second refusal after half a second shows that it has ended. */
	bed_advance(&b, 500 * MS);
	bed_data(&b, CALLER, VIP, cookie, 2, 2, 100);
	assert_int_equal(bed_pending_probes(&b), 1);
	bed_end_probes(&b, 1, PROBE_REFUSED);
	assert_int_equal(b.n_resets, 1);
	assert_int_equal(b.n_dead, 1);
	bed_close(&b);
}

static void test_dead_target_reported_by_peer_resets_flows(void **state)
{
	struct bed b;

	(void)state;
	bed_open(&b);
	bed_target(&b, 1, SERVICE, ZONE);
	bed_open_flow(&b, CALLER, VIP);
	path_peer_reported_dead(b.path, &(struct incarnation){ 1, 0 },
				b.now_ns);
	assert_int_equal(b.n_resets, 1);
	assert_int_equal(bed_syn(&b, CALLER + 1, VIP, 0).reason,
			 PATH_no_target);
	path_peer_reported_dead(b.path, &(struct incarnation){ 99, 0 },
				b.now_ns);
	bed_close(&b);
}

/*
 * Flows of live targets would be reset when this VM's link is full for 200 ms
 * and two probes of a target go unanswered, if no other target were probed for
 * comparison.
 */
static void test_full_link_of_this_vm_resets_no_flows(void **state)
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
	bed_advance(&b, 500 * MS);
	for (uint32_t i = 0; i < 4; i++) {
		b.now_ns += 60 * MS;
		bed_end_probes(&b, 1, PROBE_SILENT);
		bed_end_probes(&b, 2, PROBE_SILENT);
	}
	assert_int_equal(b.n_resets, 0);
	assert_int_not_equal(v.target->health, HEALTH_SILENT);
	bed_close(&b);
}

static void test_silent_target_resets_flows_when_witness_answers(void **state)
{
	struct bed b;
	struct path_verdict v;
	uint64_t witness;

	(void)state;
	bed_open(&b);
	bed_target(&b, 1, SERVICE, ZONE);
	bed_target(&b, 2, SERVICE, ZONE);
	v = bed_open_flow(&b, CALLER, VIP);
	witness = 3 - v.target->advertised.id;
	b.now_ns += 100 * MS;
	bed_data(&b, CALLER, VIP, v.target->cookie, 2, 2, 100);
	bed_advance(&b, 500 * MS);
	b.now_ns += 60 * MS;
	bed_end_probes(&b, v.target->advertised.id, PROBE_SILENT);
	bed_end_probes(&b, witness, PROBE_ACCEPTED);
	b.now_ns += 60 * MS;
	bed_end_probes(&b, v.target->advertised.id, PROBE_SILENT);
	assert_int_equal(v.target->health, HEALTH_SILENT);
	assert_int_equal(b.n_resets, 1);
	/* The target was only paused. */
	bed_advance(&b, 600 * MS);
	bed_end_probes(&b, v.target->advertised.id, PROBE_ACCEPTED);
	assert_int_equal(v.target->health, HEALTH_GOOD);
	bed_close(&b);
}

/* A target that this VM has no room to probe would count as pending for good,
 * and never be found dead. */
static void test_target_is_probed_later_without_room_now(void **state)
{
	struct bed b;
	struct path_verdict v;

	(void)state;
	bed_open(&b);
	bed_target(&b, 1, SERVICE, ZONE);
	v = bed_open_flow(&b, CALLER, VIP);
	b.probe_err = -EBUSY;
	b.now_ns += 100 * MS;
	bed_data(&b, CALLER, VIP, v.target->cookie, 2, 2, 100);
	bed_advance(&b, 500 * MS);
	assert_int_equal(bed_pending_probes(&b), 0);
	assert_int_equal(v.target->health, HEALTH_GOOD);
	assert_int_equal(b.n_resets, 0);
	b.probe_err = 0;
	bed_data(&b, CALLER, VIP, v.target->cookie, 2, 2, 100);
	bed_advance(&b, 500 * MS);
	assert_int_equal(bed_pending_probes(&b), 1);
	bed_end_probes(&b, 1, PROBE_REFUSED);
	assert_int_equal(b.n_dead, 1);
	bed_close(&b);
}

/*
 * An open flow would be reset while its target serves: the link delays packets
 * by 60 ms, so that probes of a near target are answered just before the time
 * limit and those of a distant one just after it. Late answers have to count.
 */
static void test_late_probe_answer_shows_target_alive(void **state)
{
	struct bed b;
	struct path_verdict v;
	uint64_t target, witness;

	(void)state;
	bed_open(&b);
	bed_target(&b, 1, SERVICE, ZONE);
	bed_target(&b, 2, SERVICE, ZONE);
	v = bed_open_flow(&b, CALLER, VIP);
	target = v.target->advertised.id;
	witness = 3 - target;
	b.now_ns += 100 * MS;
	bed_data(&b, CALLER, VIP, v.target->cookie, 2, 2, 100);
	bed_advance(&b, 500 * MS);
	for (uint32_t i = 0; i < 4; i++) {
		b.now_ns += 60 * MS;
		bed_end_probes(&b, target, PROBE_SILENT);
		b.now_ns += 2 * MS;
		bed_end_first_probe_late(&b, target, PROBE_ACCEPTED);
		bed_end_probes(&b, witness, PROBE_ACCEPTED);
	}
	assert_int_not_equal(v.target->health, HEALTH_SILENT);
	assert_int_equal(b.n_resets, 0);
	bed_close(&b);
}

/*
 * Half of all targets would look silent at once and their flows be reset: on a
 * full link a probe of the witness is answered late, while all later probes are
 * still on their way. Its answer counts for the time when that probe was sent.
 */
static void test_late_witness_answer_does_not_cover_later_probes(void **state)
{
	struct bed b;
	struct path_verdict v;
	uint64_t target, witness;

	(void)state;
	bed_open(&b);
	bed_target(&b, 1, SERVICE, ZONE);
	bed_target(&b, 2, SERVICE, ZONE);
	v = bed_open_flow(&b, CALLER, VIP);
	target = v.target->advertised.id;
	witness = 3 - target;
	b.now_ns += 100 * MS;
	bed_data(&b, CALLER, VIP, v.target->cookie, 2, 2, 100);
	bed_advance(&b, 500 * MS);
	b.now_ns += 60 * MS;
	bed_end_probes(&b, target, PROBE_SILENT);
	for (uint32_t i = 0; i < 3; i++) {
		b.now_ns += 60 * MS;
		bed_end_probes(&b, witness, PROBE_SILENT);
		bed_end_first_probe_late(&b, witness, PROBE_ACCEPTED);
		bed_end_probes(&b, target, PROBE_SILENT);
	}
	assert_int_not_equal(v.target->health, HEALTH_SILENT);
	assert_int_equal(b.n_resets, 0);
	bed_close(&b);
}

/*
 * Flows of most targets would be reset when the link is full for half a second:
 * all targets are suspected in that time, so that no target is left to compare
 * with, and one without a witness counts as silent after a few more probes.
 */
static void test_all_targets_suspected_at_once_resets_no_flows(void **state)
{
	struct bed b;
	struct path_verdict v[2];

	(void)state;
	bed_open(&b);
	bed_target(&b, 1, SERVICE, ZONE);
	v[0] = bed_open_flow(&b, CALLER, VIP);
	bed_target(&b, 2, SERVICE, ZONE);
	while ((v[1] = bed_open_flow(&b, CALLER + 1, VIP))
		       .target->advertised.id != 2)
		;
	b.now_ns += 100 * MS;
	for (uint32_t i = 0; i < 2; i++)
		bed_data(&b, CALLER + i, VIP, v[i].target->cookie, 2, 2, 100);
	bed_advance(&b, 500 * MS);
	assert_int_equal(v[0].target->health, HEALTH_SUSPECTED);
	assert_int_equal(v[1].target->health, HEALTH_SUSPECTED);
	for (uint32_t i = 0; i < 8; i++) {
		b.now_ns += 60 * MS;
		bed_end_probes(&b, 1, PROBE_SILENT);
		bed_end_probes(&b, 2, PROBE_SILENT);
	}
	assert_int_equal(b.n_resets, 0);
	bed_close(&b);
}

/* A sign of life that comes after a probe was sent overrides its silence. */
static void test_probe_silence_is_void_after_sign_of_life(void **state)
{
	struct bed b;
	struct path_verdict v;
	uint64_t target;

	(void)state;
	bed_open(&b);
	bed_target(&b, 1, SERVICE, ZONE);
	bed_target(&b, 2, SERVICE, ZONE);
	v = bed_open_flow(&b, CALLER, VIP);
	target = v.target->advertised.id;
	b.now_ns += 100 * MS;
	bed_data(&b, CALLER, VIP, v.target->cookie, 2, 2, 100);
	bed_advance(&b, 500 * MS);
	bed_data(&b, CALLER, VIP, v.target->cookie, 102, 50, 0);
	b.now_ns += 10 * MS;
	bed_end_probes(&b, target, PROBE_SILENT);
	assert_int_equal(v.target->probe_misses, 0);
	assert_int_equal(v.target->health, HEALTH_GOOD);
	bed_close(&b);
}

/*
 * Each SYN would go to two targets while a document fills the link and
 * handshakes take longer than a fixed time limit.
 */
static void test_handshake_timeout_follows_slow_handshakes(void **state)
{
	struct bed b;
	uint64_t caller = CALLER;
	uint32_t resent;

	(void)state;
	bed_open(&b);
	bed_target(&b, 1, SERVICE, ZONE);
	bed_target(&b, 2, SERVICE, ZONE);
	for (uint32_t i = 0; i < 40; i++, caller++) {
		struct path_verdict v = bed_syn(&b, caller, VIP, 0);

		bed_advance(&b, 60 * MS);
		bed_data(&b, caller, VIP, v.target->cookie, 1, 1, 0);
	}
	resent = b.n_resent;
	assert_int_not_equal(resent, 0);
	bed_syn(&b, caller, VIP, 0);
	bed_advance(&b, 80 * MS);
	assert_int_equal(b.n_resent, resent);
	bed_close(&b);
}

/*
 * Targets would be suspected many times a second without any fault, and get no
 * new flows meanwhile, if a packet of an upload that another one overtook
 * counted as a repeat.
 */
static void test_reordered_packets_suspect_no_target(void **state)
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
	/* A repeat that the client sends after a pause does suspect it. */
	b.now_ns += 200 * MS;
	bed_data(&b, CALLER, REPORT_VIP, cookie, 2, 1, 1200);
	assert_int_equal(b.n_probes, 1);
	bed_close(&b);
}

/*
 * Healthy targets would be out of use after this process did not run for
 * seconds: all answers are overdue, since they are unread in the socket.
 */
static void test_stall_of_this_process_suspects_no_target(void **state)
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
	bed_advance(&b, 40 * MS);
	assert_int_equal(b.n_probes, 0);
	assert_int_equal(v.target->health, HEALTH_GOOD);
	bed_close(&b);
}

static void test_leaving_target_keeps_flows_and_gets_no_new_ones(void **state)
{
	struct bed b;
	struct target *t;
	struct path_verdict v;
	struct target_advertisement news;

	(void)state;
	bed_open(&b);
	t = bed_target(&b, 1, SERVICE, ZONE);
	v = bed_open_flow(&b, CALLER, VIP);
	bed_target(&b, 2, SERVICE, ZONE);
	news = t->advertised;
	news.leaving = true;
	bed_publish(&b, &news);
	for (uint32_t i = 1; i < 16; i++)
		assert_int_equal(
			bed_syn(&b, CALLER + i, VIP, 0).target->advertised.id,
			2);
	v = bed_data(&b, CALLER, VIP, t->cookie, 2, 2, 100);
	assert_int_equal(v.action, PATH_FORWARD);
	assert_int_equal(v.target->advertised.id, 1);
	bed_close(&b);
}

/*
 * A service would have no targets for seconds though all live: the records of
 * its targets lapse while the platform does not answer, and are missing when it
 * answers again. They must not count as deleted.
 */
static void test_targets_with_lapsed_records_get_flows(void **state)
{
	struct bed b;

	(void)state;
	bed_open(&b);
	bed_target(&b, 1, SERVICE, ZONE);
	bed_remove_entry(&b, 1, b.now_ns);
	assert_int_equal(bed_syn(&b, CALLER, VIP, 0).action, PATH_FORWARD);
	b.now_ns += 2600 * MS;
	directory_tick(b.directory,
		       &(struct directory_tick_times){
			       b.now_ns, b.now_ns - 2600 * MS, b.now_ns });
	assert_int_equal(bed_syn(&b, CALLER + 1, VIP, 0).action, PATH_RESET);
	bed_close(&b);
}

/*
 * All requests of a partitioned data centre would be refused though its targets
 * live: records lapse in an outage of the platform, and before they are renewed
 * the data centre is partitioned from it. The time to renew them must not run
 * out without an answer of the platform.
 */
static void test_lapsed_records_survive_partition_after_outage(void **state)
{
	struct bed b;
	uint64_t recovered_ns;

	(void)state;
	bed_open(&b);
	bed_target(&b, 1, SERVICE, ZONE);
	recovered_ns = b.now_ns;
	bed_remove_entry(&b, 1, recovered_ns);
	b.now_ns += 10 * NS_PER_S;
	directory_tick(b.directory, &(struct directory_tick_times){
					    b.now_ns, recovered_ns,
					    recovered_ns + 100 * MS });
	assert_int_equal(bed_syn(&b, CALLER, VIP, 0).action, PATH_FORWARD);
	/* The platform answers again, and the record is still missing. */
	directory_tick(b.directory, &(struct directory_tick_times){
					    b.now_ns, recovered_ns, b.now_ns });
	assert_int_equal(bed_syn(&b, CALLER + 1, VIP, 0).action, PATH_RESET);
	bed_close(&b);
}

static void test_deleted_record_gets_no_flows_without_outage(void **state)
{
	struct bed b;

	(void)state;
	bed_open(&b);
	bed_target(&b, 1, SERVICE, ZONE);
	bed_remove_entry(&b, 1, 0);
	assert_int_equal(bed_syn(&b, CALLER, VIP, 0).action, PATH_RESET);
	bed_close(&b);
}

/*
 * Packets of a flow would get no answer for as long as the client tries: its
 * target dies and another one gets its address, which then looks alive.
 */
static void test_reused_address_ends_earlier_target(void **state)
{
	struct bed b;
	struct target *t;
	struct target_advertisement news;
	uint32_t cookie;

	(void)state;
	bed_open(&b);
	t = bed_target(&b, 1, SERVICE, ZONE);
	bed_open_flow(&b, CALLER, VIP);
	bed_open_flow(&b, CALLER + 1, VIP);
	cookie = t->cookie;
	news = t->advertised;
	news.id = news.key_hash = 9;
	news.created.revision = 9;
	news.service = directory_add_service(b.directory, OTHER_SERVICE);
	bed_publish(&b, &news);
	assert_int_equal(bed_syn(&b, CALLER + 2, VIP, 0).action, PATH_RESET);
	/* The first unanswered request ends all flows of the earlier target. */
	bed_advance(&b, 20 * MS);
	assert_int_equal(bed_data(&b, CALLER, VIP, cookie, 2, 1, 9).action,
			 PATH_FORWARD);
	bed_advance(&b, 420 * MS);
	assert_int_equal(b.n_probes, 0);
	assert_int_equal(b.n_resets, 2);
	assert_int_equal(bed_data(&b, CALLER, VIP, cookie, 2, 2, 9).action,
			 PATH_RESET);
	bed_close(&b);
}

static void test_packets_are_dropped_before_first_routes(void **state)
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

static void test_missing_route_is_not_reset_while_peer_is_ahead(void **state)
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
		cmocka_unit_test(
			test_cookie_selects_same_target_at_all_entries),
		cmocka_unit_test(test_cookie_of_another_service_is_dropped),
		cmocka_unit_test(test_unknown_cookie_is_dropped_without_reset),
		cmocka_unit_test(test_changed_route_keeps_open_flows),
		cmocka_unit_test(test_removed_route_resets_its_flows),
		cmocka_unit_test(test_older_configuration_is_rejected),
		cmocka_unit_test(test_unanswered_syn_is_sent_to_another_target),
		cmocka_unit_test(test_latencies_are_recorded_by_route_kind),
		cmocka_unit_test(test_repeated_syn_is_sent_to_another_target),
		cmocka_unit_test(test_refused_probe_resets_flows_of_target),
		cmocka_unit_test(
			test_one_refusal_of_leaving_target_keeps_flows),
		cmocka_unit_test(
			test_dead_target_reported_by_peer_resets_flows),
		cmocka_unit_test(test_full_link_of_this_vm_resets_no_flows),
		cmocka_unit_test(
			test_silent_target_resets_flows_when_witness_answers),
		cmocka_unit_test(test_target_is_probed_later_without_room_now),
		cmocka_unit_test(test_late_probe_answer_shows_target_alive),
		cmocka_unit_test(
			test_late_witness_answer_does_not_cover_later_probes),
		cmocka_unit_test(
			test_all_targets_suspected_at_once_resets_no_flows),
		cmocka_unit_test(test_probe_silence_is_void_after_sign_of_life),
		cmocka_unit_test(
			test_handshake_timeout_follows_slow_handshakes),
		cmocka_unit_test(test_reordered_packets_suspect_no_target),
		cmocka_unit_test(test_stall_of_this_process_suspects_no_target),
		cmocka_unit_test(
			test_leaving_target_keeps_flows_and_gets_no_new_ones),
		cmocka_unit_test(test_targets_with_lapsed_records_get_flows),
		cmocka_unit_test(
			test_lapsed_records_survive_partition_after_outage),
		cmocka_unit_test(
			test_deleted_record_gets_no_flows_without_outage),
		cmocka_unit_test(test_reused_address_ends_earlier_target),
		cmocka_unit_test(test_packets_are_dropped_before_first_routes),
		cmocka_unit_test(
			test_missing_route_is_not_reset_while_peer_is_ahead),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
