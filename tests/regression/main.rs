//! One module per fault that was found and fixed.

mod demand_board_deadlock;
mod usage_exit_code;
