//! Handles the signals for shutdown and reload.

use std::thread;

use errors::{Error, Result};
use libs::signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use libs::signal_hook::iterator::Signals;

use crate::CancellationToken;

/// Cancels the token when SIGTERM or SIGINT arrives.
pub fn cancel_on_signals(token: CancellationToken) -> Result<()> {
    let mut signals = Signals::new([SIGTERM, SIGINT])
        .map_err(|error| Error::Io("cannot handle SIGTERM and SIGINT".to_owned(), error))?;
    thread::Builder::new()
        .name("signals".to_owned())
        .spawn(move || {
            if signals.forever().next().is_some() {
                token.cancel();
            }
        })
        .map_err(|error| Error::Io("cannot start the signal thread".to_owned(), error))?;
    Ok(())
}

/// Calls `reload` on a dedicated thread for each SIGHUP.
pub fn on_reload_signal(reload: impl Fn() + Send + 'static) -> Result<()> {
    let mut signals = Signals::new([SIGHUP])
        .map_err(|error| Error::Io("cannot handle SIGHUP".to_owned(), error))?;
    thread::Builder::new()
        .name("reload".to_owned())
        .spawn(move || signals.forever().for_each(|_| reload()))
        .map_err(|error| Error::Io("cannot start the reload thread".to_owned(), error))?;
    Ok(())
}
