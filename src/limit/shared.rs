//! The budgets of a daemon, shared by its limiters and charges.

use std::sync::{Mutex, PoisonError};
use std::time::Instant;

use tokio::sync::watch;

use crate::catalog::TeamSpec;
use crate::limit::BudgetTable;

/// Budgets that apply the newest declared teams at each access. If a background task applied them, requests could be
/// authenticated by a configuration whose teams have no budgets yet.
pub(super) struct SharedBudgets(Mutex<BudgetState>);

struct BudgetState {
    table: BudgetTable,
    /// `None` if the teams never change.
    teams: Option<watch::Receiver<Vec<TeamSpec>>>,
}

impl SharedBudgets {
    /// Creates budgets of the teams in `teams`.
    pub(super) fn follow(mut teams: watch::Receiver<Vec<TeamSpec>>) -> Self {
        teams.mark_changed();
        Self(Mutex::new(BudgetState {
            table: BudgetTable::default(),
            teams: Some(teams),
        }))
    }

    /// Shares budgets whose teams stay as they are.
    pub(super) fn fixed(table: BudgetTable) -> Self {
        Self(Mutex::new(BudgetState { table, teams: None }))
    }

    /// Calls `action` with the budgets of the teams declared now, and with the time.
    pub(super) fn access<T>(&self, action: impl FnOnce(&mut BudgetTable, Instant) -> T) -> T {
        let mut state = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let BudgetState { table, teams } = &mut *state;
        let now = Instant::now();
        if let Some(teams) = teams {
            let specs = teams.borrow_and_update();
            if specs.has_changed() {
                table.set_teams(&specs, now);
            }
        }
        action(table, now)
    }
}
