//! The beechsaddle router and its command line.
//!
//! The crate executes the decisions of `beechsaddle-core`. Each edge is a module of its own.

#![forbid(unsafe_code)]
#![warn(rust_2018_idioms)]

pub mod calls;
pub mod catalogue_files;
pub mod command;
pub mod explain;
pub mod findings;
pub mod gateway;
pub mod operator;
pub mod peers;
pub mod platform;
pub mod report;
pub mod router;
pub mod settings;
