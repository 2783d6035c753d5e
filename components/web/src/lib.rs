//! HTTP/1.1 client and server on one thread, for processes with many calls in progress.

mod client;
mod server;

pub use hyper::Method;

pub use client::{CallError, Client, Request, Response};
pub use server::{Reply, ServerRequest, serve};
