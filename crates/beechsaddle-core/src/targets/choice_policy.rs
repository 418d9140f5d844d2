//! The `choice_policy` module provides the ways to choose among the targets that may serve a call.

/// How a target is chosen among those that may serve a call.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ChoicePolicy {
    /// Engines by the expected time to the first token, cached prefixes counted in; plain services
    /// by the fewest calls in flight of two drawn at random.
    #[default]
    Adaptive,
    /// The fewest own calls in flight.
    LeastInFlight,
    /// Any, each with the same probability.
    Random,
}
