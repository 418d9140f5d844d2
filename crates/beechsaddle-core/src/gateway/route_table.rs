//! The `route_table` module provides the routes of one host name, found by the longest matching
//! prefix.

use std::collections::BTreeMap;
use std::ops::Bound;
use std::sync::Arc;

use super::RouteRule;

/// The routes of one host name by path prefix.
#[derive(Clone, Debug, Default, PartialEq)]
pub(super) struct RouteTable {
    routes: BTreeMap<Arc<str>, Arc<RouteRule>>,
}

impl RouteTable {
    /// Adds a route. Of two routes with the same prefix the first one is in force.
    pub(super) fn add(&mut self, route: Arc<RouteRule>) {
        let prefix = Arc::from(route.path_prefix.as_str());
        self.routes.entry(prefix).or_insert(route);
    }

    /// Adds a route or replaces the one with its prefix.
    pub(super) fn set(&mut self, route: Arc<RouteRule>) {
        let prefix = Arc::from(route.path_prefix.as_str());
        self.routes.insert(prefix, route);
    }

    /// Removes the route with a prefix.
    pub(super) fn remove(&mut self, prefix: &str) {
        self.routes.remove(prefix);
    }

    /// Returns the route with the longest prefix of a path.
    ///
    /// All strings between a prefix of the path and the path itself start with that prefix. So each
    /// matching prefix is one of what the path shares with the greatest prefix before it.
    pub(super) fn find(&self, path: &str) -> Option<&Arc<RouteRule>> {
        let mut rest = path;
        loop {
            let range = (Bound::Unbounded, Bound::Included(rest));
            let (prefix, route) = self.routes.range::<str, _>(range).next_back()?;
            let shared = shared_start(rest, prefix);
            if shared.len() == prefix.len() {
                return Some(route);
            }
            rest = shared;
        }
    }

    /// Returns the route with a prefix.
    pub(super) fn get(&self, prefix: &str) -> Option<&Arc<RouteRule>> {
        self.routes.get(prefix)
    }

    /// Returns the prefixes and routes in order.
    pub(super) fn iter(&self) -> impl Iterator<Item = (&Arc<str>, &Arc<RouteRule>)> {
        self.routes.iter()
    }

    pub(super) fn len(&self) -> usize {
        self.routes.len()
    }

    pub(super) fn is_empty(&self) -> bool {
        self.routes.is_empty()
    }
}

/// Returns the start of `text` that it shares with another string.
fn shared_start<'a>(text: &'a str, other: &str) -> &'a str {
    let pairs = text.char_indices().zip(other.chars());
    let mut differing = pairs.filter(|((_, own), other)| own != other);
    let end = differing.next().map(|((index, _), _)| index);
    let end = end.unwrap_or(text.len().min(other.len()));
    &text[..end]
}
