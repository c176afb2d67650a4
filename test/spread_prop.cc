// Random faults and publications. Versions in force never regress at any VM,
// and all VMs converge after the faults have ended.
#include "spread_net.h"

#include <rapidcheck.h>

#include <string>
#include <vector>

namespace
{

constexpr uint32_t n_vms = 7;
constexpr uint32_t readers = 2;
const char *const key = "account/sailing";

enum operation {
	PUBLISH,
	PUBLISH_AGAIN,
	PUBLISH_OLDER,
	PUBLISH_MALFORMED,
	WITHDRAW,
	SET_PLATFORM,
	SNAPSHOT_PLATFORM,
	RESTART,
	PAUSE,
	SET_SIDE,
	SET_FRAME_LOSS,
	OPERATION_COUNT
};

struct step {
	uint32_t operation_kind;
	uint32_t vm;
	uint32_t argument;
	uint32_t wait_ms;
};

std::ostream &operator<<(std::ostream &out, const step &s)
{
	return out << "{" << s.operation_kind << "," << s.vm << ","
		   << s.argument << "," << s.wait_ms << "}";
}

std::string document(uint64_t generation, uint32_t item)
{
	return std::to_string(generation) + "|a|" + std::to_string(item);
}

class simulation
{
      public:
	simulation() : net(net_new(n_vms, readers, 11))
	{
		net_run(net, 2 * NET_S);
	}
	~simulation()
	{
		net_free(net);
	}
	simulation(const simulation &) = delete;
	simulation &operator=(const simulation &) = delete;

	void apply(const step &s)
	{
		uint32_t vm = s.vm % n_vms;

		switch (s.operation_kind) {
		case PUBLISH:
			net_publish(net, key,
				    document(++generation, s.argument).c_str());
			break;
		case PUBLISH_AGAIN:
			net_publish(net, key,
				    document(generation, s.argument).c_str());
			break;
		case PUBLISH_OLDER:
			net_publish(
				net, key,
				document(generation / 2, s.argument).c_str());
			break;
		case PUBLISH_MALFORMED:
			net_publish(net, key, "not to be read");
			break;
		case WITHDRAW:
			net_delete(net, key);
			break;
		case SET_PLATFORM:
			net_set_platform(net, platform_state_of(s.argument));
			break;
		case SNAPSHOT_PLATFORM:
			net_snapshot_platform(net);
			break;
		case RESTART:
			net_kill(net, vm);
			net_start(net, vm);
			break;
		case PAUSE:
			net_pause(net, vm, s.argument % 2);
			break;
		case SET_SIDE:
			net_set_side(net, vm, s.argument % 2);
			break;
		default:
			net_set_frame_loss(net, s.argument % 3 ? 0 : 4);
			break;
		}
		net_run(net, s.wait_ms * NET_MS);
		RC_ASSERT(net_regressions(net) == 0u);
	}

	void end_faults()
	{
		for (uint32_t i = 0; i < n_vms; i++) {
			net_pause(net, i, false);
			net_set_side(net, i, 0);
		}
		net_set_frame_loss(net, 0);
		net_set_platform(net, NET_UP);
		net_run(net, 90 * NET_S);
	}

	void check_convergence()
	{
		end_faults();
		RC_ASSERT(net_is_converged(net));
		net_publish(net, key, document(++generation, 0).c_str());
		net_run(net, 3 * NET_S);
		for (uint32_t i = 0; i < n_vms; i++) {
			RC_ASSERT(net_generation(net, i, key) == generation);
			RC_ASSERT(!net_is_withdrawn(net, i, key));
		}
		RC_ASSERT(net_is_converged(net));
		RC_ASSERT(net_regressions(net) == 0u);
	}

      private:
	static enum net_platform platform_state_of(uint32_t argument)
	{
		const enum net_platform states[] = { NET_UP, NET_DOWN,
						     NET_STALE };

		return states[argument % 3];
	}

	struct net *net;
	uint64_t generation = 0;
};

} // namespace

namespace rc
{

template <> struct Arbitrary<step> {
	static Gen<step> arbitrary()
	{
		return gen::build<step>(
			gen::set(&step::operation_kind,
				 gen::inRange<uint32_t>(0, OPERATION_COUNT)),
			gen::set(&step::vm, gen::inRange<uint32_t>(0, n_vms)),
			gen::set(&step::argument, gen::inRange<uint32_t>(0, 6)),
			gen::set(&step::wait_ms,
				 gen::inRange<uint32_t>(0, 4000)));
	}
};

} // namespace rc

int main()
{
	bool ok = rc::check(
		"versions never regress, and all VMs converge after faults",
		[](const std::vector<step> &steps) {
			simulation sim;

			for (const step &s : steps)
				sim.apply(s);
			sim.check_convergence();
		});

	return ok ? 0 : 1;
}
