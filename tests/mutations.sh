#!/usr/bin/env bash
# Takes each protection out in turn and runs the test that must notice.
# By hand, as it takes some minutes: tests/mutations.sh [NAME...]
set -uo pipefail
cd "$(dirname "$0")/.."
export CARGO_TARGET_DIR="${CARGO_TARGET_DIR:-target/mutations}"
list='
intent           batch_failures     items_that_may_not_be_repeated_run_at_most_once
attempts         batch_failures     items_that_can_never_be_done_take_nothing_with_them
cancel           batch_failures     a_cancelled_job_stops
lapse            batch_failures     a_lost_dispatcher_loses_and_doubles_nothing::case_1_killed
read_back        online_failures    recorded_calls_run_over_lost_answers_of_the_object_service
once_record      online_failures    a_call_that_may_not_be_repeated_runs_once_over_resends
echo             online_failures    crossed_answers_are_discarded
take_up          online_failures    cut_streams_are_resumed_with_each_letter_once
graceful_stop    online_failures    planned_stops_cut_no_request
leaving          online_failures    a_leaving_endpoint_gets_no_new_work
go_ahead         online_failures    gateways_go_ahead_without_an_owner
link_secret      online_failures    a_stranger_on_the_link_is_dropped_and_counted
cut              truncated_answers  only_whole_answers_complete
push             bundles            an_accepted_bundle_survives_an_outage_and_restarts
bundle_condition bundles            racing_operators_make_one_history
fresh_connection endpoint_faults    a_request_that_may_run_once_is_not_lost_on_a_closing_connection
crossed_answer   endpoint_faults    a_response_to_another_request_is_never_relayed
caller_close     endpoint_faults    a_caller_that_disconnects_before_the_first_event_ends_the_run
leaving_endpoint endpoint_faults    a_draining_endpoint_gets_no_new_requests::case_1_draining
state_up         system_faults      the_desired_state_only_goes_up_and_a_missed_one_is_found
drain            system_faults      a_stop_turns_unready_at_once_and_cuts_nothing
api_key          workspaces         only_requests_with_a_key_are_served::case_2_unknown
rate_limit       workspaces         a_limit_holds_over_all_gateways_together
evacuation       evacuations        an_evacuated_domain_gets_nothing_until_the_order_is_withdrawn
start_hold       cold_restart       requests_before_readiness_are_held_until_it
cold_limit       evacuations        a_cold_engine_gets_no_more_than_its_rate
token_wait       workspaces         a_request_beyond_the_rate_waits_for_a_token
slot_line        slot_queue         a_free_slot_goes_to_the_highest_priority
return_order     wait_queue         a_hot_workspace_does_not_take_the_slots_of_the_others
item_attempts    system_faults      items_that_fail_are_given_up_after_the_allowed_attempts
endpoint_doubt   single_attempts    engines_that_close_connections_cost_one_request_each
caller_budget    caller_budget      a_body_that_does_not_fit_is_refused_before_it_is_read
workspace_turns  item_order         many_items_of_one_workspace_do_not_delay_another
expected_finish  endpoint_choice    callers_get_faster_responses_where_endpoints_differ
'
unnoticed=0
while read -r name file test; do
  [ -n "$name" ] || continue
  [ $# -eq 0 ] || [[ " $* " == *" $name "* ]] || continue
  if FAILPOINTS="$name=return" cargo test --quiet --workspace --features jayhollow/failpoints --test "$file" -- "$test" >/dev/null 2>&1; then
    echo "NOT NOTICED  $name  $file::$test"
    unnoticed=$((unnoticed + 1))
  else
    echo "noticed      $name  $file::$test"
  fi
done <<< "$list"
[ "$unnoticed" -eq 0 ]
