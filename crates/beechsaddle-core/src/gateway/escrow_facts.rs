//! The `escrow_facts` module provides a read-only view of a router's holdings of one workspace.

/// The source of a router's tokens of a workspace.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EscrowRole {
    /// The router takes tokens from the ledger, for itself and for the borrowers of its domain.
    Allocator,
    /// The router borrows tokens from the allocator of its domain.
    Borrower,
}

impl EscrowRole {
    /// Returns the name of the role in logs and for operators.
    pub fn as_str(self) -> &'static str {
        match self {
            EscrowRole::Allocator => "keeper",
            EscrowRole::Borrower => "borrower",
        }
    }
}

/// A router's holdings of one workspace, in tokens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EscrowFacts {
    pub role: EscrowRole,
    /// Held and not reserved.
    pub free: u64,
    /// Reserved for running calls.
    pub reserved: u64,
    /// Taken by no router, as the ledger was last read; `None` before the first read.
    pub left: Option<u64>,
    /// The age of the ledger, in milliseconds.
    pub ledger_age_ms: Option<u64>,
}
