//! Checks that the chunks of an answer belong to the request and are complete.

use smol_str::SmolStr;

use crate::engine::{EngineChunk, FinishReason};

/// What to do with a chunk.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ChunkVerdict {
    /// The chunk is the next token of this answer.
    Forward,
    /// The chunk belongs to another answer or was forwarded before.
    Skip,
    /// The answer is complete.
    Finish(FinishReason),
    /// Tokens are missing; the stream cannot go on.
    Gap,
}

/// Tracks one answer across all backend servers that send parts of it.
#[derive(Debug)]
pub struct AnswerChecker {
    id: SmolStr,
    tokens: Vec<SmolStr>,
}

impl AnswerChecker {
    /// Creates a checker for the answer to the request `id`, without tokens.
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

    /// Decides what to do with the next chunk from a backend server.
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
            // The index of the last chunk is the number of tokens before it, so a lower one means a repeated chunk.
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
