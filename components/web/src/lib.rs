//! Single-threaded HTTP/1.1 client and server for processes with many concurrent calls.

mod body;
mod client;
mod connection;
mod server;

pub use hyper::Method;

pub use client::{CallError, Client, Identify, Instance, InstanceError, Request, Response};
pub use connections::ServerLimits;
pub use server::{
    Handler, Rejection, RequestPermit, ServerRequest, ServerResponse, listen, serve, serve_within,
};
