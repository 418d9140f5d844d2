//! The `token_account` module provides the use and loss of prepaid tokens, from the routers' logs.

use std::collections::BTreeMap;
use std::fmt;

use super::{LogEntry, LogIndex};

/// Routers that ended within this time of each other count as one loss, in milliseconds: routers
/// that are killed together restart within a few seconds.
const LOSS_WINDOW_MS: u64 = 4_000;

/// Tokens that routers drew from ledgers, and how they were used.
///
/// Tokens that a router holds are lost to the workspace when its process ends. Without this
/// account, a refusal for lack of tokens looks the same whether callers spent them or routers lost
/// them. Where routers omitted lines under load, `spent` is too small and `lost` too large.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct TokenAccount {
    pub taken: u64,
    /// Returned to ledgers.
    pub given_back: u64,
    pub spent: u64,
    /// Returned to ledgers on behalf of processes that had ended. This is part of what those held.
    pub recovered: u64,
    /// Tokens that routers held when their processes ended, ordered by the time of the first
    /// restart.
    pub losses: Vec<TokenLoss>,
}

/// Tokens held by routers whose processes ended at about the same time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TokenLoss {
    /// The time at which the first of them restarted, in Unix milliseconds.
    pub at_ms: u64,
    /// The number of routers.
    pub routers: u64,
    /// Tokens that were not reserved.
    pub free: i64,
    /// Tokens that were reserved for calls.
    pub reserved: i64,
}

/// Tokens that one process holds. Numbers may be negative if lines are missing.
#[derive(Clone, Debug, Default)]
struct ProcessHolding {
    free: i64,
    reserved: BTreeMap<String, i64>,
}

#[derive(Clone, Debug, Default)]
struct AccountReader {
    account: TokenAccount,
    /// The process last seen on each host.
    processes: BTreeMap<String, String>,
    holdings: BTreeMap<String, ProcessHolding>,
}

impl TokenAccount {
    /// Aggregates the logs, which must be sorted by time.
    pub fn of(index: &LogIndex) -> Self {
        let mut reader = AccountReader::default();
        for entry in index.entries() {
            reader.add(entry);
        }
        reader.account
    }
}

impl AccountReader {
    fn add(&mut self, entry: &LogEntry) {
        let known = self
            .processes
            .insert(entry.host().to_owned(), entry.router.clone());
        if let Some(process) = known.filter(|process| *process != entry.router) {
            self.add_loss(entry.at_ms, &process);
        }
        match entry.event.as_str() {
            "ledger_written" => self.add_transfer(entry),
            "tokens_lent" => self.holding(entry).free -= tokens_of(entry),
            "tokens_borrowed" => self.holding(entry).free += tokens_of(entry),
            "tokens_returned" => self.add_return(entry),
            "tokens_taken_back" if entry.field("is_taken") == Some("true") => {
                self.holding(entry).free += tokens_of(entry);
            }
            "tokens_reserved" => self.add_reservation(entry),
            "call" => self.add_call(entry),
            _ => {}
        }
    }

    fn holding(&mut self, entry: &LogEntry) -> &mut ProcessHolding {
        self.holdings.entry(entry.router.clone()).or_default()
    }

    fn add_transfer(&mut self, entry: &LogEntry) {
        let tokens = tokens_of(entry);
        self.account.recovered += number_of(entry, "recovered").unsigned_abs();
        match entry.field("transfer") {
            Some("take") => {
                self.account.taken += tokens.unsigned_abs();
                self.holding(entry).free += tokens;
            }
            Some("give_back") => {
                self.account.given_back += tokens.unsigned_abs();
                self.holding(entry).free -= tokens;
            }
            _ => {}
        }
    }

    /// If the outcome of a return is unknown, the tokens are counted as gone here, and may have
    /// reached the allocator.
    fn add_return(&mut self, entry: &LogEntry) {
        if matches!(entry.field("outcome"), Some("returned" | "unknown")) {
            self.holding(entry).free -= tokens_of(entry);
        }
    }

    fn add_reservation(&mut self, entry: &LogEntry) {
        let (Some("reserved"), Some(id)) = (entry.field("outcome"), entry.field("id")) else {
            return;
        };
        let (tokens, id) = (tokens_of(entry), id.to_owned());
        let holding = self.holding(entry);
        holding.free -= tokens;
        holding.reserved.insert(id, tokens);
    }

    fn add_call(&mut self, entry: &LogEntry) {
        let spent = number_of(entry, "spent");
        self.account.spent += spent.unsigned_abs();
        let holding = self.holding(entry);
        let id = entry.field("id").unwrap_or_default();
        let reserved = holding.reserved.remove(id).unwrap_or(0);
        holding.free += reserved - spent;
    }

    fn add_loss(&mut self, at_ms: u64, process: &str) {
        let holding = self.holdings.remove(process).unwrap_or_default();
        let losses = &mut self.account.losses;
        let last = losses.last_mut();
        let loss = match last {
            Some(loss) if at_ms < loss.at_ms + LOSS_WINDOW_MS => loss,
            _ => {
                losses.push(TokenLoss {
                    at_ms,
                    routers: 0,
                    free: 0,
                    reserved: 0,
                });
                losses.last_mut().expect("it was just added")
            }
        };
        loss.routers += 1;
        loss.free += holding.free;
        loss.reserved += holding.reserved.values().sum::<i64>();
    }
}

fn tokens_of(entry: &LogEntry) -> i64 {
    number_of(entry, "tokens")
}

/// Returns a number of a line, or 0 if the line has none, such as a call that spent nothing.
fn number_of(entry: &LogEntry, key: &str) -> i64 {
    let text = entry.field(key);
    text.and_then(|text| text.parse().ok()).unwrap_or(0)
}

impl fmt::Display for TokenAccount {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(formatter, "tokens taken      {:>14}", self.taken)?;
        writeln!(formatter, "tokens given back {:>14}", self.given_back)?;
        writeln!(formatter, "tokens recovered  {:>14}", self.recovered)?;
        writeln!(formatter, "tokens spent      {:>14}", self.spent)?;
        writeln!(
            formatter,
            "\nlost with routers, from    routers           free       promised"
        )?;
        for loss in &self.losses {
            let TokenLoss {
                at_ms,
                routers,
                free,
                reserved,
            } = loss;
            writeln!(
                formatter,
                "{at_ms:<26} {routers:>7} {free:>14} {reserved:>14}"
            )?;
        }
        Ok(())
    }
}
