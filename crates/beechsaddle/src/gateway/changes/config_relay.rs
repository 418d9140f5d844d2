//! The `config_relay` module provides the latest versions of the configuration for the routers that
//! follow this one.
//!
//! A router gets what has changed since the version that it has, in one message. Versions in between
//! are never sent.

use std::cell::RefCell;
use std::collections::{BTreeMap, VecDeque};
use std::rc::Rc;
use std::sync::Arc;

use beechsaddle_core::gateway::GatewayConfig;
use beechsaddle_wire::WireError;
use beechsaddle_wire::relay::encode_difference;

/// Number of versions that others may have and get a difference to the newest. With changes several
/// times a second this covers some seconds, after which routers get the whole configuration.
const VERSIONS_MAX: usize = 16;

/// What a router gets that has a version of the configuration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum ConfigReply {
    /// It has the newest version that this router knows.
    Unchanged,
    /// The encoded difference to the newest version.
    Difference(Arc<[u8]>),
}

/// The latest versions, oldest first, and the differences to the newest that were encoded.
#[derive(Debug, Default)]
pub(super) struct ConfigRelay {
    versions: RefCell<VecDeque<Rc<GatewayConfig>>>,
    encoded: RefCell<BTreeMap<u64, Arc<[u8]>>>,
}

impl ConfigRelay {
    /// Records a version that is newer than all before.
    pub(super) fn record(&self, config: Rc<GatewayConfig>) {
        let mut versions = self.versions.borrow_mut();
        versions.push_back(config);
        if versions.len() > VERSIONS_MAX {
            versions.pop_front();
        }
        self.encoded.borrow_mut().clear();
    }

    /// Returns the reply to a router that has a version; 0 if it has none.
    ///
    /// # Errors
    ///
    /// If the difference cannot be encoded.
    pub(super) fn try_reply(&self, version: u64) -> Result<ConfigReply, WireError> {
        let versions = self.versions.borrow();
        let Some(newest) = versions.back().filter(|newest| newest.version > version) else {
            return Ok(ConfigReply::Unchanged);
        };
        let base = versions.iter().find(|config| config.version == version);
        let base_version = base.map_or(0, |base| base.version);
        let mut encoded = self.encoded.borrow_mut();
        if let Some(body) = encoded.get(&base_version) {
            return Ok(ConfigReply::Difference(Arc::clone(body)));
        }
        let mut difference = match base {
            Some(base) => newest.difference_from(base),
            None => newest.difference_from(&GatewayConfig::default()),
        };
        let passed = versions.iter().filter(|config| config.version > version);
        difference.passed_limits = passed.map(|config| config.limits).collect();
        difference.passed_limits.dedup();
        let body: Arc<[u8]> = encode_difference(&difference)?.into();
        encoded.insert(base_version, Arc::clone(&body));
        Ok(ConfigReply::Difference(body))
    }
}
