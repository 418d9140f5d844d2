//! The `origin_link` module provides the messages about streams to other routers.

use beechsaddle_core::gateway::{PeerRecord, StreamOrigin};
use beechsaddle_core::prelude::*;
use beechsaddle_wire::lending_capnp::stream_registry;

use crate::gateway::peer_link::PeerLinks;

impl PeerLinks {
    /// Tells a router where a stream began.
    pub(super) async fn send_origin(
        &self,
        peer: &PeerRecord,
        secret: &str,
        stream: &StreamId,
        origin: &StreamOrigin,
    ) -> Result<(), String> {
        let client = self.stream_registry(peer).await?;
        let mut call = client.note_stream_request();
        let mut parameters = call.get();
        parameters.set_secret(secret);
        parameters.set_stream(stream.as_str());
        parameters.set_service(origin.service.as_str());
        parameters.set_version(origin.version.as_str());
        let sent = call.send().promise.await;
        sent.map(drop).map_err(|error| error.to_string())
    }

    /// Asks a router where a stream began. Returns `None` if it does not know, as routers of versions
    /// without this call.
    pub(super) async fn request_origin(
        &self,
        peer: &PeerRecord,
        secret: &str,
        stream: &StreamId,
    ) -> Result<Option<StreamOrigin>, String> {
        let client = self.stream_registry(peer).await?;
        let mut call = client.find_stream_request();
        let mut parameters = call.get();
        parameters.set_secret(secret);
        parameters.set_stream(stream.as_str());
        let reply = match call.send().promise.await {
            Ok(reply) => reply,
            Err(error) if error.kind == capnp::ErrorKind::Unimplemented => return Ok(None),
            Err(error) => return Err(error.to_string()),
        };
        let answer = reply.get().map_err(|error| error.to_string())?;
        if !answer.get_is_known() {
            return Ok(None);
        }
        read_origin(answer.get_service(), answer.get_version())
            .map(Some)
            .map_err(|error| error.to_string())
    }

    async fn stream_registry(&self, peer: &PeerRecord) -> Result<stream_registry::Client, String> {
        let client = self.open_client(peer).await?;
        Ok(stream_registry::Client { client })
    }
}

/// Decodes the origin of a stream.
///
/// # Errors
///
/// If a name is missing or not valid UTF-8.
pub(in crate::gateway) fn read_origin(
    service: capnp::Result<capnp::text::Reader<'_>>,
    version: capnp::Result<capnp::text::Reader<'_>>,
) -> Result<StreamOrigin, capnp::Error> {
    Ok(StreamOrigin {
        service: ServiceName::new(service?.to_str()?),
        version: SoftwareVersion::new(version?.to_str()?),
    })
}
