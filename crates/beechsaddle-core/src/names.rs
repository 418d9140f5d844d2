//! The `names` module provides shared immutable names and the identities made of them.

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
            /// Makes the name; the text is copied once and shared from then on.
            pub fn new(text: impl AsRef<str>) -> Self {
                $name(Arc::from(text.as_ref()))
            }

            /// The name as text.
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
    /// The name of a host, either a router's or a target's.
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
    /// The name of a route.
    RouteName
}
shared_name! {
    /// The person or team that answers for a catalogue entry.
    OwnerName
}
shared_name! {
    /// The id of a top-up; applying one id twice has the effect of once.
    TopUpId
}
shared_name! {
    /// The key of an object at the platform, parts joined by `/`.
    ObjectKey
}
shared_name! {
    /// An idempotency key, unique within its workspace.
    KeyText
}

/// One life of a router process; a restart on the same host is another incarnation.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RouterIncarnation {
    /// The host the router runs on.
    pub host: HostName,
    /// A number that differs between lives on one host; later lives have higher numbers.
    pub epoch: u64,
}

impl RouterIncarnation {
    /// Joins a host and an epoch.
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

/// Identifies one call that a router took from a caller; no two calls ever share it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct CallId {
    /// The router that took the call.
    pub router: RouterIncarnation,
    /// Counts the calls of that incarnation.
    pub number: u64,
}

impl fmt::Display for CallId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}#{}", self.router, self.number)
    }
}

/// Identifies one dispatch of a call to a target; sent to the target, checked on its answer.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct AttemptId {
    /// The call that is tried.
    pub call: CallId,
    /// Counts the attempts of that call from zero.
    pub ordinal: u32,
}

impl fmt::Display for AttemptId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}.{}", self.call, self.ordinal)
    }
}

/// Who chose an idempotency key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum KeyOrigin {
    /// The caller sent it and may send it again, through any router.
    Caller,
    /// The router made it; it cannot come twice.
    Router,
}

/// The idempotency key of a request; there is one bill for each.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RequestKey {
    /// The workspace whose keys these are.
    pub workspace: WorkspaceName,
    /// The key itself.
    pub text: KeyText,
    /// Who chose it.
    pub origin: KeyOrigin,
}

impl fmt::Display for RequestKey {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}/{}", self.workspace, self.text)
    }
}
