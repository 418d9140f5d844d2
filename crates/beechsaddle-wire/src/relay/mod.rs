//! The `relay` module provides the encoding of what routers pass on to each other.

mod config_codec;
mod route_codec;

pub use config_codec::{CONFIG_FORMAT, decode_difference, encode_difference};
