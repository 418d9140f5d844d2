//! The `gateway` module provides the decisions of a router that serves routes: which rule a call
//! falls under, which target it goes to, how often it is tried, and what it may spend.
//!
//! Nothing here does input or output. Each type takes the time and what an edge saw, and answers
//! with a decision and the facts that led to it, so that tests replay any order of events.

mod budget_ledger;
mod caller_limits;
mod crash_book;
mod crash_sighting;
mod crash_suspect;
mod deferred_change;
mod demand_peak;
mod demand_rate;
mod escrow_account;
mod escrow_facts;
mod escrow_loans;
mod escrow_options;
mod fleet_clock;
mod gateway_config;
mod gateway_status;
mod limit_share;
mod link_meter;
mod loan_pauses;
mod news_log;
mod news_source;
mod outlier_score;
mod peer_ring;
mod policy_options;
mod prompt_shape;
mod repeat_rule;
mod request_fingerprint;
mod retry_share;
mod rotation_gate;
mod route_rule;
mod target_chooser;
mod target_gauge;
mod target_limit;
mod target_record;
mod target_roster;
mod token_escrow;
mod token_loan;
mod transfer_plan;

pub use budget_ledger::{BudgetLedger, DeferredCover, LedgerChange, TokenTransfer};
pub use caller_limits::CallerLimits;
pub use crash_book::{CrashBook, CrashVerdict};
pub use crash_sighting::{CrashFacts, CrashSighting, TargetIncarnation};
pub use demand_rate::DemandRate;
pub use escrow_facts::{EscrowFacts, EscrowRole};
pub use escrow_options::EscrowOptions;
pub use fleet_clock::{CLOCK_SKEW_MS, ClockBounds, ClockReading, FleetClock, StartBound};
pub use gateway_config::{GatewayConfig, RouteMatch, ServiceRule, WorkspaceRule};
pub use gateway_status::{
    ConfigStatus, GatewayPeerStatus, GatewayStatus, GatewayTargetStatus, WorkspaceStatus,
};
pub use limit_share::{LimitShare, ShareRank, ShareReply};
pub use link_meter::{LinkMeter, LinkWay};
pub use loan_pauses::LoanPauses;
pub use news_log::{NewsBatch, NewsLog, NewsReply};
pub use news_source::{FollowDoubt, NewsChoice, NewsSource};
pub use outlier_score::OutlierScore;
pub use peer_ring::{PeerRecord, PeerRing};
pub use policy_options::PolicyOptions;
pub use prompt_shape::{PromptPart, PromptShape, TokenBound};
pub use repeat_rule::{AttemptEnd, AttemptHistory};
pub use request_fingerprint::RequestFingerprint;
pub use retry_share::{RetryShare, RetryShareOptions};
pub use rotation_gate::RotationGate;
pub use route_rule::{RouteKind, RouteRule, WeightedService};
pub use target_chooser::{ChoiceInput, TargetChoice, choose_target};
pub use target_gauge::{AttemptLoad, TargetGauge};
pub use target_limit::{LimitGauge, TargetLimit};
pub use target_record::{TargetPhase, TargetRecord};
pub use target_roster::{RosterChange, RosterEntry, TargetRoster};
pub use token_escrow::{ReserveOutcome, TokenEscrow};
pub use token_loan::{LoanReply, LoanRequest, LoanReturn};
