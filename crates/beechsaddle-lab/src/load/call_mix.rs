//! The `call_mix` module provides the relative weights of call kinds.

use std::str::FromStr;

use rand::Rng;

use super::CallKind;

/// Relative weights of the call kinds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallMix {
    weights: [u32; CallKind::ALL.len()],
}

impl CallMix {
    /// Creates a mix from weights in the order of [`CallKind::ALL`].
    ///
    /// # Errors
    ///
    /// Returns an error if all weights are zero.
    pub fn try_new(weights: [u32; CallKind::ALL.len()]) -> Result<Self, String> {
        if weights.iter().all(|weight| *weight == 0) {
            return Err("at least one weight of the mix has to be above zero".to_owned());
        }
        Ok(CallMix { weights })
    }

    /// A mix of streamed chats only.
    pub fn only_streams() -> Self {
        CallMix {
            weights: [1, 0, 0, 0],
        }
    }

    /// A mix of repeatable calls to a plain service only.
    pub fn only_plain() -> Self {
        CallMix {
            weights: [0, 0, 1, 0],
        }
    }

    /// Draws a kind in proportion to the weights.
    pub fn pick(&self, random: &mut impl Rng) -> CallKind {
        let sum: u32 = self.weights.iter().sum();
        let mut left = random.random_range(0..sum);
        for (kind, weight) in CallKind::ALL.into_iter().zip(self.weights) {
            if left < weight {
                return kind;
            }
            left -= weight;
        }
        CallKind::StreamedChat
    }
}

impl Default for CallMix {
    /// Mostly streamed chats, as the assistants of both example deployments send.
    fn default() -> Self {
        CallMix {
            weights: [60, 10, 25, 5],
        }
    }
}

impl FromStr for CallMix {
    type Err = String;

    /// Parses `streamed:whole:plain:not-repeatable`, for example `60:10:25:5`.
    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let parts: Vec<&str> = text.split(':').collect();
        let parts: [&str; CallKind::ALL.len()] = parts
            .try_into()
            .map_err(|_| "four weights joined by colons are needed, as in 60:10:25:5".to_owned())?;
        let mut weights = [0; CallKind::ALL.len()];
        for (weight, part) in weights.iter_mut().zip(parts) {
            *weight = part
                .parse()
                .map_err(|_| format!("{part:?} is not a whole number"))?;
        }
        CallMix::try_new(weights)
    }
}
