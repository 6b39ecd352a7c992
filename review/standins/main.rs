//! Stand-ins of the platform's store, of a replica and of a client, and the drivers of the script cases. They use only
//! the standard library. `review/build.sh` compiles them.

mod adapter_slots;
mod driver;
mod engine;
mod http;
mod replica;
mod store;
mod zero_events;

use std::collections::HashMap;
use std::process::exit;

/// Exit code of a case that could not be run.
const EXIT_NOT_RUN: i32 = 2;

fn main() {
    let mut words = std::env::args().skip(1);
    let role = words.next().unwrap_or_default();
    let words: Vec<String> = words.collect();
    let options: HashMap<String, String> = words
        .chunks(2)
        .filter_map(|pair| {
            Some((
                pair.first()?.strip_prefix("--")?.into(),
                pair.get(1)?.clone(),
            ))
        })
        .collect();
    let result = match role.as_str() {
        "store" => store::run(&options),
        "replica" => replica::run(&options),
        "engine" => engine::run(&options),
        "adapter-slots" => adapter_slots::run(&options).map(|code| exit(code)),
        "zero-events" => zero_events::run(&options).map(|code| exit(code)),
        _ => Err(format!("unknown role `{role}`")),
    };
    if let Err(error) = result {
        eprintln!("{role}: {error}");
        exit(EXIT_NOT_RUN);
    }
}

/// Returns a required option.
fn option<'a>(options: &'a HashMap<String, String>, name: &str) -> Result<&'a str, String> {
    options
        .get(name)
        .map(String::as_str)
        .ok_or_else(|| format!("option --{name} is missing"))
}
