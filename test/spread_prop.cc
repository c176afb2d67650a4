// Random faults and publications: what is in force never falls anywhere, and
// all agree once the faults are gone.
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
	PUBLISH_BAD,
	WITHDRAW,
	PLATFORM,
	REMEMBER,
	REPLACE,
	PAUSE,
	CUT,
	LOSE,
	OPERATIONS
};

struct step {
	uint32_t what;
	uint32_t vm;
	uint32_t argument;
	uint32_t wait_ms;
};

std::ostream &operator<<(std::ostream &out, const step &s)
{
	return out << "{" << s.what << "," << s.vm << "," << s.argument << ","
		   << s.wait_ms << "}";
}

std::string text(uint64_t generation, uint32_t item)
{
	return std::to_string(generation) + "|a|" + std::to_string(item);
}

class history
{
      public:
	history() : net(net_new(n_vms, readers, 11))
	{
		net_run(net, 2 * NET_S);
	}
	~history()
	{
		net_free(net);
	}
	history(const history &) = delete;
	history &operator=(const history &) = delete;

	void apply(const step &s)
	{
		uint32_t vm = s.vm % n_vms;

		switch (s.what) {
		case PUBLISH:
			net_publish(net, key,
				    text(++generation, s.argument).c_str());
			break;
		case PUBLISH_AGAIN:
			net_publish(net, key,
				    text(generation, s.argument).c_str());
			break;
		case PUBLISH_OLDER:
			net_publish(net, key,
				    text(generation / 2, s.argument).c_str());
			break;
		case PUBLISH_BAD:
			net_publish(net, key, "not to be read");
			break;
		case WITHDRAW:
			net_delete(net, key);
			break;
		case PLATFORM:
			net_platform(net, net_platform_state(s.argument));
			break;
		case REMEMBER:
			net_remember(net);
			break;
		case REPLACE:
			net_kill(net, vm);
			net_start(net, vm);
			break;
		case PAUSE:
			net_pause(net, vm, s.argument % 2);
			break;
		case CUT:
			net_side(net, vm, s.argument % 2);
			break;
		default:
			net_lose(net, s.argument % 3 ? 0 : 4);
			break;
		}
		net_run(net, s.wait_ms * NET_MS);
		RC_ASSERT(net_falls(net) == 0u);
	}

	void heal()
	{
		for (uint32_t i = 0; i < n_vms; i++) {
			net_pause(net, i, false);
			net_side(net, i, 0);
		}
		net_lose(net, 0);
		net_platform(net, NET_UP);
		net_run(net, 90 * NET_S);
	}

	void check_agreement()
	{
		heal();
		RC_ASSERT(net_converged(net));
		net_publish(net, key, text(++generation, 0).c_str());
		net_run(net, 3 * NET_S);
		for (uint32_t i = 0; i < n_vms; i++) {
			RC_ASSERT(net_generation(net, i, key) == generation);
			RC_ASSERT(!net_withdrawn(net, i, key));
		}
		RC_ASSERT(net_converged(net));
		RC_ASSERT(net_falls(net) == 0u);
	}

      private:
	static enum net_platform net_platform_state(uint32_t argument)
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
			gen::set(&step::what,
				 gen::inRange<uint32_t>(0, OPERATIONS)),
			gen::set(&step::vm, gen::inRange<uint32_t>(0, n_vms)),
			gen::set(&step::argument, gen::inRange<uint32_t>(0, 6)),
			gen::set(&step::wait_ms,
				 gen::inRange<uint32_t>(0, 4000)));
	}
};

} // namespace rc

int main()
{
	bool ok =
		rc::check("generations never fall, and all agree after faults",
			  [](const std::vector<step> &steps) {
				  history h;

				  for (const step &s : steps)
					  h.apply(s);
				  h.check_agreement();
			  });

	return ok ? 0 : 1;
}
