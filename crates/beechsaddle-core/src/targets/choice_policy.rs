//! The `choice_policy` module provides the policies for choosing a target.

/// How a target is chosen among the candidates for a call.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ChoicePolicy {
    /// Chooses engines by the expected time to first token, including cached prefixes, and plain
    /// services by the fewer calls in flight of two random candidates.
    #[default]
    Adaptive,
    /// Chooses the target with the fewest calls in flight from this router.
    LeastInFlight,
    /// Chooses a random target with uniform probability.
    Random,
}
