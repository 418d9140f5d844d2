//! The `prelude` module provides the types that nearly every module uses.

pub use crate::action::CoreAction;
pub use crate::clock::ClockTime;
pub use crate::event::CoreEvent;
pub use crate::names::{
    AttemptId, BudgetName, CallId, DomainName, HostName, KeyOrigin, KeyText, ModelName, ObjectKey,
    OwnerName, RequestKey, RouteName, RouterIncarnation, ServiceName, SoftwareVersion, StreamId,
    TargetName, TopUpId, WorkspaceName,
};
pub use crate::outbox::CoreOutbox;
pub use crate::refusal::{CallRefusal, RanState, RefusalReason};
pub use crate::signal::CoreSignal;
