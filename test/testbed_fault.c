/* The platform's list of VMs, publications, starts, stops and partitions. */
#include "testbed_state.h"

#include "ring.h"

#include <string.h>

#define FABRIC_LAG_NS \
	MS(1000) /* until the fabric stops routing to a lost entry */
#define LIST_LAG_NS MS(50)

static void apply_roster(struct testbed *tb, uint32_t i)
{
	uint64_t vms[TESTBED_NODES_MAX];
	uint32_t n = 0;

	for (uint32_t v = 0; v < TESTBED_NODES_MAX; v++) {
		if (tb->listed_visible & 1u << v)
			vms[n++] = VM_ADDR(v);
	}
	tb->system->roster(tb->nodes[i].entry, vms, n, tb->now_ns, tb->out);
	node_perform_actions(tb, i);
}

static void node_roster(struct testbed *tb, struct event *ev)
{
	if (!node_can_handle(tb, ev))
		return;
	if (!tb->nodes[ev->node].platform_disconnected)
		apply_roster(tb, ev->node);
	event_free(ev);
}

static void list_became_visible(struct testbed *tb, struct event *ev)
{
	tb->listed_visible = ev->arg;
	trace_line(tb, "platform lists %x", ev->arg);
	for (uint32_t i = 0; i < tb->n_nodes; i++) {
		struct event *each = event_new(node_roster, i);

		each->reliable = true;
		event_at(tb, tb->now_ns + testbed_random(tb, LIST_LAG_NS),
			 each);
	}
	event_free(ev);
}

static void list_changed(struct testbed *tb)
{
	struct event *ev = event_new(list_became_visible, 0);

	ev->arg = tb->listed;
	event_at(tb, tb->now_ns + tb->list_lag_ns, ev);
}

/* Sets the lag of the platform's list for changes from now on. */
void testbed_set_list_lag(struct testbed *tb, uint32_t lag_ms, uint32_t unused)
{
	(void)unused;
	tb->list_lag_ns = MS(lag_ms);
}

static struct published *publish(struct testbed *tb)
{
	static const char *const names[] = { "live", "readings" };
	struct published *p = g_new0(struct published, 1);

	for (uint32_t i = 0; i < tb->n_targets; i++) {
		struct service_conf *s = &p->services[tb->targets[i].service];
		uint32_t k = s->n_targets++;

		s->targets = p->targets[tb->targets[i].service];
		s->targets[k] =
			(struct target_conf){ .addr = TARGET_ADDR(i),
					      .state = tb->targets[i].state,
					      .weight = 100,
					      .slots = 2,
					      .connections = 200 };
	}
	for (uint32_t s = 0; s < TESTBED_SERVICES; s++) {
		strcpy(p->services[s].name, names[s]);
		p->services[s].vip = VIP_ADDR(s);
		p->services[s].class = s == 0 ? CLASS_REPORT : CLASS_UPLOAD;
		p->services[s].target_dedups = tb->plan.target_dedups;
		p->services[s].request_timeout_ns = MS(5000);
		p->services[s].queue_max = 100;
	}
	strcpy(p->account.name, "club");
	p->account.generation = ++tb->generation;
	p->account.weight = 10;
	p->account.services = p->services;
	p->account.n_services = TESTBED_SERVICES;
	p->config.accounts = &p->account;
	p->config.n_accounts = 1;
	g_ptr_array_add(tb->published, p);
	return p;
}

static void apply_config(struct testbed *tb, uint32_t i, uint32_t which)
{
	struct published *p = tb->published->pdata[which];

	tb->nodes[i].published = which;
	tb->system->config(tb->nodes[i].entry, &p->config, tb->now_ns, tb->out);
	node_perform_actions(tb, i);
}

static void node_config(struct testbed *tb, struct event *ev)
{
	if (!node_can_handle(tb, ev))
		return;
	/* cb-watch never replaces a document by an older one (spread.h). */
	if (ev->arg > tb->nodes[ev->node].published)
		apply_config(tb, ev->node, ev->arg);
	event_free(ev);
}

/* Publishes the targets' states; every entry receives them within @spread_ms. */
void testbed_publish(struct testbed *tb, uint32_t spread_ms, uint32_t unused)
{
	(void)unused;
	publish(tb);
	for (uint32_t i = 0; i < tb->n_nodes; i++) {
		struct event *ev = event_new(node_config, i);

		ev->arg = tb->published->len - 1;
		ev->reliable = true;
		event_at(tb, tb->now_ns + testbed_random(tb, MS(spread_ms) + 1),
			 ev);
	}
}

static struct entry_conf conf_of(const struct testbed *tb, uint32_t i)
{
	return (struct entry_conf){
		.member = { .self = VM_ADDR(i),
			    .incarnation = tb->nodes[i].incarnation,
			    .probe_period_ns = MS(200),
			    .probe_timeout_ns = MS(100),
			    .suspect_timeout_ns = MS(600),
			    .lease_ns = MS(1000),
			    .probes_per_period = 2,
			    .indirect_probes = 2 },
		.requests_max = 1024,
		.feeds_max = 1024,
		.claims_max = 8192,
		.flows_max = 1024,
		.settle_ns = MS(500),
		.cover_ns = COVER_NS,
		.claim_timeout_ns = MS(200),
		.probe_idle_ns = MS(2000),
		.drain_ns = MS(20000),
		.peer_bytes_per_s = 16000,
		.n_buckets = BUCKETS,
		.seed = hash_u64(tb->plan.seed, tb->nodes[i].incarnation + i),
	};
}

/* Starts a process at the address of entry @i, which may be a new index. */
void testbed_start(struct testbed *tb, uint32_t i, uint32_t unused)
{
	struct node *n = &tb->nodes[i];
	struct entry_conf conf;

	(void)unused;
	if (n->up)
		return;
	tb->n_nodes = MAX(tb->n_nodes, i + 1);
	n->incarnation = tb->now_ns;
	conf = conf_of(tb, i);
	n->entry = tb->system->make(&conf, tb->now_ns);
	n->up = true;
	n->leaving = false;
	n->is_routed = true;
	n->tick_ns = 0;
	trace_line(tb, "e%u starts", i);
	apply_config(tb, i, tb->published->len - 1);
	if (!n->platform_disconnected)
		apply_roster(tb, i);
	if (tb->listed & 1u << i)
		return;
	tb->listed |= 1u << i;
	list_changed(tb);
}

static void stop_routing(struct testbed *tb, uint32_t i,
			 uint32_t incarnation_low)
{
	struct node *n = &tb->nodes[i];

	if ((uint32_t)n->incarnation == incarnation_low)
		n->is_routed = false;
}

static void remove_from_list(struct testbed *tb, uint32_t i)
{
	tb->listed &= ~(1u << i);
	list_changed(tb);
	testbed_schedule(tb, tb->now_ns + FABRIC_LAG_NS, stop_routing, i,
			 (uint32_t)tb->nodes[i].incarnation);
}

void testbed_kill(struct testbed *tb, uint32_t i, uint32_t unused)
{
	(void)unused;
	if (!tb->nodes[i].up)
		return;
	trace_line(tb, "e%u is killed", i);
	node_remove(tb, i);
	remove_from_list(tb, i);
}

/* Starts the planned stop of an entry. */
void testbed_leave(struct testbed *tb, uint32_t i, uint32_t unused)
{
	struct node *n = &tb->nodes[i];

	(void)unused;
	if (!n->up || n->frozen || n->leaving)
		return;
	trace_line(tb, "e%u starts to leave", i);
	remove_from_list(tb, i);
	n->leaving = true;
	tb->system->leave(n->entry, tb->now_ns, tb->out);
	node_perform_actions(tb, i);
}

void testbed_freeze(struct testbed *tb, uint32_t i, uint32_t for_ms)
{
	struct node *n = &tb->nodes[i];

	if (!n->up || n->frozen)
		return;
	trace_line(tb, "e%u freezes", i);
	n->frozen = true;
	testbed_schedule(tb, tb->now_ns + MS(for_ms), testbed_unfreeze, i,
			 (uint32_t)n->incarnation);
}

/* Queued datagrams are handled before timers, as in an event loop. */
void testbed_unfreeze(struct testbed *tb, uint32_t i, uint32_t incarnation_low)
{
	struct node *n = &tb->nodes[i];
	struct event *ev;

	if (!n->frozen || (uint32_t)n->incarnation != incarnation_low)
		return;
	trace_line(tb, "e%u resumes", i);
	n->frozen = false;
	while (n->up && (ev = g_queue_pop_head(&n->inbox)))
		ev->run(tb, ev);
	if (!n->up)
		return;
	tb->system->tick(n->entry, tb->now_ns, tb->out);
	node_perform_actions(tb, i);
}

static void set_disconnected(struct testbed *tb, uint32_t a, uint32_t b,
			     bool on)
{
	trace_line(tb, "link e%u e%u %s", a, b,
		   on ? "disconnected" : "reconnected");
	tb->cut[a][b] = on;
	tb->cut[b][a] = on;
}

void testbed_disconnect(struct testbed *tb, uint32_t a, uint32_t b)
{
	set_disconnected(tb, a, b, true);
}

void testbed_reconnect(struct testbed *tb, uint32_t a, uint32_t b)
{
	set_disconnected(tb, a, b, false);
}

void testbed_disconnect_target(struct testbed *tb, uint32_t node,
			       uint32_t target)
{
	tb->cut_target[node][target] = true;
}

void testbed_reconnect_target(struct testbed *tb, uint32_t node,
			      uint32_t target)
{
	tb->cut_target[node][target] = false;
}

void testbed_disconnect_platform(struct testbed *tb, uint32_t i,
				 uint32_t unused)
{
	(void)unused;
	tb->nodes[i].platform_disconnected = true;
}

void testbed_reconnect_platform(struct testbed *tb, uint32_t i, uint32_t unused)
{
	(void)unused;
	tb->nodes[i].platform_disconnected = false;
	event_at(tb, tb->now_ns + LIST_LAG_NS, event_new(node_roster, i));
}

void nodes_init(struct testbed *tb)
{
	tb->list_lag_ns = LIST_LAG_NS;
	publish(tb);
	tb->listed = (1u << tb->plan.nodes) - 1;
	tb->listed_visible = tb->listed;
	for (uint32_t i = 0; i < tb->plan.nodes; i++)
		testbed_start(tb, i, 0);
}

void nodes_free(struct testbed *tb)
{
	for (uint32_t i = 0; i < tb->n_nodes; i++) {
		if (tb->nodes[i].up)
			node_remove(tb, i);
	}
}

uint32_t testbed_node_index(const struct testbed *tb, uint64_t vm)
{
	uint32_t i = VM_INDEX(vm);

	return vm != ADDR_NONE && i < tb->n_nodes ? i : TESTBED_NONE;
}

uint32_t testbed_node_count(const struct testbed *tb)
{
	return tb->n_nodes;
}

struct ring_pair testbed_ring_pair(struct testbed *tb, uint32_t caller)
{
	const struct fake_caller *c = &tb->callers[caller];
	struct flow_key key = { CALLER_ADDR(caller), VIP_ADDR(c->service) };
	struct ring_observer none = { 0 };
	struct ring *r = ring_new(BUCKETS, VM_ADDR(0), 0, 0, none);
	struct ring_pair pair;
	uint64_t vms[TESTBED_NODES_MAX];
	uint32_t n = 0;

	for (uint32_t i = 0; i < tb->n_nodes; i++) {
		if (tb->nodes[i].up && !tb->nodes[i].leaving)
			vms[n++] = VM_ADDR(i);
	}
	ring_update(r, vms, n, tb->now_ns);
	pair = ring_current_pair(r, ring_bucket(r, &key));
	ring_free(r);
	return pair;
}
