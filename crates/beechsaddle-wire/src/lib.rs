//! Codecs of beechsaddle: platform objects and messages between routers.

#![forbid(unsafe_code)]
#![warn(rust_2018_idioms)]

mod error;
mod platform_codec;

pub use error::{Result, WireError};
pub use platform_codec::{OBJECT_BYTES_MAX, decode_object, encode_object};
