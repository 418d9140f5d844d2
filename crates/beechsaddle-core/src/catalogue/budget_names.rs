//! The `budget_names` module provides the names of a workspace's budgets in little memory.

use std::fmt;
use std::sync::Arc;

use serde::{Deserialize, Deserializer, Serialize, Serializer};

use crate::names::BudgetName;

/// Stands between the length of a name and the name.
const LENGTH_END: char = ':';

/// The names of a workspace's budgets, the default one first.
///
/// A router knows all workspaces. A shared text for each of hundreds of thousands of names would
/// take more memory than all else that it holds; here all names of a workspace are one text.
#[derive(Clone, Default, PartialEq, Eq)]
pub struct BudgetNames(Arc<str>);

impl BudgetNames {
    /// Whether a budget is among them.
    pub fn contains(&self, name: &BudgetName) -> bool {
        self.iter().any(|other| other == name.as_str())
    }

    /// The first one, which calls use that name none.
    pub fn first(&self) -> Option<BudgetName> {
        self.iter().next().map(BudgetName::new)
    }

    /// All names.
    pub fn iter(&self) -> impl Iterator<Item = &str> {
        let mut rest: &str = &self.0;
        std::iter::from_fn(move || {
            let (length, text) = rest.split_once(LENGTH_END)?;
            let (name, after) = text.split_at_checked(length.parse().ok()?)?;
            rest = after;
            Some(name)
        })
    }
}

impl FromIterator<BudgetName> for BudgetNames {
    fn from_iter<I: IntoIterator<Item = BudgetName>>(names: I) -> Self {
        let mut text = String::new();
        for name in names {
            let name = name.as_str();
            text.push_str(&name.len().to_string());
            text.push(LENGTH_END);
            text.push_str(name);
        }
        BudgetNames(Arc::from(text))
    }
}

impl From<Vec<BudgetName>> for BudgetNames {
    fn from(names: Vec<BudgetName>) -> Self {
        names.into_iter().collect()
    }
}

impl fmt::Debug for BudgetNames {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.debug_list().entries(self.iter()).finish()
    }
}

/// Stored and sent as a list, so that the form in memory can change.
impl Serialize for BudgetNames {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_seq(self.iter())
    }
}

impl<'de> Deserialize<'de> for BudgetNames {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let names = Vec::<BudgetName>::deserialize(deserializer)?;
        Ok(names.into())
    }
}
