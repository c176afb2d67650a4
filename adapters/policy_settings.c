#include "policy_settings.h"

#define PERCENT_MAX 10000
#define COUNT_MAX 1000000
#define MS_MAX 600000

#define NUMBER(name, low, high)                                        \
	FIELD(policy, #name, FIELD_U32, name, .keep_if_missing = true, \
	      .min = low, .max = high)
#define TIME(name, low)                                 \
	FIELD(policy, #name "_ms", FIELD_MS, name##_ns, \
	      .keep_if_missing = true, .min = low, .max = MS_MAX)
#define SWITCH(name) \
	FIELD(policy, #name, FIELD_BOOL, name, .keep_if_missing = true)

/* In the order of enum load_control. */
static const char *const load_control_words[] = { "auto", "on", "off", NULL };

const struct field policy_fields[] = {
	FIELD(policy, "load_control", FIELD_CHOICE, load_control,
	      .keep_if_missing = true, .choices = load_control_words),
	NUMBER(choices, 0, 16),
	NUMBER(zone_penalty_percent, 0, PERCENT_MAX),
	NUMBER(trial_odds, 1, COUNT_MAX),
	TIME(opening_due, 0),
	NUMBER(opening_due_means, 0, COUNT_MAX),
	TIME(opening_until, 0),
	NUMBER(request_due_means, 1, COUNT_MAX),
	TIME(request_due_min, 1),
	TIME(request_due_max, 1),
	TIME(repeat_quiet, 0),
	SWITCH(probe),
	TIME(probe_wait, 1),
	TIME(probe_wait_max, 1),
	SWITCH(witness),
	TIME(probe_pause, 0),
	TIME(look_again, 1),
	NUMBER(silent_misses, 1, UINT8_MAX),
	NUMBER(silent_misses_alone, 1, UINT8_MAX),
	TIME(silent_least, 0),
	SWITCH(reset_dead),
	SWITCH(reset_silent),
	SWITCH(eject),
	NUMBER(small_percent, 0, 100),
	TIME(failures_window, 1),
	NUMBER(failures_min, 1, COUNT_MAX),
	NUMBER(failures_min_trial, 1, COUNT_MAX),
	NUMBER(deviations, 0, COUNT_MAX),
	NUMBER(deviations_trial, 0, COUNT_MAX),
	NUMBER(failures_spare, 0, COUNT_MAX),
	TIME(eject, 1),
	NUMBER(eject_steps, 0, 10),
	TIME(trial, 0),
	NUMBER(eject_part, 1, COUNT_MAX),
	NUMBER(waiting_max, 0, UINT16_MAX),
	NUMBER(limit_percent, 0, PERCENT_MAX),
	NUMBER(late_percent, 0, PERCENT_MAX),
	NUMBER(guess_percent, 0, 100),
	TIME(young, 0),
	NUMBER(window_percent, 0, 100),
	NUMBER(window_refused_percent, 0, 100),
	TIME(window_pause, 0),
	NUMBER(refused_percent, 0, 100),
	TIME(running_window, 1),
	TIME(heartbeat_loaded, 20),
	NUMBER(link_percent, 1, 100),
	TIME(link_ahead, 1),
	NUMBER(link_waiting_max, 0, UINT16_MAX),
	TIME(return, 0),
	TIME(heartbeat, 20),
	SWITCH(tell_loads),
	SWITCH(tell_failures),
	SWITCH(relay),
	SWITCH(one_reader),
	SWITCH(old_listing),
	TIME(young_wait, 0),
	{ 0 }
};
