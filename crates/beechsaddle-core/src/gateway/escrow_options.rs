//! The `escrow_options` module provides how an escrow trades idle tokens against outages.

/// How the escrow trades tokens held idle against serving while the ledger cannot be written.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EscrowOptions {
    /// Seconds of its domain's demand that a router holds of the workspaces that it keeps: an outage
    /// of this length refuses nobody, and a kill loses as much.
    pub hold_s: f64,
    /// Seconds of its domain's demand that a keeper may use at any time; what it holds beyond that is deferred. More
    /// than `defer_ms`, or calls are refused in an outage before what is deferred may be used.
    pub open_s: f64,
    /// How long after its last write a keeper uses what it deferred, in milliseconds; 0 defers nothing. A process that
    /// follows it sooner gives those tokens back, in place of their loss.
    pub defer_ms: u64,
    /// Seconds of its own demand that a router borrows ahead from the one that keeps a workspace. What
    /// borrowers hold is split among dozens of routers and covers few whole calls in an outage.
    pub borrow_s: f64,
    /// Below which part of what is wanted more is taken. An outage begins anywhere between two writes, so
    /// callers can rely on this part of `hold_s` alone; the rest is only lost with the router.
    pub refill_part: f64,
    /// The most that keepers hold, as a multiple of an equal part of what is not spent. Above 1, as the callers
    /// of a workspace are mostly in few domains; keepers whose callers need less hold less.
    pub most_part: f64,
    /// The most that one router holds, as a part of what is not spent: a kill loses no more, however small
    /// the fleet is.
    pub most_alone: f64,
    /// The part of the prepaid total that may die with routers. The more of it is lost already, the less is
    /// held ahead, so that any number of deaths refuses callers little more than this part of what they paid
    /// for.
    pub lost_part: f64,
    /// Seconds of its demand that a keeper holds however much is lost. With less nearly every call would wait
    /// for a write of the ledger.
    pub least_s: f64,
    /// What a keeper holds before demand is known, as a multiple of an equal part: the first callers are served
    /// when the ledger is out of reach.
    pub first_part: f64,
    /// The part of the prepaid total after whose use demand is known, and a keeper holds what its domain's callers
    /// use. Until then `first_part` falls evenly.
    pub known_part: f64,
    /// The part of the prepaid total below which routers hold less and look more often.
    pub scarce_part: f64,
    /// The last part of the prepaid total, of which nothing is held in advance: whoever needs it
    /// finds it in the ledger.
    pub last_part: f64,
    /// The part of the prepaid total that keepers may leave idle with all routers of the fleet, because giving
    /// back each one's share of it is not worth a write.
    pub slack_part: f64,
    /// The same where little is left, and of what borrowers hold: no more of a total than this is out of
    /// callers' reach because it lies in small rests.
    pub slack_scarce: f64,
    /// From which multiple of what is wanted a surplus is given back: a burst's rest that stays at a router is
    /// lost with it, and one that goes back too soon is asked for again by the next calls.
    pub give_back_at: f64,
    /// How long a request must not have fitted before it is refused for good, in milliseconds. Until
    /// then others may give back enough.
    pub give_back_ms: u64,
}

impl Default for EscrowOptions {
    fn default() -> Self {
        EscrowOptions {
            hold_s: 10.5,
            open_s: 5.0,
            defer_ms: 4_500,
            borrow_s: 0.1,
            refill_part: 0.85,
            most_part: 2.5,
            most_alone: 0.5,
            lost_part: 0.06,
            least_s: 1.0,
            first_part: 0.12,
            known_part: 0.12,
            scarce_part: 0.15,
            last_part: 0.04,
            slack_part: 0.05,
            slack_scarce: 0.01,
            give_back_at: 1.3,
            give_back_ms: 1_300,
        }
    }
}
