//! The text of an engine's answers, which depends only on the model, the adapter and the prompt.
//!
//! ```
//! use lovageplank_standin::engine::text;
//! let hash = text::hash("mason", Some("salt"), "Describe the arch");
//! assert_eq!(text::token(hash, 0), format!("{hash:016x}-0 "));
//! ```

/// Length in characters of the prompt prefix that the prefix cache uses.
pub const PREFIX_CHARS: usize = 64;

const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0100_0000_01b3;

/// Hashes the model, adapter and prompt, which determine an answer (64-bit FNV-1a).
pub fn hash(model: &str, adapter: Option<&str>, prompt: &str) -> u64 {
    let parts = [model, adapter.unwrap_or_default(), prompt];
    let bytes = parts.iter().flat_map(|part| part.bytes().chain([0]));
    fnv(bytes)
}

/// Hashes a model and the prefix of a prompt; the prefix cache uses it as its key.
pub fn prefix(model: &str, prompt: &str) -> u64 {
    let start: String = prompt.chars().take(PREFIX_CHARS).collect();
    hash(model, None, &start)
}

/// Returns the text of the token at a position of an answer.
pub fn token(hash: u64, position: u32) -> String {
    format!("{hash:016x}-{position} ")
}

/// Returns the text of an answer of `tokens` tokens.
pub fn full_text(hash: u64, tokens: u32) -> String {
    (0..tokens).map(|position| token(hash, position)).collect()
}

fn fnv(bytes: impl Iterator<Item = u8>) -> u64 {
    bytes.fold(FNV_OFFSET, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(FNV_PRIME)
    })
}
