//! The `escrow_facts` module provides what a router holds and knows of one workspace, for others to read.

/// Where a router gets tokens of a workspace.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EscrowRole {
    /// It takes them from the ledger, for itself and for those that borrow from it.
    Keeper,
    /// It borrows them from the keeper of its domain.
    Borrower,
}

impl EscrowRole {
    /// A word for logs and operators.
    pub fn as_str(self) -> &'static str {
        match self {
            EscrowRole::Keeper => "keeper",
            EscrowRole::Borrower => "borrower",
        }
    }
}

/// What a router holds and knows of one workspace, in tokens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EscrowFacts {
    /// Where its tokens come from.
    pub role: EscrowRole,
    /// Held and not promised.
    pub free: u64,
    /// Promised to calls that run.
    pub reserved: u64,
    /// Taken by nobody, as the ledger was last seen; `None` before that.
    pub left: Option<u64>,
    /// How long ago the ledger was seen, in milliseconds.
    pub ledger_age_ms: Option<u64>,
}
