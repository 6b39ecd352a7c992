//! Regression tests: one module per bug that was found and fixed.

#[path = "../process_support/mod.rs"]
mod process_support;
#[path = "../pulse_support/mod.rs"]
mod pulse_support;
#[path = "../relay_support/mod.rs"]
mod relay_support;
#[path = "../start_support/mod.rs"]
mod start_support;

mod address_in_use_at_start;
mod arrived_request_on_a_closed_connection;
mod broken_head;
mod config_copy_over_slow_link;
mod copy_of_an_earlier_era;
mod demand_tracker_deadlock;
mod earlier_answer_to_order;
mod earlier_refusal_on_kept_connection;
mod endless_answer;
mod engine_that_dies_under_many_requests;
mod error_inside_resumed_stream;
mod first_start;
mod hangup;
mod hangup_during_start;
mod key_in_debug_form;
mod lease_taken_back_at_shutdown;
mod name_in_header;
mod odd_entry_of_a_copy;
mod odd_server_record;
mod odd_store_page;
mod offset_of_an_earlier_era;
mod older_configuration_at_start;
mod older_copy_of_the_list;
mod older_server_list;
mod planned_stop_beside_long_answers;
mod prompt_part_that_crashes_servers;
mod prompts_that_differ_in_their_last_part;
mod reader_that_was_turned_away;
mod registration_lost_by_the_store;
mod server_that_ends_with_its_answer;
mod silent_server;
mod slow_store_answer;
mod stale_load_report;
mod stream_broken_inside_an_event;
mod suspect_reservation;
mod team_share_deadlock;
mod team_without_budget;
mod unreadable_record_in_a_whole_read;
mod unsent_request_at_shutdown;
mod usage_exit_code;
mod version_report_of_a_former_daemon;
mod wait_in_engine;
