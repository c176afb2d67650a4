/* Arrival of requests, and the users that send them. */
#include "world_state.h"

#include <math.h>

#define USER_IP 1
#define FIRST_PORT 1000
/* Mean time between requests of a user on the extra route. */
#define PROBE_NS (100 * NS_PER_MS)
#define TRIES_TO_FIND_IDLE 8
#define PERCENT 100.0

static double request_rate(const struct world *w, uint32_t zone, uint32_t class)
{
	const struct site_zone *z = &w->conf.site.zones[zone];
	double per_s = z->per_s[class];
	double since = (double)(w->now_ns - w->start_ns);

	if (z->period_ns)
		per_s *= 1 + z->amplitude * sin(2 * M_PI *
						(since / (double)z->period_ns +
						 z->phase));
	if (w->now_ns < w->load_until_ns[zone])
		per_s *= w->load_factor[zone];
	if (w->now_ns < w->class_until_ns[class])
		per_s *= w->class_factor[class];
	return per_s;
}

static uint32_t add_user(struct world *w, uint32_t zone, uint32_t class)
{
	uint32_t i = w->n_users;

	if (i == USERS_MAX)
		return USERS_MAX - 1;
	w->n_users++;
	w->users[i] = (struct sim_user){
		.zone = zone,
		.ip = USER_IP + i,
		.port = FIRST_PORT,
		.class = (uint8_t) class,
		.target = NO_TARGET,
	};
	return i;
}

/* Number of classes with long flows before a class. */
static uint32_t long_classes_before(const struct world *w, uint32_t class)
{
	uint32_t n = 0;

	for (uint32_t c = 0; c < class; c++)
		n += w->classes[c].long_flows;
	return n;
}

/* Users with a flow that stays open come first, ordered by data centre, then by
 * class. */
static uint32_t first_user(const struct world *w, uint32_t zone, uint32_t class)
{
	const struct site *s = &w->conf.site;
	uint32_t first = 0;

	for (uint32_t z = 0; z < zone; z++)
		first += s->zones[z].users *
			 long_classes_before(w, s->n_classes);
	return first + s->zones[zone].users * long_classes_before(w, class);
}

static uint32_t select_long_user(struct world *w, uint32_t zone, uint32_t class)
{
	uint32_t first = first_user(w, zone, class);
	uint32_t n = w->conf.site.zones[zone].users;
	uint32_t user = first;

	for (uint32_t i = 0; i < TRIES_TO_FIND_IDLE; i++) {
		user = first + (uint32_t)(rng_next(&w->rng) % n);
		if (!w->users[user].has_request)
			break;
	}
	return user;
}

/* Return: an idle user of the class, or a new one. */
static uint32_t select_idle_user(struct world *w, uint32_t zone, uint32_t class)
{
	uint32_t *next = &w->next_idle_user[zone][class];

	for (uint32_t i = 0; i < w->n_users; i++) {
		uint32_t user = (*next + i) % w->n_users;
		const struct sim_user *u = &w->users[user];

		if (u->zone != zone || u->class != class || u->has_request)
			continue;
		*next = user + 1;
		return user;
	}
	return add_user(w, zone, class);
}

static struct request_spec sample_request(struct world *w, struct rng *rng,
					  uint32_t class)
{
	const struct site_class *c = &w->classes[class];
	struct request_spec spec = {
		.arrival_ns = w->now_ns,
		.work_ns = world_sample(rng, &c->work_ns),
		.request_bytes = (uint32_t)world_sample(rng, &c->request_bytes),
		.answer_bytes = (uint32_t)world_sample(rng, &c->answer_bytes),
	};

	if (c->tail_percent &&
	    world_random_unit(rng) * PERCENT < c->tail_percent)
		spec.work_ns *= c->tail_factor;
	return spec;
}

static void start_or_queue(struct world *w, uint32_t user,
			   const struct request_spec *spec)
{
	struct sim_user *u = &w->users[user];

	if (!u->has_request)
		users_start_request(w, user, spec);
	else if (u->n_pending < PENDING_MAX)
		u->pending[u->n_pending++] = *spec;
}

static void on_arrival(struct world *w, const struct event *e)
{
	uint32_t zone = (uint32_t)e->arg0, class = (uint32_t)e->arg1;
	double gap_s = -log(1 - world_random_unit(&w->arrival_rng)) /
		       request_rate(w, zone, class);
	struct request_spec spec = sample_request(w, &w->arrival_rng, class);

	world_schedule(w, (uint64_t)(gap_s * (double)NS_PER_S), on_arrival,
		       zone, class, 0);
	start_or_queue(w,
		       w->classes[class].long_flows
			       ? select_long_user(w, zone, class)
			       : select_idle_user(w, zone, class),
		       &spec);
}

static void on_probe(struct world *w, const struct event *e)
{
	struct request_spec spec =
		sample_request(w, &w->rng, extra_route_index(w));

	start_or_queue(w, (uint32_t)e->arg0, &spec);
}

/* Schedule the next request of a user on the extra route. */
void arrivals_schedule_test_user(struct world *w, uint32_t user)
{
	double part = 0.5 + world_random_unit(&w->rng);

	world_schedule(w, (uint64_t)(part * (double)PROBE_NS), on_probe, user,
		       0, 0);
}

/* Start a user's next pending request. Return: whether there was one. */
bool arrivals_start_pending(struct world *w, uint32_t user)
{
	struct sim_user *u = &w->users[user];
	struct request_spec spec = u->pending[0];

	if (!u->n_pending)
		return false;
	u->n_pending--;
	for (uint32_t i = 0; i < u->n_pending; i++)
		u->pending[i] = u->pending[i + 1];
	users_start_request(w, user, &spec);
	return true;
}

static void add_long_users(struct world *w, uint32_t zone, uint32_t class)
{
	if (!w->classes[class].long_flows)
		return;
	for (uint32_t i = 0; i < w->conf.site.zones[zone].users; i++)
		add_user(w, zone, class);
}

/* Create the users with a flow that stays open, then a user of the extra route
 * in each data centre. Users of other classes are created when needed. */
void arrivals_start(struct world *w)
{
	const struct site *s = &w->conf.site;

	for (uint32_t z = 0; z < s->n_zones; z++)
		for (uint32_t c = 0; c < s->n_classes; c++)
			add_long_users(w, z, c);
	for (uint32_t z = 0; z < s->n_zones; z++)
		arrivals_schedule_test_user(w, add_user(w, z,
							extra_route_index(w)));
	for (uint32_t z = 0; z < s->n_zones; z++)
		for (uint32_t c = 0; c < s->n_classes; c++)
			if (s->zones[z].per_s[c] > 0)
				world_schedule(w, 0, on_arrival, z, c, 0);
}
