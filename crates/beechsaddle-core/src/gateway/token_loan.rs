//! The `token_loan` module provides what routers ask each other for, and answer.

/// What a router asks another for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LoanRequest {
    /// The smallest loan that helps.
    pub least: u64,
    /// What calls wait for.
    pub need: u64,
    /// What to lend beyond that.
    pub ahead: u64,
    /// What calls used at the borrower beyond what it told before, in tokens; below zero where less was
    /// used than it told.
    pub used: i64,
}

/// Tokens that a borrower hands back to the router that keeps their workspace.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LoanReturn {
    /// The tokens, which the borrower has given up.
    pub tokens: u64,
    /// As in [`LoanRequest::used`].
    pub used: i64,
}

/// What another router answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LoanReply {
    /// Tokens that it has given up.
    Lent(u64),
    /// It has too little now.
    Short,
    /// The total does not cover the smallest loan that helps.
    Exhausted,
    /// It has too little, and cannot reach the ledger to get more.
    LedgerAway,
}

impl LoanReply {
    /// A word for logs.
    pub fn as_str(self) -> &'static str {
        match self {
            LoanReply::Lent(_) => "lent",
            LoanReply::Short => "short",
            LoanReply::Exhausted => "exhausted",
            LoanReply::LedgerAway => "ledger_away",
        }
    }

    /// Tokens that were lent.
    pub fn tokens(self) -> u64 {
        match self {
            LoanReply::Lent(tokens) => tokens,
            LoanReply::Short | LoanReply::Exhausted | LoanReply::LedgerAway => 0,
        }
    }
}
