//! The `holding_marker` module provides the marks of what this router holds, and the taking over of
//! what the one before it on this host had marked.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use beechsaddle_core::gateway::{BootMoment, HoldingMark};
use beechsaddle_core::report::LogLevel;
use beechsaddle_platform::{ObjectKind, StoreFailure};
use serde_json::Value;
use tokio::time::{sleep, timeout};

use super::boot_clock::boot_moment;
use super::gateway_state::{GatewayPhase, GatewayState};
use super::store_call::StoreCall;

/// How often the mark is renewed. A kill loses the demand of a mark's life at most, and a start has
/// the rest of that life to prove itself.
const MARK_SPAN: Duration = Duration::from_millis(1_000);

/// How long to wait before a try that failed is made again.
const AGAIN_SPAN: Duration = Duration::from_millis(150);

/// The largest fleet whose routers make marks. Each costs a write a second; with more routers each
/// holds so little that the writes cost more than a kill loses.
const ROUTERS_MAX: u64 = 24;

/// The mark of this host in the store.
struct MarkedHost {
    state: Rc<GatewayState>,
    name: String,
    revision: u64,
}

/// Takes over what was marked before `started`, and renews the mark of this router until it ends.
pub(super) async fn run_marks(state: Rc<GatewayState>, started: BootMoment) {
    if started.boot.is_empty() {
        let fields = [("error", "the machine does not tell its boot".to_owned())];
        state.report.log(LogLevel::Warning, "marks_off", fields);
        return;
    }
    // Accounts are there with the first configuration; what is taken over goes to them.
    while state.config().is_none() {
        sleep(AGAIN_SPAN).await;
    }
    let mut host = MarkedHost::open(Rc::clone(&state), &started).await;
    let mut phase = state.phase.subscribe();
    loop {
        // The sender lives as long as the state.
        let leaving = phase.wait_for(|phase| *phase != GatewayPhase::Serving);
        if timeout(MARK_SPAN, leaving).await.is_ok() {
            break;
        }
        if host.is_worth_marking() {
            host.renew().await;
        }
    }
    // Everything is given back at the end, for which nothing may be marked any more.
    while !host.lift().await {
        sleep(AGAIN_SPAN).await;
    }
}

impl MarkedHost {
    /// Finds the mark of the router before, puts an own one in its place, and then takes over what it
    /// left alone. The order loses tokens where it is interrupted and never doubles them.
    async fn open(state: Rc<GatewayState>, started: &BootMoment) -> Self {
        let mut host = MarkedHost {
            name: format!("holding-{}", state.settings().host),
            state,
            revision: 0,
        };
        loop {
            match host.replace_former(started).await {
                Ok(()) => return host,
                Err(failure) if failure.is_away() => sleep(AGAIN_SPAN).await,
                Err(failure) => {
                    let fields = [("error", failure.to_string())];
                    let report = &host.state.report;
                    report.log(LogLevel::Warning, "marks_unreadable", fields);
                    sleep(MARK_SPAN).await;
                }
            }
        }
    }

    async fn replace_former(&mut self, started: &BootMoment) -> Result<(), StoreFailure> {
        let asked_at = self.state.now();
        let store = &self.state.store;
        let read = store.read(ObjectKind::Budgets, &self.name).await;
        self.state.note_store_call(StoreCall::Mark, asked_at, &read);
        let object = match read {
            Ok(object) => object,
            Err(StoreFailure::Missing) => return self.create().await,
            Err(failure) => return Err(failure),
        };
        let former: HoldingMark = serde_json::from_value(object.spec.clone())
            .map_err(|error| StoreFailure::Malformed(error.to_string()))?;
        self.revision = object.revision();
        if former.router == self.state.me.to_string() {
            // An earlier try of this came through without an answer: what it replaced is not known
            // any more, and stays lost.
            return Ok(());
        }
        let unspent = former.unspent(started);
        self.write(&self.empty_mark()).await?;
        for (workspace, tokens) in unspent {
            let fields = [
                ("workspace", workspace.to_string()),
                ("tokens", tokens.to_string()),
                ("from", former.router.clone()),
                ("age_ms", (started.ms - former.marked_ms).to_string()),
            ];
            let report = &self.state.report;
            report.log(LogLevel::Info, "tokens_reclaimed", fields);
            self.state.escrow.borrow_mut().receive(&workspace, tokens);
        }
        self.state.escrow_changed.notify_waiters();
        Ok(())
    }

    async fn create(&mut self) -> Result<(), StoreFailure> {
        let spec = encode(&self.empty_mark())?;
        let asked_at = self.state.now();
        let store = &self.state.store;
        let created = store.create(ObjectKind::Budgets, &self.name, &spec).await;
        self.state
            .note_store_call(StoreCall::Mark, asked_at, &created);
        self.revision = created?.revision();
        Ok(())
    }

    fn is_worth_marking(&self) -> bool {
        let routers = self.state.lending.ring.borrow().router_count();
        self.state.store_health.answers() && (1..=ROUTERS_MAX).contains(&routers)
    }

    /// Makes a new mark. Where its outcome is not known, the router keeps to it all the same, and the
    /// next one asks for the revision that the store then has.
    async fn renew(&mut self) {
        // The boot clock is read first: a successor then counts the mark's life from before the moment
        // from which this router keeps to it.
        let mut mark = self.empty_mark();
        let now = self.state.now();
        let draft = self.state.escrow.borrow_mut().begin_mark(now);
        mark.tokens = draft.tokens;
        if self.write(&mark).await.is_ok() {
            self.state.escrow.borrow_mut().confirm_mark(draft.number);
        }
    }

    /// Has the store say that nothing is left alone; tells whether it does.
    async fn lift(&mut self) -> bool {
        let is_lifted = self.write(&self.empty_mark()).await.is_ok();
        if is_lifted {
            self.state.escrow.borrow_mut().forget_marks();
        }
        is_lifted
    }

    fn empty_mark(&self) -> HoldingMark {
        let moment = boot_moment();
        HoldingMark {
            router: self.state.me.to_string(),
            boot: moment.boot,
            marked_ms: moment.ms,
            tokens: BTreeMap::new(),
        }
    }

    async fn write(&mut self, mark: &HoldingMark) -> Result<(), StoreFailure> {
        let spec = encode(mark)?;
        let asked_at = self.state.now();
        let store = &self.state.store;
        let kind = ObjectKind::Budgets;
        let written = store.replace(kind, &self.name, self.revision, &spec).await;
        self.state
            .note_store_call(StoreCall::Mark, asked_at, &written);
        match written {
            Ok(object) => self.revision = object.revision(),
            Err(failure) => {
                // An earlier write was done without an answer; the next one builds on it.
                if let StoreFailure::Conflict(Some(object)) = &failure {
                    self.revision = object.revision();
                }
                return Err(failure);
            }
        }
        Ok(())
    }
}

fn encode(mark: &HoldingMark) -> Result<Value, StoreFailure> {
    serde_json::to_value(mark).map_err(|error| StoreFailure::Malformed(error.to_string()))
}
