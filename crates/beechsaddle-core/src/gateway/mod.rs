//! The `gateway` module provides the decisions of a router that serves routes: which rule applies
//! to a call, which target receives it, how often it is retried, and how many tokens it may spend.
//!
//! Nothing here performs I/O. Each type takes the time and the observations of an edge, and returns
//! a decision with the facts behind it, so that tests can replay any order of events.

mod buffer_budget;
mod call_urgency;
mod caller_limits;
mod change_log;
mod change_source;
mod choice_input;
mod completion_log;
mod crash_registry;
mod crash_report;
mod crash_suspect;
mod crash_verdict;
mod deferred_change;
mod demand_peak;
mod demand_rate;
mod escrow_account;
mod escrow_facts;
mod escrow_loans;
mod escrow_options;
mod evacuation_registry;
mod fleet_clock;
mod gateway_config;
mod gateway_status;
mod limit_history;
mod link_meter;
mod loan_backoff;
mod origin_placement;
mod outlier_score;
mod path_monitor;
mod peer_ring;
mod permit_issuer;
mod policy_options;
mod prompt_shape;
mod repeat_rule;
mod reserve_schedule;
mod rest_registry;
mod resume_rule;
mod retry_share;
mod room_gate;
mod room_withdrawal;
mod rotation_gate;
mod route_rule;
mod stream_directory;
mod suspect_key;
mod target_chooser;
mod target_limit;
mod target_record;
mod target_report;
mod target_roster;
mod target_stats;
mod token_escrow;
mod token_loan;
mod token_opening;
mod transfer_plan;
mod trial_schedule;
mod update_age;
mod warm_up;
mod workspace_ledger;

pub use buffer_budget::BufferBudget;
pub use call_urgency::CallUrgency;
pub use caller_limits::CallerLimits;
pub use change_log::{ChangeBatch, ChangeLog, ChangeReply};
pub use change_source::{ChangeSource, FollowFailure, SourceSelector};
pub use choice_input::ChoiceInput;
pub use completion_log::CompletionLog;
pub use crash_registry::CrashRegistry;
pub use crash_report::{CrashFacts, CrashReport, TargetIncarnation};
pub use crash_verdict::{CrashDecision, CrashVerdict};
pub use demand_rate::DemandRate;
pub use escrow_facts::{EscrowFacts, EscrowRole};
pub use escrow_options::EscrowOptions;
pub use evacuation_registry::{
    EvacuationChange, EvacuationRecord, EvacuationRegistry, EvacuationState,
};
pub use fleet_clock::{CLOCK_SKEW_MS, ClockBounds, ClockReading, FleetClock, StartBound};
pub use gateway_config::{GatewayConfig, RouteMatch, ServiceRule, WorkspaceRule};
pub use gateway_status::{
    ConfigStatus, EvacuationStatus, GatewayPeerStatus, GatewayStatus, GatewayTargetStatus,
    LinkStatus, WorkspaceStatus,
};
pub use limit_history::{ChangeBounds, IdleLimit, LimitHistory};
pub use link_meter::{LinkDirection, LinkMeter};
pub use loan_backoff::LoanBackoff;
pub use outlier_score::OutlierScore;
pub use path_monitor::{ConnectFault, PathChange, PathMonitor};
pub use peer_ring::{PeerRecord, PeerRing};
pub use permit_issuer::{IssuerRank, PermitIssuer, PermitReply};
pub use policy_options::PolicyOptions;
pub use prompt_shape::{PromptPart, PromptShape, TokenBound};
pub use repeat_rule::{AttemptEnd, AttemptHistory};
pub use rest_registry::RestRegistry;
pub use resume_rule::{ResumeRefusal, ResumedStream, resume_at};
pub use retry_share::{RetryShare, RetryShareOptions};
pub use room_gate::{RoomGate, RoomLink, RoomRequest};
pub use room_withdrawal::RoomWithdrawal;
pub use rotation_gate::RotationGate;
pub use route_rule::{RouteKind, RouteRule, WeightedService};
pub use stream_directory::{ORIGIN_RETENTION_MS, StreamDirectory, StreamOrigin};
pub use suspect_key::{SuspectKey, SuspectKind};
pub use target_chooser::{TargetChoice, choose_target};
pub use target_limit::{LimitState, TargetLimit};
pub use target_record::{TargetPhase, TargetRecord};
pub use target_report::TargetReport;
pub use target_roster::{RosterChange, RosterEntry, TargetRoster};
pub use target_stats::{AttemptLoad, TargetStats};
pub use token_escrow::{ReserveOutcome, TokenEscrow};
pub use token_loan::{LoanReply, LoanRequest, LoanReturn};
pub use trial_schedule::{TrialFacts, TrialReply, TrialSchedule};
pub use update_age::UpdateAge;
pub use warm_up::{WarmUpPlan, WarmUpRule, WarmUpShare, WarmUpWindow};
pub use workspace_ledger::{DeferredReserve, LedgerChange, TokenTransfer, WorkspaceLedger};
