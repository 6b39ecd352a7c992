//! Parsers of fields. They check ranges inside the deserializer, which adds the position to their errors.

use std::collections::BTreeMap;
use std::fmt;
use std::net::SocketAddr;
use std::str::FromStr;
use std::time::Duration;

use log::LevelFilter;
use serde::de::{Deserialize, Deserializer, Error, Visitor};
use smol_str::SmolStr;

use crate::ids::KeyDigest;

const MAX_AMOUNT: f64 = 1_000_000.0;
const MAX_WAIT: Duration = Duration::from_secs(600);
const MAX_TERM: Duration = Duration::from_secs(7 * 24 * 3600);
const MAX_NAME: usize = 64;
const MAX_CAPACITY: f64 = 10_000_000.0;

type Parsed<T> = std::result::Result<T, String>;

/// Parses a string with a function whose error is reported at the string's position.
struct TextVisitor<F> {
    expecting: &'static str,
    parse: F,
}

impl<T, F: FnOnce(&str) -> Parsed<T>> Visitor<'_> for TextVisitor<F> {
    type Value = T;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.expecting)
    }

    fn visit_str<E: Error>(self, text: &str) -> std::result::Result<T, E> {
        (self.parse)(text).map_err(E::custom)
    }
}

struct CountVisitor;

impl Visitor<'_> for CountVisitor {
    type Value = usize;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a number from 1 to 100000")
    }

    fn visit_u64<E: Error>(self, count: u64) -> std::result::Result<usize, E> {
        match usize::try_from(count) {
            Ok(count @ 1..=100_000) => Ok(count),
            _ => Err(E::custom(format!("{count} is outside 1 to 100000"))),
        }
    }
}

fn text<'de, D, T>(
    deserializer: D,
    expecting: &'static str,
    parse: impl FnOnce(&str) -> Parsed<T>,
) -> std::result::Result<T, D::Error>
where
    D: Deserializer<'de>,
{
    deserializer.deserialize_str(TextVisitor { expecting, parse })
}

fn duration<'de, D: Deserializer<'de>>(
    deserializer: D,
    min: Duration,
    max: Duration,
) -> std::result::Result<Duration, D::Error> {
    let expecting = "a duration with a unit, such as \"5s\" or \"250ms\"";
    text(deserializer, expecting, |text| {
        let duration = humantime::parse_duration(text)
            .map_err(|error| format!("`{text}` is not {expecting}: {error}"))?;
        // The parser accepts a zero without a unit, which is refused here.
        if !text.ends_with(|end: char| end.is_ascii_alphabetic()) {
            return Err(format!("`{text}` is not {expecting}"));
        }
        if duration < min || duration > max {
            let (min, max) = (
                humantime::format_duration(min),
                humantime::format_duration(max),
            );
            return Err(format!("`{text}` is outside {min} to {max}"));
        }
        Ok(duration)
    })
}

/// A duration up to 10 min.
pub(super) fn wait<'de, D: Deserializer<'de>>(d: D) -> std::result::Result<Duration, D::Error> {
    duration(d, Duration::ZERO, MAX_WAIT)
}

/// A duration from 10 ms to 10 min.
pub(super) fn positive_wait<'de, D: Deserializer<'de>>(
    d: D,
) -> std::result::Result<Duration, D::Error> {
    duration(d, Duration::from_millis(10), MAX_WAIT)
}

/// A duration from 1 s to 7 days.
pub(super) fn term<'de, D: Deserializer<'de>>(d: D) -> std::result::Result<Duration, D::Error> {
    duration(d, Duration::from_secs(1), MAX_TERM)
}

/// A number above 0 and up to 1,000,000.
pub(super) fn amount<'de, D: Deserializer<'de>>(d: D) -> std::result::Result<f64, D::Error> {
    let amount = f64::deserialize(d)?;
    match amount > 0.0 && amount <= MAX_AMOUNT {
        true => Ok(amount),
        false => Err(D::Error::custom(format!(
            "{amount} is not above 0 and up to {MAX_AMOUNT}"
        ))),
    }
}

fn size<'de, D: Deserializer<'de>>(
    deserializer: D,
    min: usize,
    max: usize,
) -> std::result::Result<usize, D::Error> {
    let expecting = "a size with a unit, such as \"16KiB\" or \"1MiB\"";
    text(deserializer, expecting, |text| {
        let bytes = bytes_of(text).ok_or_else(|| format!("`{text}` is not {expecting}"))?;
        if bytes < min || bytes > max {
            return Err(format!("`{text}` is outside {min}B to {max}B"));
        }
        Ok(bytes)
    })
}

fn bytes_of(text: &str) -> Option<usize> {
    let digits = text.find(|c: char| !c.is_ascii_digit())?;
    let number: usize = text[..digits].parse().ok()?;
    let unit = match text[digits..].trim_start() {
        "B" => 1,
        "KiB" => 1 << 10,
        "MiB" => 1 << 20,
        "GiB" => 1 << 30,
        _ => return None,
    };
    number.checked_mul(unit)
}

/// A size from 1 KiB to 64 MiB.
pub(super) fn body_size<'de, D: Deserializer<'de>>(d: D) -> std::result::Result<usize, D::Error> {
    size(d, 1 << 10, 64 << 20)
}

/// A size from 1 MiB to 64 GiB.
pub(super) fn memory_size<'de, D: Deserializer<'de>>(
    d: D,
) -> std::result::Result<Option<usize>, D::Error> {
    size(d, 1 << 20, 64 << 30).map(Some)
}

/// A number from 1 to 10,000,000, whose fraction is dropped.
pub(super) fn capacity<'de, D: Deserializer<'de>>(
    d: D,
) -> std::result::Result<Option<usize>, D::Error> {
    let number = f64::deserialize(d)?;
    match (1.0..=MAX_CAPACITY).contains(&number) {
        true => Ok(Some(number as usize)),
        false => Err(D::Error::custom(format!(
            "{number} is outside 1 to {MAX_CAPACITY}"
        ))),
    }
}

/// A size from 8 KiB to 1 MiB.
pub(super) fn header_size<'de, D: Deserializer<'de>>(d: D) -> std::result::Result<usize, D::Error> {
    size(d, 8 << 10, 1 << 20)
}

/// A number from 1 to 100,000.
pub(super) fn count<'de, D: Deserializer<'de>>(d: D) -> std::result::Result<usize, D::Error> {
    d.deserialize_u64(CountVisitor)
}

/// A name of letters, digits, `-`, `_` and `.`, up to 64 bytes.
pub(super) fn name<'de, D: Deserializer<'de>>(d: D) -> std::result::Result<SmolStr, D::Error> {
    text(d, "a name", |text| {
        let valid = |c: char| c.is_ascii_alphanumeric() || "-_.".contains(c);
        if text.is_empty() || text.len() > MAX_NAME || !text.chars().all(valid) {
            return Err(format!(
                "`{text}` is not a name of 1 to {MAX_NAME} letters, digits, `-`, `_` and `.`"
            ));
        }
        Ok(text.into())
    })
}

/// An address to connect to, with a port other than 0.
pub(super) fn remote<'de, D: Deserializer<'de>>(d: D) -> std::result::Result<SocketAddr, D::Error> {
    text(
        d,
        "an address as IP:port",
        |text| match SocketAddr::from_str(text) {
            Ok(address) if address.port() != 0 => Ok(address),
            Ok(_) => Err(format!("`{text}` has port 0")),
            Err(_) => Err(format!("`{text}` is not an address as IP:port")),
        },
    )
}

/// 64 hexadecimal digits.
pub(super) fn digest<'de, D: Deserializer<'de>>(
    d: D,
) -> std::result::Result<Option<KeyDigest>, D::Error> {
    // The error does not repeat the value: it may be a key pasted by mistake.
    text(d, "a digest of 64 hexadecimal digits", |text| {
        KeyDigest::from_hex(text)
            .map(Some)
            .ok_or_else(|| "digest is not 64 hexadecimal digits".into())
    })
}

struct Level(LevelFilter);

impl<'de> Deserialize<'de> for Level {
    fn deserialize<D: Deserializer<'de>>(d: D) -> std::result::Result<Self, D::Error> {
        level(d).map(Self)
    }
}

/// A log level.
pub(super) fn level<'de, D: Deserializer<'de>>(d: D) -> std::result::Result<LevelFilter, D::Error> {
    text(d, "a log level", |text| {
        LevelFilter::from_str(text).map_err(|_| {
            format!("`{text}` is not one of `off`, `error`, `warn`, `info`, `debug`, `trace`")
        })
    })
}

/// Log levels by module path.
pub(super) fn levels<'de, D: Deserializer<'de>>(
    d: D,
) -> std::result::Result<BTreeMap<String, LevelFilter>, D::Error> {
    let levels = BTreeMap::<String, Level>::deserialize(d)?;
    Ok(levels
        .into_iter()
        .map(|(module, level)| (module, level.0))
        .collect())
}
