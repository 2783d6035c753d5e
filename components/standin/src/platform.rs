//! Serves the key-value service.

use std::net::SocketAddr;
use std::sync::Arc;

use errors::{Error, Result};
use libs::rouille::Server;

use crate::kv::KvServer;

/// Threads that answer. Waiting watches hold one each.
const THREADS: usize = 64;

/// Serves the key-value service until the process ends.
pub fn serve_platform(listen: SocketAddr) -> Result<()> {
    let kv = Arc::new(KvServer::default());
    let server = Server::new(listen, move |request| kv.handle(request))
        .map_err(|error| Error::Net(format!("cannot listen on {listen}: {error}")))?
        .pool_size(THREADS);
    server.run();
    Ok(())
}
