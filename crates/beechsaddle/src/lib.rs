//! The beechsaddle router and its command line.

#![forbid(unsafe_code)]
#![warn(rust_2018_idioms)]

pub mod findings;
pub mod settings;
