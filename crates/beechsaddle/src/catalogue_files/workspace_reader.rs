//! The `workspace_reader` module provides the reading of `[[workspace]]`.

use beechsaddle_core::call::KeyDigest;
use beechsaddle_core::catalogue::WorkspaceEntry;
use beechsaddle_core::prelude::*;

use super::header_reader::read_header;
use crate::findings::{FindingList, TableReader};

/// The prefix of a key's digest.
const DIGEST_PREFIX: &str = "sha256:";

pub(super) fn read_workspace(
    reader: &TableReader<'_>,
    findings: &mut FindingList,
) -> Option<WorkspaceEntry> {
    let name = reader.require_name("name", findings);
    let header = read_header(reader, findings);
    let keys = read_keys(reader, findings);
    let budget = reader.read_name("budget", findings);
    let services = reader.read_names("services", findings);
    let models = reader.read_names("models", findings);
    reader.finish(findings);
    Some(WorkspaceEntry {
        header: header?,
        name: WorkspaceName::new(name?),
        keys,
        budget: budget.map(BudgetName::new),
        services: services.into_iter().map(ServiceName::new).collect(),
        models: models.into_iter().map(ModelName::new).collect(),
    })
}

fn read_keys(reader: &TableReader<'_>, findings: &mut FindingList) -> Vec<KeyDigest> {
    let mut keys = Vec::new();
    for (offset, text) in reader.read_texts("keys", findings) {
        match read_digest(&text) {
            Some(digest) if keys.contains(&digest) => {
                let message = "`workspace.keys` holds a key twice; once would be right";
                findings.add(reader.source(), offset, message);
            }
            Some(digest) => keys.push(digest),
            // The text may be a key in plain text, so it is not printed.
            None => {
                let message = "`workspace.keys` holds something that is no digest of a key; \
                            `sha256:` and 64 hexadecimal digits would be right";
                findings.add(reader.source(), offset, message);
            }
        }
    }
    keys
}

fn read_digest(text: &str) -> Option<KeyDigest> {
    let digits = text.strip_prefix(DIGEST_PREFIX)?.as_bytes();
    let mut bytes = [0_u8; 32];
    if digits.len() != bytes.len() * 2 {
        return None;
    }
    for (byte, pair) in bytes.iter_mut().zip(digits.chunks_exact(2)) {
        let high = char::from(pair[0]).to_digit(16)?;
        let low = char::from(pair[1]).to_digit(16)?;
        *byte = u8::try_from(high * 16 + low).ok()?;
    }
    Some(KeyDigest(bytes))
}
