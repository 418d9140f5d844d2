//! The `hosts_codec` module provides the encoding of host lists, in the CBOR that the platform
//! stores.

use beechsaddle_core::members::HostList;
use beechsaddle_core::objects::PlatformObject;

use crate::error::{Result, WireError};
use crate::peer_capnp;
use crate::platform_codec::{decode_object, encode_object};

/// Encodes a list of hosts.
pub(super) fn write_hosts(
    version: u64,
    hosts: &HostList,
    mut builder: peer_capnp::hosts_update::Builder<'_>,
) -> Result<()> {
    builder.set_version(version);
    builder.set_hosts(&encode_object(&PlatformObject::Hosts(hosts.clone()))?);
    Ok(())
}

/// Decodes a list of hosts.
pub(super) fn read_hosts(reader: peer_capnp::hosts_update::Reader<'_>) -> Result<(u64, HostList)> {
    match decode_object(reader.get_hosts()?)? {
        PlatformObject::Hosts(hosts) => Ok((reader.get_version(), hosts)),
        _ => Err(WireError::Decode("not a list of hosts".to_owned())),
    }
}
