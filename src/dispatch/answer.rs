//! Checks that the chunks of an answer belong to the request and are complete.

use smol_str::SmolStr;

use crate::engine::{EngineChunk, FinishReason};

/// What to do with a chunk.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ChunkVerdict {
    /// The next token of this answer.
    Forward,
    /// A token of another answer, or one that was forwarded before.
    Skip,
    /// The answer is complete.
    Finish(FinishReason),
    /// Tokens are missing; the stream cannot go on.
    Gap,
}

/// Follows one answer across all backend servers that contribute to it.
#[derive(Debug)]
pub struct AnswerChecker {
    id: SmolStr,
    tokens: Vec<SmolStr>,
}

impl AnswerChecker {
    /// Starts an empty answer to the request `id`.
    pub fn new(id: SmolStr) -> Self {
        Self {
            id,
            tokens: Vec::new(),
        }
    }

    /// Returns the tokens forwarded so far, from which another backend server resumes.
    pub fn tokens(&self) -> &[SmolStr] {
        &self.tokens
    }

    /// Judges the next chunk that a backend server sent.
    ///
    /// A chunk with another id is skipped and not an error: the answer of this request may still follow it.
    pub fn check(&mut self, chunk: &EngineChunk) -> ChunkVerdict {
        if chunk.id != self.id {
            return ChunkVerdict::Skip;
        }
        let index = chunk.index as usize;
        if index > self.tokens.len() {
            return ChunkVerdict::Gap;
        }
        if let Some(reason) = chunk.finish {
            // The last chunk counts the tokens before it, so a lower index is a repeated chunk.
            return if index == self.tokens.len() {
                ChunkVerdict::Finish(reason)
            } else {
                ChunkVerdict::Skip
            };
        }
        if index < self.tokens.len() {
            return ChunkVerdict::Skip;
        }
        self.tokens.push(chunk.text.clone());
        ChunkVerdict::Forward
    }
}
