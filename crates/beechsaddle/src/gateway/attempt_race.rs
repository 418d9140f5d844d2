//! The `attempt_race` module provides the attempts of a call until one of them gives a usable
//! response.

use std::rc::Rc;

use beechsaddle_core::gateway::{AttemptEnd, TargetChoice, TargetRecord};
use futures::future::LocalBoxFuture;
use futures::stream::{FuturesUnordered, StreamExt};

use super::attempt_guard::AttemptGuard;
use super::call_context::CallContext;
use super::refusal::RefusalCause;
use super::stall_watch::StallWatch;
use super::target_choice::{
    choose_permitted_target, has_candidate, no_target_cause, record_choice,
};
use super::target_send::SendFailure;
use super::token_reservation::TokenReservation;

/// What an attempt came to.
pub(super) enum AttemptResult<T> {
    /// A response for the caller.
    Usable(T),
    /// A response that is kept in case that no attempt does better.
    Unusable {
        answer: T,
        end: AttemptEnd,
        detail: String,
    },
    /// No response.
    Failure(SendFailure),
}

/// An attempt that begins.
pub(super) struct RaceEntry<'a, T> {
    pub(super) guard: Rc<AttemptGuard>,
    /// Tells when another attempt begins beside this one.
    pub(super) watch: StallWatch,
    /// Sends the call and waits for the response, up to the call's deadline.
    pub(super) running: LocalBoxFuture<'a, AttemptResult<T>>,
}

/// The result of all attempts.
pub(super) enum RaceResult<T> {
    Won(T),
    Lost {
        /// The last response that was not usable.
        answer: Option<(T, AttemptEnd)>,
        /// How the last attempt ended; `None` if there was no target for another one.
        end: Option<AttemptEnd>,
        cause: RefusalCause,
    },
}

enum RaceStep<T> {
    /// An attempt has ended.
    Ended(Rc<AttemptGuard>, AttemptResult<T>),
    /// The target of the newest attempt is silent, and another one may be tried.
    Replaceable,
}

/// An attempt that has not ended.
struct OpenEntry {
    guard: Rc<AttemptGuard>,
    watch: StallWatch,
}

/// The attempts of a call, one after another, or beside each other while a target is silent.
///
/// A silent target may go on, so its attempt stays open until another one has a usable response.
pub(super) struct AttemptRace<'a, T> {
    call: &'a CallContext,
    reservation: Option<&'a TokenReservation>,
    running: FuturesUnordered<LocalBoxFuture<'a, (Rc<AttemptGuard>, AttemptResult<T>)>>,
    /// The open attempts in the order of their start. The watch of the newest one counts.
    open: Vec<OpenEntry>,
}

impl<'a, T: 'a> AttemptRace<'a, T> {
    /// Creates a race without attempts.
    pub(super) fn new(call: &'a CallContext, reservation: Option<&'a TokenReservation>) -> Self {
        AttemptRace {
            call,
            reservation,
            running: FuturesUnordered::new(),
            open: Vec::new(),
        }
    }

    /// Runs attempts until one gives a usable response or no other one may begin.
    pub(super) async fn run(
        mut self,
        begin: impl Fn(TargetChoice, TargetRecord) -> RaceEntry<'a, T>,
    ) -> RaceResult<T> {
        let mut last_answer = None;
        if !self.start_attempt(&begin).await {
            return self.lose(last_answer, None);
        }
        loop {
            let (guard, result) = match self.next_step().await {
                RaceStep::Ended(guard, result) => (guard, result),
                RaceStep::Replaceable => {
                    self.start_beside(&begin).await;
                    continue;
                }
            };
            let (end, detail) = match result {
                AttemptResult::Usable(answer) => {
                    self.settle_others(&guard);
                    return RaceResult::Won(answer);
                }
                AttemptResult::Unusable {
                    answer,
                    end,
                    detail,
                } => {
                    last_answer = Some((answer, end));
                    (end, detail)
                }
                AttemptResult::Failure(failure) => (failure.end, failure.detail),
            };
            self.record_end(guard, end, &detail);
            if !self.running.is_empty() {
                self.start_after(end, &begin).await;
                continue;
            }
            if !self.call.try_repeat(end) {
                return self.lose(last_answer, Some(end));
            }
            if !self.start_attempt(&begin).await {
                return self.lose(last_answer, None);
            }
        }
    }

    async fn next_step(&mut self) -> RaceStep<T> {
        let (call, newest) = (self.call, self.open.last());
        let replaceable = async {
            match newest {
                Some(entry) => entry.watch.replaceable(call).await,
                None => std::future::pending().await,
            }
        };
        tokio::select! {
            biased;
            Some((guard, result)) = self.running.next() => {
                self.open.retain(|entry| !Rc::ptr_eq(&entry.guard, &guard));
                RaceStep::Ended(guard, result)
            }
            () = replaceable => RaceStep::Replaceable,
        }
    }

    /// Starts an attempt at the best target; returns `false` if there is none.
    async fn start_attempt(
        &mut self,
        begin: &impl Fn(TargetChoice, TargetRecord) -> RaceEntry<'a, T>,
    ) -> bool {
        let Some((choice, target)) = choose_permitted_target(self.call).await else {
            return false;
        };
        record_choice(self.call, &choice, &target);
        if let Some(reservation) = self.reservation {
            reservation.begin_attempt();
        }
        let RaceEntry {
            guard,
            watch,
            running,
        } = begin(choice, target);
        self.open.push(OpenEntry {
            guard: Rc::clone(&guard),
            watch,
        });
        self.running
            .push(Box::pin(async move { (guard, running.await) }));
        true
    }

    /// Starts an attempt beside a silent one.
    async fn start_beside(
        &mut self,
        begin: &impl Fn(TargetChoice, TargetRecord) -> RaceEntry<'a, T>,
    ) {
        if let Some(entry) = self.open.last_mut() {
            entry.watch.record_search();
        }
        let may_start = self.call.try_repeat(AttemptEnd::Silent);
        if !may_start || !self.start_attempt(begin).await {
            self.postpone_search();
        }
    }

    /// Starts an attempt in place of one that ended while others are open.
    async fn start_after(
        &mut self,
        end: AttemptEnd,
        begin: &impl Fn(TargetChoice, TargetRecord) -> RaceEntry<'a, T>,
    ) {
        let call = self.call;
        let may_start = call.may_race() && has_candidate(call) && call.try_repeat(end);
        if !may_start || !self.start_attempt(begin).await {
            self.postpone_search();
        }
    }

    /// Goes on without another attempt beside the newest open one.
    fn postpone_search(&mut self) {
        if let Some(entry) = self.open.last_mut() {
            entry.watch.postpone_search(self.call);
        }
    }

    fn record_end(&self, guard: Rc<AttemptGuard>, end: AttemptEnd, detail: &str) {
        let call = self.call;
        let target = guard.target().name.clone();
        drop(guard);
        call.record_attempt_end(&target, end, detail);
        if let Some(reservation) = self.reservation
            && !call.all_attempts().may_have_run()
        {
            reservation.undo_attempts();
        }
    }

    /// Ends all attempts but the one that has a usable response. Those that began before it were
    /// silent.
    fn settle_others(&mut self, winner: &AttemptGuard) {
        self.call.record.record_attempt_start(winner.started_at());
        self.running.clear();
        for OpenEntry { guard, .. } in self.open.drain(..) {
            let end = match guard.started_at() <= winner.started_at() {
                true => AttemptEnd::Silent,
                false => AttemptEnd::Superseded,
            };
            let end = guard.record_failure(end);
            let target = guard.target().name.clone();
            drop(guard);
            self.call
                .record_attempt_end(&target, end, "another target answered first");
        }
    }

    fn lose(&self, answer: Option<(T, AttemptEnd)>, end: Option<AttemptEnd>) -> RaceResult<T> {
        let cause = match end {
            Some(end) => self.call.final_cause(end),
            None => no_target_cause(self.call),
        };
        RaceResult::Lost { answer, end, cause }
    }
}
