//! Re-exports the third-party libraries that several components share, so that
//! their versions and features are set in one place.
//!
//! Crates that derive `serde` or `clap` traits depend on these libraries directly,
//! because the code that the derive macros generate refers to them by path.

pub use bytes;
pub use cadence;
pub use clap_complete;
pub use comfy_table;
pub use compact_str;
pub use crossbeam_channel;
pub use futures_util;
pub use hdrhistogram;
pub use indicatif;
pub use log;
pub use percent_encoding;
pub use plotters;
pub use postcard;
pub use quick_error;
pub use quinn;
pub use rand;
pub use rcgen;
pub use rouille;
pub use rustls;
pub use serde_json;
pub use serde_saphyr;
pub use sha2;
pub use signal_hook;
pub use simplelog;
pub use subtle;
pub use tokio;
pub use tokio_util;
pub use ureq;
