//! HTTP server of the key-value service.

use std::net::SocketAddr;
use std::sync::Arc;

use errors::{Error, Result};
use libs::rouille::Server;

use crate::kv::KvServer;

/// Size of the HTTP server's thread pool. Each open watch blocks one thread.
const HTTP_THREADS: usize = 64;

/// Runs the key-value service until the process ends.
pub fn serve_platform(listen: SocketAddr) -> Result<()> {
    let kv = Arc::new(KvServer::default());
    let server = Server::new(listen, move |request| kv.handle(request))
        .map_err(|error| Error::Network(format!("cannot listen on {listen}: {error}")))?
        .pool_size(HTTP_THREADS);
    server.run();
    Ok(())
}
