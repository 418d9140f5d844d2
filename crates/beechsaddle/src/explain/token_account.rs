//! The `token_account` module provides where prepaid tokens went, told from the logs of routers.

use std::collections::BTreeMap;
use std::fmt;

use super::{LogBook, LogEntry};

/// Ends of routers that lie within this span are told as one, in milliseconds: those that are killed
/// together start again within some seconds.
const SAME_LOSS_MS: u64 = 4_000;

/// Tokens that routers took from ledgers, and what became of them.
///
/// What a router holds ends with its process and is missing from the workspace for good: without this
/// sum a refusal for want of tokens looks the same whether callers used them up or routers lost them.
/// Lines that were left out under load make `spent` too small and `lost` too large.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct TokenAccount {
    /// Taken from ledgers.
    pub taken: u64,
    /// Given back to ledgers.
    pub given_back: u64,
    /// Spent by calls.
    pub spent: u64,
    /// Came back to ledgers from processes that had ended; part of what these held.
    pub recovered: u64,
    /// What routers held when their processes ended, by the time of the first start after that.
    pub losses: Vec<TokenLoss>,
}

/// Tokens that routers held whose processes ended at about the same time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TokenLoss {
    /// When the first of them had started again, in Unix milliseconds.
    pub at_ms: u64,
    /// How many they were.
    pub routers: u64,
    /// Tokens that they held and had not promised.
    pub free: i64,
    /// Tokens that they had promised to calls.
    pub promised: i64,
}

/// What one process holds. Sums may fall below zero where lines are missing.
#[derive(Clone, Debug, Default)]
struct ProcessHolding {
    free: i64,
    promised: BTreeMap<String, i64>,
}

#[derive(Clone, Debug, Default)]
struct AccountReader {
    account: TokenAccount,
    /// The process that runs on each host.
    processes: BTreeMap<String, String>,
    holdings: BTreeMap<String, ProcessHolding>,
}

impl TokenAccount {
    /// Sums up the logs, which are in the order of their times.
    pub fn of(book: &LogBook) -> Self {
        let mut reader = AccountReader::default();
        for entry in book.entries() {
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
            "tokens_reserved" => self.add_promise(entry),
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

    /// Of a return whose end is not known the tokens are gone here, and may be at the keeper.
    fn add_return(&mut self, entry: &LogEntry) {
        if matches!(entry.field("outcome"), Some("returned" | "unknown")) {
            self.holding(entry).free -= tokens_of(entry);
        }
    }

    fn add_promise(&mut self, entry: &LogEntry) {
        let (Some("reserved"), Some(id)) = (entry.field("outcome"), entry.field("id")) else {
            return;
        };
        let (tokens, id) = (tokens_of(entry), id.to_owned());
        let holding = self.holding(entry);
        holding.free -= tokens;
        holding.promised.insert(id, tokens);
    }

    fn add_call(&mut self, entry: &LogEntry) {
        let spent = number_of(entry, "spent");
        self.account.spent += spent.unsigned_abs();
        let holding = self.holding(entry);
        let id = entry.field("id").unwrap_or_default();
        let promised = holding.promised.remove(id).unwrap_or(0);
        holding.free += promised - spent;
    }

    fn add_loss(&mut self, at_ms: u64, process: &str) {
        let holding = self.holdings.remove(process).unwrap_or_default();
        let losses = &mut self.account.losses;
        let last = losses.last_mut();
        let loss = match last {
            Some(loss) if at_ms < loss.at_ms + SAME_LOSS_MS => loss,
            _ => {
                losses.push(TokenLoss {
                    at_ms,
                    routers: 0,
                    free: 0,
                    promised: 0,
                });
                losses.last_mut().expect("it was just added")
            }
        };
        loss.routers += 1;
        loss.free += holding.free;
        loss.promised += holding.promised.values().sum::<i64>();
    }
}

fn tokens_of(entry: &LogEntry) -> i64 {
    number_of(entry, "tokens")
}

/// A number in a line; 0 where it has none, as a call that spent nothing.
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
                promised,
            } = loss;
            writeln!(
                formatter,
                "{at_ms:<26} {routers:>7} {free:>14} {promised:>14}"
            )?;
        }
        Ok(())
    }
}
