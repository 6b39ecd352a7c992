//! The tokens that a stand-in engine generates. They are a pure function of the request, so that tests can compare
//! complete answers.

use serde_json::Value;
use smol_str::{SmolStr, format_smolstr};
use xxhash_rust::xxh3::xxh3_64;

/// A prompt that contains `<tokens=N>` is answered with exactly N tokens, unless `max_tokens` is lower.
const LENGTH_MARKER: &str = "<tokens=";
/// Range of answer lengths for prompts without a length marker, in tokens.
const DEFAULT_LENGTH: std::ops::Range<u64> = 16..144;
/// Bytes of a prompt that count as one token.
const BYTES_PER_TOKEN: usize = 4;

/// The generated answer to one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AnswerScript {
    seed: u64,
    full_length: u32,
    prompt_tokens: u32,
}

impl AnswerScript {
    /// Derives the answer. `messages` is the JSON text of the chat; whitespace and field order do not matter.
    pub fn new(model: &str, version: &str, adapter: Option<&str>, messages: &[u8]) -> Self {
        let text = canonical(messages);
        let adapter = adapter.map_or_else(|| "-".to_owned(), |name| format!("+{name}"));
        let identity = format!("{model}\0{version}\0{adapter}\0{text}");
        let seed = xxh3_64(identity.as_bytes());
        let span = DEFAULT_LENGTH.end - DEFAULT_LENGTH.start;
        let default_length = DEFAULT_LENGTH.start + seed % span;
        let prompt = text.len().div_ceil(BYTES_PER_TOKEN);
        Self {
            seed,
            full_length: length_from_marker(&text).unwrap_or(default_length as u32),
            prompt_tokens: u32::try_from(prompt).unwrap_or(u32::MAX),
        }
    }

    /// Returns the token at `index`, counted from 0.
    pub fn token(&self, index: u32) -> SmolStr {
        let mut input = [0; 12];
        input[..8].copy_from_slice(&self.seed.to_le_bytes());
        input[8..].copy_from_slice(&index.to_le_bytes());
        format_smolstr!("{:05x} ", xxh3_64(&input) & 0xf_ffff)
    }

    /// Returns the number of tokens of the answer under a limit of `max_tokens`.
    pub fn length(&self, max_tokens: u32) -> u32 {
        self.full_length.min(max_tokens)
    }

    /// Returns whether the limit of `max_tokens` truncates the answer.
    pub fn is_truncated(&self, max_tokens: u32) -> bool {
        self.full_length > max_tokens
    }

    /// Returns the text of the answer under a limit of `max_tokens`.
    pub fn text(&self, max_tokens: u32) -> String {
        (0..self.length(max_tokens)).fold(String::new(), |text, index| text + &self.token(index))
    }

    /// Returns the number of tokens of the prompt.
    pub fn prompt_tokens(&self) -> u32 {
        self.prompt_tokens
    }
}

/// Returns the JSON with sorted fields and without whitespace, or the text unchanged if it is not JSON.
fn canonical(messages: &[u8]) -> String {
    serde_json::from_slice::<Value>(messages).map_or_else(
        |_| String::from_utf8_lossy(messages).into_owned(),
        |value| value.to_string(),
    )
}

fn length_from_marker(text: &str) -> Option<u32> {
    let (_, rest) = text.split_once(LENGTH_MARKER)?;
    let (number, _) = rest.split_once('>')?;
    number.parse().ok()
}
