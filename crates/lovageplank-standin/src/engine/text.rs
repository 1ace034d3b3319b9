//! The text that an engine makes up: a function of model, adapter and prompt alone.
//!
//! ```
//! use lovageplank_standin::engine::text;
//! let hash = text::hash("mason", Some("salt"), "Describe the arch");
//! assert_eq!(text::token(hash, 0), format!("{hash:016x}-0 "));
//! ```

/// Characters of a prompt that count as its prefix.
pub const PREFIX_CHARS: usize = 64;

const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0100_0000_01b3;

/// Hashes what an answer depends on (FNV-1a over 64 bits).
pub fn hash(model: &str, adapter: Option<&str>, prompt: &str) -> u64 {
    let parts = [model, adapter.unwrap_or_default(), prompt];
    let bytes = parts.iter().flat_map(|part| part.bytes().chain([0]));
    fnv(bytes)
}

/// Hashes the start of a prompt, the unit of the prefix cache.
pub fn prefix(model: &str, prompt: &str) -> u64 {
    let start: String = prompt.chars().take(PREFIX_CHARS).collect();
    hash(model, None, &start)
}

/// Returns the token at a position of the answer.
pub fn token(hash: u64, position: u32) -> String {
    format!("{hash:016x}-{position} ")
}

/// Returns a whole answer of so many tokens.
pub fn full_text(hash: u64, tokens: u32) -> String {
    (0..tokens).map(|position| token(hash, position)).collect()
}

fn fnv(bytes: impl Iterator<Item = u8>) -> u64 {
    bytes.fold(FNV_OFFSET, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(FNV_PRIME)
    })
}
