//! The number of files that the process may open.

/// Returns the process's own limit of open files; `None` if the system does not show it or there is none.
pub(super) fn open_files_limit() -> Option<usize> {
    let limits = std::fs::read_to_string("/proc/self/limits").ok()?;
    let line = limits
        .lines()
        .find_map(|line| line.strip_prefix("Max open files"))?;
    line.split_whitespace().next()?.parse().ok()
}
