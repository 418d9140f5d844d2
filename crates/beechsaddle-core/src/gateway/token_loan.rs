//! The `token_loan` module provides the messages of token loans between routers.

/// A request for tokens from another router.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LoanRequest {
    /// The smallest loan that helps.
    pub least: u64,
    /// Tokens that calls wait for.
    pub need: u64,
    /// Tokens to lend beyond that, in advance.
    pub ahead: u64,
    /// Tokens used by calls at the borrower since its last report; negative if less was used than
    /// reported.
    pub used: i64,
}

/// Tokens that a borrower returns to the allocator of their workspace.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LoanReturn {
    /// The tokens, which the borrower has deducted.
    pub tokens: u64,
    /// As in [`LoanRequest::used`].
    pub used: i64,
}

/// The answer to a loan request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LoanReply {
    /// Tokens that the lender has deducted.
    Lent(u64),
    /// The lender has too few tokens now.
    Short,
    /// The total does not cover the smallest loan that helps.
    Exhausted,
    /// The lender has too few tokens and cannot reach the ledger to take more.
    LedgerUnreachable,
}

impl LoanReply {
    /// Returns the name of the answer in logs.
    pub fn as_str(self) -> &'static str {
        match self {
            LoanReply::Lent(_) => "lent",
            LoanReply::Short => "short",
            LoanReply::Exhausted => "exhausted",
            LoanReply::LedgerUnreachable => "ledger_away",
        }
    }

    /// Returns the lent tokens.
    pub fn tokens(self) -> u64 {
        match self {
            LoanReply::Lent(tokens) => tokens,
            LoanReply::Short | LoanReply::Exhausted | LoanReply::LedgerUnreachable => 0,
        }
    }
}
