//! The `names` module provides shared immutable names and the ids that contain them.

use std::borrow::Borrow;
use std::fmt;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

macro_rules! shared_name {
    ($(#[$meta:meta])* $name:ident) => {
        $(#[$meta])*
        #[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $name(Arc<str>);

        impl $name {
            /// Creates the name; the text is copied once and shared by all clones.
            pub fn new(text: impl AsRef<str>) -> Self {
                $name(Arc::from(text.as_ref()))
            }

            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl From<&str> for $name {
            fn from(text: &str) -> Self {
                $name::new(text)
            }
        }

        impl Borrow<str> for $name {
            fn borrow(&self) -> &str {
                &self.0
            }
        }

        impl AsRef<str> for $name {
            fn as_ref(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
                formatter.write_str(&self.0)
            }
        }

        impl fmt::Debug for $name {
            fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(formatter, "{:?}", &*self.0)
            }
        }
    };
}

shared_name! {
    /// The name of a router's or target's host.
    HostName
}
shared_name! {
    /// The name of a failure domain.
    DomainName
}
shared_name! {
    /// The name of a workspace, the party that spends budgets.
    WorkspaceName
}
shared_name! {
    /// The name of a prepaid budget.
    BudgetName
}
shared_name! {
    /// The name of a service that targets offer.
    ServiceName
}
shared_name! {
    /// The name of a model.
    ModelName
}
shared_name! {
    /// The name of a target, one replica of a service.
    TargetName
}
shared_name! {
    /// The software version of a target. Two names that differ are two versions; they have no order.
    SoftwareVersion
}
shared_name! {
    /// The id of a stream: that of the caller's attempt that received its first event.
    StreamId
}
shared_name! {
    RouteName
}
shared_name! {
    /// The person or team responsible for a catalogue entry.
    OwnerName
}
shared_name! {
    /// The id of a top-up; an id is applied only once.
    TopUpId
}
shared_name! {
    /// The key of an object on the platform, with parts joined by `/`.
    ObjectKey
}
shared_name! {
    /// An idempotency key, unique within its workspace.
    KeyText
}

/// One run of a router process; a restart on the same host is another incarnation.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RouterIncarnation {
    /// The host of the router.
    pub host: HostName,
    /// Distinguishes incarnations on one host; later ones have higher numbers.
    pub epoch: u64,
}

impl RouterIncarnation {
    pub fn new(host: impl Into<HostName>, epoch: u64) -> Self {
        RouterIncarnation {
            host: host.into(),
            epoch,
        }
    }
}

impl fmt::Display for RouterIncarnation {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}@{}", self.host, self.epoch)
    }
}

/// Identifies one call that a router took from a caller; never reused.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct CallId {
    /// The call's entry router.
    pub router: RouterIncarnation,
    /// Counts the calls of that incarnation.
    pub number: u64,
}

impl fmt::Display for CallId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}#{}", self.router, self.number)
    }
}

/// Identifies one dispatch of a call to a target; sent to the target and verified on its answer.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct AttemptId {
    pub call: CallId,
    /// Counts the attempts of that call from zero.
    pub ordinal: u32,
}

impl fmt::Display for AttemptId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}.{}", self.call, self.ordinal)
    }
}

/// The origin of an idempotency key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum KeyOrigin {
    /// The caller sent the key and may send it again, through any router.
    Caller,
    /// The router generated the key; it cannot be sent again.
    Router,
}

/// The idempotency key of a request; each key has one bill.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RequestKey {
    /// The workspace in which the key is unique.
    pub workspace: WorkspaceName,
    pub text: KeyText,
    pub origin: KeyOrigin,
}

impl fmt::Display for RequestKey {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}/{}", self.workspace, self.text)
    }
}
