//! Hashes that are the same in all processes and versions of carobsill.

use libs::sha2::{Digest, Sha256};

/// Hashes a list of byte strings. The boundaries count: `["ab", "c"]` and `["a", "bc"]` differ.
pub fn stable_hash(parts: &[&[u8]]) -> u64 {
    let mut hasher = Sha256::new();
    for part in parts {
        hasher.update((part.len() as u64).to_le_bytes());
        hasher.update(part);
    }
    let digest = hasher.finalize();
    digest.iter().take(8).fold(0, |hash, byte| (hash << 8) | u64::from(*byte))
}

/// Ranks the candidates for a subject by rendezvous hashing, best first.
///
/// The score of a subject and a candidate is fixed, so that removing a candidate only reassigns
/// the subjects that ranked it first.
pub fn rendezvous<'a, T>(subject: &str, candidates: impl Iterator<Item = &'a T>) -> Vec<&'a T>
where
    T: std::fmt::Display,
{
    let mut scored: Vec<(u64, &T)> = candidates
        .map(|candidate| {
            (stable_hash(&[subject.as_bytes(), candidate.to_string().as_bytes()]), candidate)
        })
        .collect();
    scored.sort_by_key(|(score, _)| std::cmp::Reverse(*score));
    scored.into_iter().map(|(_, candidate)| candidate).collect()
}
