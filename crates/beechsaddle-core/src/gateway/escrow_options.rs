//! The `escrow_options` module provides the options that trade idle tokens against service during
//! outages.

/// Options that trade tokens held idle against service while the ledger cannot be written.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EscrowOptions {
    /// Seconds of its domain's demand that an allocator holds of a workspace. An outage of this
    /// length refuses no call, and a killed router loses this much.
    pub hold_s: f64,
    /// Seconds of its domain's demand that an allocator may use at any time; tokens beyond that are
    /// deferred. What it is below `defer_ms`, calls wait for at the start of an outage: more than
    /// they wait at most is refused.
    pub open_s: f64,
    /// The least seconds of demand that an allocator may use at any time, however much was lost:
    /// nearly every call would wait for a ledger write otherwise.
    pub open_least_s: f64,
    /// How long after a write the first deferred tokens become usable, in milliseconds; 0 defers
    /// none. About as long as power is away in a loss of it and the clocks of hosts may differ:
    /// what becomes usable before the successor's start is lost.
    pub defer_ms: u64,
    /// How much longer tokens stay deferred once `lost_part` is lost, in milliseconds. Little is
    /// held for outages by then, and a further loss would take what callers are owed.
    pub defer_lost_ms: u64,
    /// Seconds of demand that become usable per second from then on. Below 1, calls are refused in
    /// an outage although tokens are held; what is above 1 is lost for each second that all routers
    /// are without power.
    pub open_rate: f64,
    /// The part of the prepaid total that a loss of power may take beyond what it takes right after
    /// a write, before an allocator writes the ledger to defer tokens again. Less is not worth a
    /// write.
    pub renew_part: f64,
    /// Seconds of its own demand that a router borrows in advance from the allocator. The stock of
    /// borrowers is split among dozens of routers and covers few complete calls in an outage.
    pub borrow_s: f64,
    /// The part of the wanted amount below which more is taken. An outage may begin at any point
    /// between two writes, so callers can rely on this part of `hold_s` only; the remainder only
    /// adds to the loss when a router is killed.
    pub refill_part: f64,
    /// The most that allocators hold, as a multiple of an equal part of the unspent tokens. Above
    /// 1, as the callers of a workspace are mostly in few domains; allocators whose callers need
    /// less hold less.
    pub max_part: f64,
    /// The most that one router holds, as a part of the unspent tokens. It bounds the loss of a
    /// killed router, however small the fleet is.
    pub max_single_part: f64,
    /// The part of the prepaid total that may be lost with terminated routers. The more of it is
    /// lost already, the less is held in advance, so that any number of losses costs callers little
    /// more than this part of their total.
    pub lost_part: f64,
    /// Seconds of its demand that an allocator holds however much was lost. With less, nearly every
    /// call would wait for a ledger write.
    pub least_s: f64,
    /// The amount that an allocator holds before demand is known, as a multiple of an equal part.
    /// It serves the first callers while the ledger is unreachable.
    pub first_part: f64,
    /// Once this part of the prepaid total is used, demand counts as known, and an allocator holds
    /// only what its domain's callers use. Until then, `first_part` decreases linearly to 0.
    pub known_part: f64,
    /// The part of the prepaid total below which routers hold less and read the ledger more often.
    pub scarce_part: f64,
    /// The last part of the prepaid total, none of which is held in advance, so that any router
    /// finds it in the ledger.
    pub last_part: f64,
    /// The part of the prepaid total that allocators may leave idle with all routers of the fleet,
    /// because returning each router's share is not worth a write.
    pub slack_part: f64,
    /// Replaces `slack_part` when little is left, and for the tokens of borrowers. No more of a
    /// total than this is unavailable to callers because it is split into small remainders.
    pub slack_scarce: f64,
    /// The multiple of the wanted amount from which a surplus is returned. The surplus of a burst
    /// that stays at a router is lost with it, and one returned too soon is requested again by the
    /// next calls.
    pub give_back_at: f64,
    /// Time after which a request that the remaining tokens do not cover is refused for good, in
    /// milliseconds. Until then other routers may return enough.
    pub give_back_ms: u64,
    /// Seconds for which the last tokens of a total have to last for the more urgent calls: the
    /// time that an operator needs for a top-up. 0 serves calls in the order in which they come,
    /// whatever their urgency.
    pub reserve_s: f64,
    /// The part of the calls of each urgency that is admitted while tokens are kept for more
    /// urgent ones: callers of a less urgent route are slowed down, not turned away for good.
    pub floor_part: f64,
}

impl Default for EscrowOptions {
    fn default() -> Self {
        EscrowOptions {
            hold_s: 10.5,
            open_s: 1.5,
            open_least_s: 0.5,
            defer_ms: 1_900,
            defer_lost_ms: 1_000,
            open_rate: 1.2,
            renew_part: 0.004,
            borrow_s: 0.1,
            refill_part: 0.85,
            max_part: 2.5,
            max_single_part: 0.5,
            lost_part: 0.03,
            least_s: 1.0,
            first_part: 0.12,
            known_part: 0.12,
            scarce_part: 0.15,
            last_part: 0.04,
            slack_part: 0.05,
            slack_scarce: 0.01,
            give_back_at: 1.3,
            give_back_ms: 1_300,
            reserve_s: 0.0,
            floor_part: 0.25,
        }
    }
}
