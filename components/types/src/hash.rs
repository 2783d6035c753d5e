//! Hashes that are equal in all processes and versions of carobsill.

use libs::sha2::{Digest, Sha256};

/// Hash of a list of parts, with the borders between them.
pub fn stable_hash(parts: &[&[u8]]) -> u64 {
    let mut hasher = Sha256::new();
    for part in parts {
        hasher.update((part.len() as u64).to_le_bytes());
        hasher.update(part);
    }
    let digest = hasher.finalize();
    digest.iter().take(8).fold(0, |hash, byte| (hash << 8) | u64::from(*byte))
}

/// Orders candidates for a subject by rendezvous hashing, best first.
///
/// Each pair of subject and candidate has a fixed score, so that the loss of one candidate
/// moves only the subjects that had it first.
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
