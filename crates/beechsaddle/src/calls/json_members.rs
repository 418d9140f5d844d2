//! The `json_members` module provides the members of a JSON object with uninterpreted values.

use std::borrow::Cow;
use std::fmt;

use serde::Deserialize;
use serde::de::{Deserializer, Error, MapAccess, Visitor};
use serde_json::value::RawValue;

/// Maximum number of members of an object; requests have a few dozen. Without a limit, a body of
/// small members would take ten times its size in memory while it is parsed.
const MAX_MEMBERS: usize = 256;

/// A JSON string, borrowed if it has no escapes.
#[derive(Deserialize)]
pub(crate) struct JsonText<'a>(#[serde(borrow)] pub(crate) Cow<'a, str>);

/// The members of a JSON object in order, with their values as written.
pub(crate) struct JsonMembers<'a>(pub(crate) Vec<(Cow<'a, str>, &'a RawValue)>);

impl<'a> JsonMembers<'a> {
    /// Returns the first duplicate name, if any.
    ///
    /// Parsers differ in which of two members they use. The router would check one `max_tokens` and
    /// the engine would use the other, and the budget would be overspent.
    pub(crate) fn duplicate(&self) -> Option<&str> {
        let mut names: Vec<&str> = self.0.iter().map(|(name, _)| name.as_ref()).collect();
        names.sort_unstable();
        names
            .windows(2)
            .find(|pair| pair[0] == pair[1])
            .map(|pair| pair[0])
    }
}

impl<'de: 'a, 'a> Deserialize<'de> for JsonMembers<'a> {
    fn deserialize<D>(deserializer: D) -> Result<Self, D::Error>
    where
        D: Deserializer<'de>,
    {
        deserializer.deserialize_map(MembersVisitor)
    }
}

struct MembersVisitor;

impl<'de> Visitor<'de> for MembersVisitor {
    type Value = JsonMembers<'de>;

    fn expecting(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("an object")
    }

    fn visit_map<A>(self, mut access: A) -> Result<Self::Value, A::Error>
    where
        A: MapAccess<'de>,
    {
        let mut members = Vec::new();
        while let Some(name) = access.next_key::<JsonText<'de>>()? {
            if members.len() == MAX_MEMBERS {
                let message = format!("an object may have at most {MAX_MEMBERS} members");
                return Err(A::Error::custom(message));
            }
            let value = access.next_value::<&'de RawValue>()?;
            members.push((name.0, value));
        }
        Ok(JsonMembers(members))
    }
}
