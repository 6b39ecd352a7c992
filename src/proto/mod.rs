//! Code generated from `schema/operator.proto`; `tests/schema.rs` compares it with the schema and can rewrite it.

#![allow(
    missing_docs,
    rust_2018_idioms,
    clippy::all,
    clippy::unwrap_used,
    clippy::use_self
)]

include!("foxtailhill.operator.v1.rs");
