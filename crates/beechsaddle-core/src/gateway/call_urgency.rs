//! The `call_urgency` module provides the rank of a call among those that compete for scarce
//! tokens or room.

/// The urgency of a call: its workspace's priority if it sets one, else its route's; its route's
/// among the calls of one workspace, which has one priority for all of them. A smaller value is
/// more urgent.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct CallUrgency(pub u8);

impl CallUrgency {
    /// The urgency that no other one exceeds.
    pub const HIGHEST: CallUrgency = CallUrgency(0);
}
