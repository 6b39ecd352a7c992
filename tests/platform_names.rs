//! Checks that the platform's names are used only in the adapter.

use std::fs;
use std::path::{Path, PathBuf};

/// Names on the wire that have no other meaning in the code.
const NAMES: [&str; 24] = [
    "log-append",
    "log-read",
    "log-newest",
    "keyed.",
    "op/config",
    "prompt-prefix",
    "token-count",
    "server-stamp",
    "expect-instance",
    "expect-version",
    "not-run",
    "\"deadline-ms\"",
    "request-urgency",
    "fence-token",
    "path-prefix",
    "gap-aim-ms",
    "target-latency-ms",
    "api-keys",
    "kv-capacity",
    "adapter-slots",
    "plain-tokens",
    "/api/order",
    "/api/report",
    "kv-backup",
];

fn sources(folder: &Path, found: &mut Vec<PathBuf>) -> std::io::Result<()> {
    for entry in fs::read_dir(folder)? {
        let path = entry?.path();
        if path.is_dir() {
            sources(&path, found)?;
        } else if path.extension().is_some_and(|extension| extension == "rs") {
            found.push(path);
        }
    }
    Ok(())
}

/// Guards against code outside the adapter that depends on the platform's names.
#[test]
fn platform_names_appear_in_the_adapter_only() -> std::io::Result<()> {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let mut files = Vec::new();
    sources(&root.join("src"), &mut files)?;
    sources(&root.join("standins/src"), &mut files)?;
    let adapter = root.join("src/platform");
    let mut used = Vec::new();
    let mut inside = 0;
    for file in files {
        let text = fs::read_to_string(&file)?.to_ascii_lowercase();
        let names = NAMES.iter().filter(|name| text.contains(*name));
        if file.starts_with(&adapter) {
            inside += names.count();
        } else {
            used.extend(names.map(|name| format!("{}: {name}", file.display())));
        }
    }
    assert!(used.is_empty(), "{used:#?}");
    assert!(inside >= 12, "the list of names is out of date");
    Ok(())
}
