//! The `call_checks` module provides the checks of an arrived call against the catalogue.

use std::sync::Arc;

use super::call_record::CallTerms;
use crate::call::{CallArrival, CallRoute};
use crate::catalogue::{CatalogueView, ModelEntry, ServiceEntry, WorkspaceEntry};
use crate::prelude::*;

/// Returns the terms of the call, or the refusal.
pub(super) fn check_arrival(
    now: ClockTime,
    view: &CatalogueView,
    arrival: &CallArrival,
    retry_after_ms: u64,
) -> Result<CallTerms, CallRefusal> {
    if view.revision() == 0 {
        return Err(CallRefusal::not_run(
            RefusalReason::NoCatalogue,
            Some(retry_after_ms),
        ));
    }
    let workspace = view
        .workspace_of(&arrival.key_digest)
        .ok_or_else(unknown_key)?;
    let (service, model) = read_route(view, &workspace, &arrival.route)?;
    let budget = read_budget(&workspace, arrival)?;
    let repeatable = service.repeatable && arrival.repeatable != Some(false);
    let key = read_key(&workspace, arrival, repeatable)?;
    if arrival.deadline.is_some_and(|deadline| deadline <= now) {
        return Err(CallRefusal::not_run(RefusalReason::DeadlineExceeded, None));
    }
    let output_limit = model.as_ref().map(|model| output_limit(model, arrival));
    let bound = match output_limit {
        Some(limit) => arrival.input_bound.saturating_add(limit),
        None => service.call_cost,
    };
    Ok(CallTerms {
        workspace,
        service,
        model,
        key,
        budget,
        bound,
        output_limit,
        repeatable,
    })
}

fn unknown_key() -> CallRefusal {
    CallRefusal::not_run(RefusalReason::UnknownKey, None)
}

fn read_route(
    view: &CatalogueView,
    workspace: &WorkspaceEntry,
    route: &CallRoute,
) -> Result<(Arc<ServiceEntry>, Option<Arc<ModelEntry>>), CallRefusal> {
    let unknown = || CallRefusal::not_run(RefusalReason::UnknownService, None);
    let forbidden = || CallRefusal::not_run(RefusalReason::NotAllowed, None);
    match route {
        CallRoute::Chat { model } => {
            let model = view.model(model).ok_or_else(unknown)?;
            if !workspace.models.contains(&model.name) {
                return Err(forbidden());
            }
            let service = view.service(&model.service).ok_or_else(unknown)?;
            Ok((service, Some(model)))
        }
        CallRoute::Service { service } => {
            let service = view.service(service).ok_or_else(unknown)?;
            if !workspace.services.contains(&service.name) {
                return Err(forbidden());
            }
            // An engine that is called as a plain service would generate an unbounded number of
            // tokens.
            match service.kind {
                crate::catalogue::ServiceKind::Plain => Ok((service, None)),
                crate::catalogue::ServiceKind::Engine => Err(forbidden()),
            }
        }
    }
}

fn read_budget(
    workspace: &WorkspaceEntry,
    arrival: &CallArrival,
) -> Result<BudgetName, CallRefusal> {
    // The budget's holder checks against the ledger whether a named budget belongs to the
    // workspace.
    let budget = arrival.budget.as_ref().or(workspace.budget.as_ref());
    let foreign = || CallRefusal::not_run(RefusalReason::ForeignBudget, None);
    budget.cloned().ok_or_else(foreign)
}

fn read_key(
    workspace: &WorkspaceEntry,
    arrival: &CallArrival,
    repeatable: bool,
) -> Result<RequestKey, CallRefusal> {
    let (text, origin) = match &arrival.idempotency {
        Some(text) => (text.clone(), KeyOrigin::Caller),
        // Without the caller's key a retry of a not-repeatable call could not be distinguished from
        // a new one, and would run.
        None if !repeatable => return Err(CallRefusal::not_run(RefusalReason::BadRequest, None)),
        None => (KeyText::new(arrival.call.to_string()), KeyOrigin::Router),
    };
    Ok(RequestKey {
        workspace: workspace.name.clone(),
        text,
        origin,
    })
}

fn output_limit(model: &ModelEntry, arrival: &CallArrival) -> u64 {
    arrival
        .output_bound
        .unwrap_or(model.output_limit)
        .min(model.output_limit)
}
