//! Placeholder.

use std::path::Path;

use errors::Result;

/// Measures slopes.
pub fn run(_out: &Path) -> Result<()> {
    Ok(())
}
