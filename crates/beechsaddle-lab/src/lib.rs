//! Stand-ins, load and soak tests, and experiments for beechsaddle. Not shipped.

#![forbid(unsafe_code)]
#![warn(rust_2018_idioms)]

pub mod demo;
pub mod fleet;
pub mod key_values;
pub mod load;
pub mod measure;
pub mod soak;
pub mod stand_in;
