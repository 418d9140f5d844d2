//! The `gateway_settings` module provides the settings of a router that serves the platform's routes.

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use beechsaddle_core::gateway::{EscrowOptions, PolicyOptions, RetryShareOptions};
use beechsaddle_core::prelude::*;
use beechsaddle_platform::StoreOptions;

use crate::findings::{FindingList, TableReader};
use crate::settings::{LogSettings, SettingsFindings, load_settings, need_table, parse_settings};

/// How long a store call may take, in milliseconds: some hundred times its usual answer, and short
/// enough to try again within the bound on new configurations.
const STORE_CALL_MS: u64 = 900;

/// How long connecting to the store may take, in milliseconds.
const STORE_CONNECT_MS: u64 = 400;

/// How long a watch waits for changes where the platform's bounds are not told, in milliseconds.
const WATCH_MS: u64 = 2_000;

/// What is left between the end of a watch that the store forgot and the moment at which a change has to be
/// in force, in milliseconds: a listing, and timers that fire late.
const WATCH_MARGIN_MS: u64 = 600;

/// The longest wait of a watch, in milliseconds, whatever the bounds allow.
const LONGEST_WATCH_MS: u64 = 10_000;

/// How often the store is probed, in milliseconds. A path that was lost is noticed within this and a
/// call timeout: before new configurations have to be in force again after the path is back.
const PROBE_MS: u64 = 1_000;

/// The least age, in milliseconds, from which what a follower of the store knows counts as old: some answers of
/// a slow store.
const LEAST_AGE_MS: u64 = 400;

/// The narrowest link that a router is told of, in megabits a second: one prompt a second.
const LEAST_LINK_MBPS: f64 = 0.1;

/// What a router is told about itself.
#[derive(Clone, Debug, PartialEq)]
pub struct GatewaySettings {
    /// Its host.
    pub host: HostName,
    /// Its failure domain.
    pub domain: DomainName,
    /// Where callers reach it.
    pub call_address: SocketAddr,
    /// Where the balancer asks whether it takes new connections.
    pub ready_address: SocketAddr,
    /// Where other routers borrow tokens; `None` lends nothing and borrows nothing.
    pub peer_address: Option<SocketAddr>,
    /// Where metrics are served; `None` serves none.
    pub metrics_address: Option<SocketAddr>,
    /// The platform's store.
    pub store: StoreOptions,
    /// How long a watch of the store waits.
    pub watch_wait: Duration,
    /// How often the store is probed.
    pub probe_span: Duration,
    /// How old what a follower of the store knows may be for others.
    pub relay_age: Duration,
    /// What the host's link carries, in megabits a second; `None` where that is not known.
    pub link_mbps: Option<f64>,
    /// The time between the signal to end and the kill, in milliseconds.
    pub grace_ms: u64,
    /// The fleet's retry budget.
    pub retries: RetryShareOptions,
    /// What routers hold of prepaid totals.
    pub budgets: EscrowOptions,
    /// Switches of policy.
    pub policy: PolicyOptions,
    /// Logs.
    pub log: LogSettings,
}

/// How the store is called and followed.
struct StoreSettings {
    options: StoreOptions,
    watch_wait: Duration,
    probe_span: Duration,
    relay_age: Duration,
}

impl GatewaySettings {
    /// Reads a settings file, or reports all that is wrong with it.
    pub fn try_load(path: impl AsRef<Path>) -> Result<Self, SettingsFindings> {
        load_settings(path, read_settings)
    }

    /// Reads settings from a text; `file` names it in the findings.
    pub fn try_parse(
        file: impl AsRef<str>,
        text: impl AsRef<str>,
    ) -> Result<Self, SettingsFindings> {
        parse_settings(file, text, read_settings)
    }
}

/// Whether a settings file is for a gateway: it has a `[gateway]` table. A file that cannot be read is
/// left to the other reader, which tells why.
pub fn is_gateway_file(path: &Path) -> bool {
    let text = std::fs::read_to_string(path).unwrap_or_default();
    text.lines().any(|line| line.trim() == "[gateway]")
}

fn read_settings(reader: &TableReader<'_>, findings: &mut FindingList) -> Option<GatewaySettings> {
    // Every table is read before the first doubt ends the reading, so that all findings show.
    let store = need_table(reader, "store", findings);
    let store = store.and_then(|table| read_store(&table, findings));
    let retries = read_retries(reader, findings);
    let budgets = read_budgets(reader, findings);
    let policy = read_policy(reader, findings);
    let log = reader
        .read_table("log", findings)
        .map(|table| LogSettings::read(&table, findings));
    let gateway = need_table(reader, "gateway", findings)?;
    let host = gateway.need_name("host", findings);
    let domain = gateway.need_name("domain", findings);
    let call_address = gateway.need_address("call_address", findings);
    let ready_address = gateway.need_address("ready_address", findings);
    let peer_address = gateway.read_address("peer_address", findings);
    let metrics_address = gateway.read_address("metrics_address", findings);
    let grace_ms = gateway.read_seconds_ms("grace_s", 8.0, findings);
    let link_mbps = gateway.read_f64("link_mbps", LEAST_LINK_MBPS..=1e6, findings);
    gateway.finish(findings);
    let store = store?;
    Some(GatewaySettings {
        host: HostName::new(host?),
        domain: DomainName::new(domain?),
        call_address: call_address?,
        ready_address: ready_address?,
        peer_address,
        metrics_address,
        store: store.options,
        watch_wait: store.watch_wait,
        probe_span: store.probe_span,
        relay_age: store.relay_age,
        link_mbps,
        grace_ms,
        retries,
        budgets,
        policy,
        log: log.unwrap_or_default(),
    })
}

fn read_store(reader: &TableReader<'_>, findings: &mut FindingList) -> Option<StoreSettings> {
    let address = reader.need_address("address", findings);
    let call_ms = reader.read_u64_or("call_timeout_ms", STORE_CALL_MS, 50..=60_000, findings);
    let connect_ms = reader.read_u64_or(
        "connect_timeout_ms",
        STORE_CONNECT_MS,
        50..=60_000,
        findings,
    );
    let bounds = read_bounds(reader, findings);
    let usual_ms = usual_watch_ms(bounds, call_ms);
    let age_ms = usual_age_ms(bounds);
    let watch_ms = reader.read_u64_or("watch_ms", usual_ms, 100..=30_000, findings);
    let age_ms = reader.read_u64_or("relay_age_ms", age_ms, 200..=30_000, findings);
    let probe_ms = reader.read_u64_or("probe_ms", PROBE_MS, 50..=30_000, findings);
    reader.finish(findings);
    let options = StoreOptions {
        address: address?,
        call_timeout: Duration::from_millis(call_ms),
        connect_timeout: Duration::from_millis(connect_ms),
    };
    Some(StoreSettings {
        options,
        watch_wait: Duration::from_millis(watch_ms),
        probe_span: Duration::from_millis(probe_ms),
        relay_age: Duration::from_millis(age_ms),
    })
}

/// The platform's bounds on following the store, in milliseconds.
#[derive(Clone, Copy, Debug)]
struct StoreBounds {
    /// How long after a silence no bound holds.
    settle_ms: f64,
    /// Within what a change has to be in force.
    known_ms: f64,
}

fn read_bounds(reader: &TableReader<'_>, findings: &mut FindingList) -> Option<StoreBounds> {
    let settle_ms = reader.read_f64("settle_ms", 0.0..=60_000.0, findings);
    let in_force_ms = reader.read_f64("in_force_ms", 0.0..=60_000.0, findings);
    let leave_ms = reader.read_f64("leave_ms", 0.0..=60_000.0, findings);
    Some(StoreBounds {
        settle_ms: settle_ms?,
        known_ms: in_force_ms?.min(leave_ms?),
    })
}

/// How old what a follower knows may be: a quarter of the time in which a change has to be in force. Another
/// quarter passes at most until the others notice, and the rest is left to ask the store themselves.
fn usual_age_ms(bounds: Option<StoreBounds>) -> u64 {
    let known_ms = bounds.map_or(0.0, |bounds| bounds.known_ms);
    (known_ms as u64 / 4).clamp(LEAST_AGE_MS, PROBE_MS)
}

/// How long a watch may wait by the platform's bounds.
///
/// A store that is silent for less than the span between two probes forgets watches, and nothing shows it
/// before their wait and a call's time are over. The platform holds no bound for `settle_ms` after such a
/// silence, and a change that follows has to be in force within `in_force_ms`: the wait ends before
/// both are over. Watches are half of what a large fleet asks of the store, so longer ones are worth it.
fn usual_watch_ms(bounds: Option<StoreBounds>, call_ms: u64) -> u64 {
    let Some(bounds) = bounds else {
        return WATCH_MS;
    };
    let known_by_ms = bounds.settle_ms + bounds.known_ms;
    let wait_ms = (known_by_ms as u64).saturating_sub(call_ms + WATCH_MARGIN_MS);
    wait_ms.clamp(WATCH_MS / 2, LONGEST_WATCH_MS)
}

fn read_retries(reader: &TableReader<'_>, findings: &mut FindingList) -> RetryShareOptions {
    let defaults = RetryShareOptions {
        ratio: 0.1,
        allowance: 0.0,
        window_ms: 10_000,
    };
    let Some(table) = reader.read_table("retries", findings) else {
        return defaults;
    };
    let options = RetryShareOptions {
        ratio: table.read_f64_or("ratio", defaults.ratio, 0.0..=10.0, findings),
        allowance: table.read_f64_or("allowance", defaults.allowance, 0.0..=1e6, findings),
        window_ms: table.read_seconds_ms("window_s", 10.0, findings),
    };
    table.finish(findings);
    options
}

fn read_budgets(reader: &TableReader<'_>, findings: &mut FindingList) -> EscrowOptions {
    let defaults = EscrowOptions::default();
    let Some(table) = reader.read_table("budgets", findings) else {
        return defaults;
    };
    let options = EscrowOptions {
        hold_s: table.read_f64_or("hold_s", defaults.hold_s, 0.0..=600.0, findings),
        open_s: table.read_f64_or("open_s", defaults.open_s, 0.0..=600.0, findings),
        defer_ms: table.read_seconds_ms("defer_s", defaults.defer_ms as f64 / 1_000.0, findings),
        least_s: table.read_f64_or("least_s", defaults.least_s, 0.0..=60.0, findings),
        lost_part: table.read_f64_or("lost_part", defaults.lost_part, 0.0..=1.0, findings),
        first_part: table.read_f64_or("first_part", defaults.first_part, 0.0..=1.0, findings),
        known_part: table.read_f64_or("known_part", defaults.known_part, 0.0..=1.0, findings),
        refill_part: table.read_f64_or("refill_part", defaults.refill_part, 0.0..=1.0, findings),
        ..defaults
    };
    table.finish(findings);
    options
}

fn read_policy(reader: &TableReader<'_>, findings: &mut FindingList) -> PolicyOptions {
    let defaults = PolicyOptions::default();
    let Some(table) = reader.read_table("policy", findings) else {
        return defaults;
    };
    let mut switch = |key, default| table.read_bool(key, findings).unwrap_or(default);
    let options = PolicyOptions {
        keeps_single_runs_near: switch("keep_single_runs_near", defaults.keeps_single_runs_near),
        fetches_parts: switch("fetch_parts", defaults.fetches_parts),
        leaves_full_link: switch("leave_full_link", defaults.leaves_full_link),
    };
    table.finish(findings);
    options
}
