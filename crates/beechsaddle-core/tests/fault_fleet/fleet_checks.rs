//! The `fleet_checks` module provides the invariants after each step and after all faults end.

use beechsaddle_core::prelude::*;

use super::fault_network::FaultNetwork;
use super::{FaultFleet, NODES};

/// The time for a healed fleet to fold all journals and return all grants, in milliseconds.
const HEAL_MS: u64 = 60_000;

impl FaultFleet {
    /// Checks the invariants that hold at every moment.
    pub fn check(&mut self) {
        self.faults.append(&mut self.store.faults);
        self.faults.append(&mut self.call_log.faults);
        let account = self.store.account();
        let relayed = self.call_log.relayed();
        if relayed > account.paid() {
            let paid = account.paid();
            self.faults.push(format!("{relayed} used of {paid} paid"));
        }
        if relayed > account.allocated() {
            let allocated = account.allocated();
            self.faults
                .push(format!("{relayed} used, {allocated} accounted for"));
        }
    }

    pub(super) fn check_revision(&mut self, node: usize, revision: u64) {
        let host = &mut self.nodes[node];
        if revision < host.revision {
            self.faults.push(format!(
                "{}: catalogue {revision} after {}",
                host.name, host.revision
            ));
        }
        host.revision = revision;
    }

    /// Ends every fault and checks the invariants of an idle fleet.
    pub fn heal(&mut self) {
        self.heal_without(&[]);
    }

    /// Does the same, with hosts that never return.
    pub fn heal_without(&mut self, lost: &[usize]) {
        self.network = FaultNetwork::default();
        self.scripts.clear();
        for node in 0..NODES {
            if lost.contains(&node) {
                self.kill(node);
                self.nodes[node].is_listed = false;
                continue;
            }
            self.resume(node);
            let domain = self.nodes[node].domain.clone();
            let mut others = self.nodes.iter().filter(|other| other.domain == domain);
            // A domain without routers leaves its journals to the next router that starts there.
            let is_last = !others.any(super::FleetNode::is_alive);
            if self.nodes[node].core.is_none() || is_last {
                self.start(node);
            }
            self.nodes[node].is_listed = !self.nodes[node].has_exited;
        }
        self.list_hosts();
        self.answer_watches();
        self.run(HEAL_MS);
        self.check();
        self.check_calls();
        self.check_accounting();
        self.check_catalogue();
    }

    fn check_calls(&mut self) {
        for outcome in self
            .call_log
            .calls
            .values()
            .filter(|outcome| outcome.is_open())
        {
            self.faults.push(format!("{outcome:?} has no answer"));
        }
        let lost = self.call_log.lost_bounds();
        for host in &self.nodes {
            let Some(core) = host.core.as_ref().filter(|_| host.is_alive()) else {
                continue;
            };
            if core.open_calls() > 0 {
                let open = core.open_calls();
                self.faults
                    .push(format!("{}: {open} open calls", host.name));
            }
            if host.is_draining {
                self.faults.push(format!("{}: still draining", host.name));
            }
            for grant in core.grants() {
                if grant.reserved > lost || grant.granted > grant.spent + grant.reserved {
                    self.faults.push(format!("{}: holds {grant:?}", host.name));
                }
            }
        }
    }

    fn is_gone(&self, router: &RouterIncarnation) -> bool {
        let mut alive = self.nodes.iter().filter(|host| host.is_alive());
        alive.all(|host| host.name != *router)
    }

    fn check_accounting(&mut self) {
        let account = self.store.account();
        if account.granted() > self.call_log.lost_bounds() {
            self.faults
                .push(format!("grants not returned: {:?}", account.grants));
        }
        if self.kill_count + self.freeze_count == 0 {
            let (lost, duplicate_tokens) = (account.written_off, self.call_log.duplicate_tokens());
            if lost > duplicate_tokens {
                self.faults
                    .push(format!("{lost} written off, {duplicate_tokens} used twice"));
            }
        }
        let due = self.call_log.due();
        let least: u64 = due.values().map(|due| due.0).sum();
        let most: u64 = due.values().map(|due| due.1).sum();
        let counted = match self.kill_count {
            0 => account.settled,
            _ => account.settled + account.written_off,
        };
        if counted < least || account.settled > most {
            let (settled, lost) = (account.settled, account.written_off);
            self.faults.push(format!(
                "settled {settled}, written off {lost}, due {least} to {most}"
            ));
        }
        self.check_bills(least);
        let answered = due.values().filter(|due| due.0 > 0).count() as u64;
        let served = self.call_log.ran_keys(|router| self.is_gone(router)).len() as u64;
        let is_short = self.kill_count == 0 && account.bills < answered;
        if is_short || account.bills > served {
            let bills = account.bills;
            self.faults
                .push(format!("{bills} bills of {answered} to {served} keys"));
        }
    }

    /// Checks that every complete answer has a bill, and that none was written off while all
    /// routers lived.
    fn check_bills(&mut self, least: u64) {
        if self.kill_count > 0 || least == 0 {
            return;
        }
        for (key, (least, _)) in self.call_log.due() {
            let bills = self.store.bills.iter();
            let bills = bills.filter(|bill| bill.key.text.as_str() == key);
            let billed = bills.map(|bill| bill.tokens).max().unwrap_or(0);
            if billed < least {
                self.faults
                    .push(format!("{key}: {least} used, {billed} billed"));
            }
        }
    }

    fn check_catalogue(&mut self) {
        for host in self.nodes.iter().filter(|host| host.is_alive()) {
            if host.revision != self.change_count {
                self.faults.push(format!(
                    "{}: catalogue {} of {}",
                    host.name, host.revision, self.change_count
                ));
            }
        }
    }

    /// Returns the calls and the budget's account, for the report of a failed session.
    pub fn report(&self) -> Vec<String> {
        let mut lines = Vec::new();
        for (call, outcome) in &self.call_log.calls {
            let (key, finals, attempts) = (outcome.key(), &outcome.finals, &outcome.attempts);
            let lost = if outcome.is_lost { "lost" } else { "" };
            lines.push(format!("{call} {key} {lost} {finals:?} {attempts:?}"));
        }
        for bill in &self.store.bills {
            lines.push(format!("{bill:?}"));
        }
        let mut account = self.store.account();
        account.keys.clear();
        lines.push(format!("{account:?}"));
        lines
    }
}
