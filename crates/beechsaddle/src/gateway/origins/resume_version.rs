//! The `resume_version` module provides the facts by which resumed streams are counted.

use beechsaddle_core::prelude::*;

/// Who resumed a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(in crate::gateway) enum ResumeActor {
    /// The router, within one response.
    Router,
    /// The caller, with another attempt.
    Caller,
}

impl ResumeActor {
    /// All actors.
    pub(in crate::gateway) const ALL: [ResumeActor; 2] = [ResumeActor::Router, ResumeActor::Caller];

    /// Returns the name in metrics.
    pub(in crate::gateway) fn as_str(self) -> &'static str {
        match self {
            ResumeActor::Router => "router",
            ResumeActor::Caller => "caller",
        }
    }
}

/// The software version at which a stream was resumed, in relation to the one that began it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(in crate::gateway) enum ResumeVersion {
    Same,
    Other,
    /// The version that began the stream is not known.
    Unknown,
}

impl ResumeVersion {
    /// All relations.
    pub(in crate::gateway) const ALL: [ResumeVersion; 3] = [
        ResumeVersion::Same,
        ResumeVersion::Other,
        ResumeVersion::Unknown,
    ];

    /// Returns the relation of a version to the one that began the stream.
    pub(in crate::gateway) fn compare(
        began_at: Option<&SoftwareVersion>,
        version: &SoftwareVersion,
    ) -> Self {
        match began_at {
            Some(began_at) if began_at == version => ResumeVersion::Same,
            Some(_) => ResumeVersion::Other,
            None => ResumeVersion::Unknown,
        }
    }

    /// Returns the name in metrics and logs.
    pub(in crate::gateway) fn as_str(self) -> &'static str {
        match self {
            ResumeVersion::Same => "same",
            ResumeVersion::Other => "other",
            ResumeVersion::Unknown => "unknown",
        }
    }
}
