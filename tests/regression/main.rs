//! One module per fault that was found and fixed.

mod demand_board_deadlock;
mod key_in_debug_form;
#[path = "../process_support/mod.rs"]
mod process_support;
mod stale_load_report;
mod suspect_reservation;
mod wait_in_engine;
