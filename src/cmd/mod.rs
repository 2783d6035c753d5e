//! Subcommands, one module each.

pub mod apply;
pub mod certs;
pub mod check;
pub mod completions;
pub mod domains;
pub mod explain;
pub mod key;
pub mod pull;
pub mod status;
pub mod store;
pub mod teams;
pub mod timeline;

mod admin;
