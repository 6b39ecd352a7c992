//! By what requests with the same prompt, or with a part of it in common, are recognised.

use crate::blame::PartId;
use crate::ids::KeyDigest;
use crate::relay::format::RequestMetadata;

/// Returns the digest by which a repetition of a request is recognised. A prompt that is named in the headers belongs to
/// it, as requests with other prompts may have the same team, path and body.
pub(super) fn prompt_fingerprint(call_digest: KeyDigest, metadata: &RequestMetadata) -> KeyDigest {
    if metadata.prompt.is_empty() {
        return call_digest;
    }
    let mut bytes = call_digest.0.to_vec();
    for name in [&metadata.model, &metadata.adapter] {
        bytes.extend_from_slice(name.as_deref().unwrap_or_default().as_bytes());
        bytes.push(0);
    }
    for part in &metadata.prompt {
        bytes.extend_from_slice(&part.id.to_le_bytes());
    }
    KeyDigest::of(&bytes)
}

/// Returns what a request with a prompt may share with other requests: its team, path and body, then all prompt parts
/// but the last, which belongs to the request or its session.
pub(super) fn shared_parts(call_digest: &KeyDigest, metadata: &RequestMetadata) -> Vec<PartId> {
    let Some((_, shared)) = metadata.prompt.split_last() else {
        return Vec::new();
    };
    let call = std::iter::once(PartId::of_call(call_digest));
    call.chain(shared.iter().map(|part| PartId(part.id)))
        .collect()
}
