//! The `origins` module provides the exchange of where streams began between routers.
//!
//! A stream may be resumed only at the software version that began it. Its caller names the attempt
//! that received the first event, and comes to any router. The router that began the stream may have
//! been killed by then, so it tells a few others with the first event. They are chosen by rendezvous
//! hashing over the list of routers, so that each router knows whom to ask. If none of them answers,
//! the stream is refused; nothing else is lost.

mod origin_exchange;
mod origin_link;
mod resume_check;
mod resume_version;

pub(super) use origin_exchange::{OriginManager, publish_origin};
pub(super) use origin_link::read_origin;
pub(super) use resume_check::check_resume;
pub(super) use resume_version::{ResumeActor, ResumeVersion};
