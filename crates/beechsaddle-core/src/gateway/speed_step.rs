//! The `speed_step` module provides coarse steps of a target's speed, relative to what is usual for
//! its service.

/// The speed of a target relative to the usual one of its service.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum SpeedStep {
    /// As fast as usual, faster, or unknown.
    #[default]
    Usual,
    /// Nearly twice as slow: callers notice a longer wait.
    Slow,
    /// Nearly three times as slow: callers notice pauses between events.
    VerySlow,
}

/// What a request waits for most.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SpeedKind {
    /// The events of the answer.
    Events,
    /// The prompt to be processed before the first event.
    Reading,
}

/// The usual time at most, as a multiple, at which a target enters a step from a faster one. Targets
/// that differ by a third never do, whichever of them is the usual one.
const ENTER_SLOW: f64 = 1.8;
const ENTER_VERY_SLOW: f64 = 2.6;

/// The multiple below which a target leaves a step for a faster one. The distance to the multiple at
/// which it enters keeps samples with some noise from moving the parts of a prompt back and forth.
const LEAVE_SLOW: f64 = 1.5;
const LEAVE_VERY_SLOW: f64 = 2.2;

/// The number of looks in a row in which a target has to be slower before its step rises, so that a
/// stall of some hundred milliseconds moves nothing.
const RISE_LOOKS: u32 = 3;

impl SpeedStep {
    /// Returns the weight of the target in rendezvous hashing.
    pub fn weight(self) -> f64 {
        match self {
            SpeedStep::Usual => 1.0,
            SpeedStep::Slow => 1.0 / 4.0,
            SpeedStep::VerySlow => 1.0 / 16.0,
        }
    }

    /// Returns how many times the usual time the target takes at least, roughly.
    pub fn slowdown(self) -> f64 {
        match self {
            SpeedStep::Usual => 1.0,
            SpeedStep::Slow => 2.0,
            SpeedStep::VerySlow => 3.0,
        }
    }

    /// Returns the name of the step, for operators.
    pub fn as_str(self) -> &'static str {
        match self {
            SpeedStep::Usual => "usual",
            SpeedStep::Slow => "slow",
            SpeedStep::VerySlow => "very_slow",
        }
    }

    /// Returns the step of a target that takes `ratio` times the usual time and was at this step.
    fn next(self, ratio: f64) -> Self {
        let bound = |step, enter, leave| if self >= step { leave } else { enter };
        if ratio >= bound(SpeedStep::VerySlow, ENTER_VERY_SLOW, LEAVE_VERY_SLOW) {
            return SpeedStep::VerySlow;
        }
        match ratio >= bound(SpeedStep::Slow, ENTER_SLOW, LEAVE_SLOW) {
            true => SpeedStep::Slow,
            false => SpeedStep::Usual,
        }
    }
}

impl SpeedKind {
    /// Returns the name of the kind, for operators.
    pub fn as_str(self) -> &'static str {
        match self {
            SpeedKind::Events => "events",
            SpeedKind::Reading => "reading",
        }
    }
}

/// The step of one target over time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StepTracker {
    step: SpeedStep,
    rises: u32,
}

impl StepTracker {
    /// Returns the current step.
    pub fn step(&self) -> SpeedStep {
        self.step
    }

    /// Takes the target's time as a multiple of the usual one; `None` if either is unknown, which
    /// makes the target a usual one. Returns whether the step changed.
    pub fn look(&mut self, ratio: Option<f64>) -> bool {
        let next = ratio.map_or(SpeedStep::Usual, |ratio| self.step.next(ratio));
        self.rises = match next > self.step {
            true => self.rises + 1,
            false => 0,
        };
        let is_change = next < self.step || self.rises >= RISE_LOOKS;
        if is_change {
            self.step = next;
            self.rises = 0;
        }
        is_change
    }
}
