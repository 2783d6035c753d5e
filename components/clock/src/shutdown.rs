//! Turns termination signals into cancellation.

use std::thread;

use errors::{Error, Result};
use libs::signal_hook::consts::{SIGINT, SIGTERM};
use libs::signal_hook::iterator::Signals;

use crate::CancellationToken;

/// Cancels the token when SIGTERM or SIGINT arrives.
pub fn cancel_on_signals(token: CancellationToken) -> Result<()> {
    let mut signals = Signals::new([SIGTERM, SIGINT])
        .map_err(|error| Error::File("signals".to_owned(), error))?;
    thread::Builder::new()
        .name("signals".to_owned())
        .spawn(move || {
            if signals.forever().next().is_some() {
                token.cancel();
            }
        })
        .map_err(|error| Error::File("signal thread".to_owned(), error))?;
    Ok(())
}
