//! Single-threaded HTTP/1.1 client and server for processes with many concurrent calls.

mod client;
mod server;

pub use hyper::Method;

pub use client::{CallError, Client, Request, Response};
pub use server::{ServerRequest, ServerResponse, serve};
